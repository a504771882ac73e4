package flood

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"havencart/internal/platform/workerframe"
	"havencart/lab/platformdiscovery"
	"havencart/lab/platformworker"
)

// workers are the emulated workers of a run and their discovery.
type workers struct {
	config    WorkerConfig
	body      []byte // of each response
	discovery *platformdiscovery.Server
	servers   []*platformworker.Server

	mu     sync.Mutex
	random *rand.Rand
}

func startWorkers(seed uint64, config WorkerConfig) (*workers, error) {
	w := &workers{config: config, body: make([]byte, config.ResponseBytes), random: newRandom(seed, -1)}
	var err error
	if w.discovery, err = platformdiscovery.Start(); err != nil {
		return nil, err
	}
	for i := range config.Count {
		stalled := config.StalledEvery > 0 && i%config.StalledEvery == 0
		server, err := platformworker.Start(func(c *platformworker.Conn, f workerframe.Frame) { w.handle(c, f, stalled) })
		if err != nil {
			w.stop()
			return nil, err
		}
		w.servers = append(w.servers, server)
	}
	return w, nil
}

func (w *workers) stop() {
	for _, server := range w.servers {
		server.Close()
	}
	w.discovery.Close()
}

// handle responds to a request after a random delay, and to a load order at once.
func (w *workers) handle(c *platformworker.Conn, f workerframe.Frame, stalled bool) {
	switch f.Code {
	case workerframe.Request:
		time.AfterFunc(w.delay(), func() { w.respond(c, f.ID, stalled) })
	case workerframe.Load:
		c.Respond(workerframe.Frame{Code: workerframe.OK, ID: f.ID, Fields: "replicas=1"})
	}
}

func (w *workers) delay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.config.MinDelay + time.Duration(w.random.Float64()*float64(w.config.MaxDelay-w.config.MinDelay))
}

// respond writes the response to a request, or only its first half if the worker is stalled.
func (w *workers) respond(c *platformworker.Conn, id uint64, stalled bool) {
	frame, err := workerframe.Append(nil, workerframe.MagicWorker, workerframe.Frame{Code: workerframe.OK, ID: id, Body: w.body})
	if err != nil {
		return
	}
	if stalled {
		frame = frame[:len(frame)/2]
	}
	c.WriteRaw(frame)
}

// workerName returns the name of a worker in the endpoint list.
func workerName(index int) string { return fmt.Sprintf("s-%08x", index+1) }
