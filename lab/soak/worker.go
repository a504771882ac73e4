package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"havencart/internal/platform/endpointstream"
	"havencart/internal/platform/workerframe"
	"havencart/lab/faultproxy"
	"havencart/lab/platformworker"
)

// Durations of an emulated worker's operations.
const (
	meanRunTime = 40 * time.Millisecond  // mean duration of an execution
	loadTime    = 150 * time.Millisecond // duration of loading a function
)

// behavior is how a worker responds to frames.
type behavior int32

const (
	respondsNormally   behavior = iota // executes requests and loads functions
	neverResponds                      // responds to no frame
	respondsWithError                  // responds to requests with an error, after which they may have been executed
	respondsOverloaded                 // responds to requests that it is overloaded and did not execute them
	resetsConnection                   // resets the connection in place of a response to a request
)

// worker is an emulated worker behind a proxy, which emulates the network. Arrivals are recorded when a front end's
// bytes reach the proxy, before any fault of the network affects them.
type worker struct {
	entry    endpointstream.Entry
	history  *History
	server   *platformworker.Server
	proxy    *faultproxy.Proxy
	behavior atomic.Int32
	draining atomic.Bool    // the worker rejects new work
	tasks    sync.WaitGroup // delayed responses

	mu  sync.Mutex
	rng *rand.Rand
}

// workerConfig configures a worker.
type workerConfig struct {
	id            uint32
	cell          int
	startedMillis int64  // start that the endpoint list announces, in Unix milliseconds; 0: none
	address       string // where the worker listens; empty: at a free port
}

// startWorker starts a worker.
func startWorker(history *History, config workerConfig, rng *rand.Rand) (*worker, error) {
	w := &worker{history: history, rng: rng}
	var err error
	if w.server, err = platformworker.StartFullyScripted(w.handle); err != nil {
		return nil, err
	}
	if w.proxy, err = w.startProxy(config.address); err != nil {
		w.server.Close()
		return nil, err
	}
	address, err := parseAddress(w.proxy.Address())
	if err != nil {
		w.close()
		return nil, err
	}
	w.entry = endpointstream.Entry{ID: config.id, Address: address, Cell: config.cell, Weight: 1, StartedUnixMilli: config.startedMillis}
	return w, nil
}

// startProxy starts the worker's proxy at an address, or at a free port if it is empty.
func (w *worker) startProxy(address string) (*faultproxy.Proxy, error) {
	if address == "" {
		return faultproxy.StartWithTap(w.server.Address(), w.tap)
	}
	return faultproxy.StartAt(address, w.server.Address(), w.tap)
}

// close ends the worker and its connections, as a failure of its machine does.
func (w *worker) close() {
	w.proxy.Close()
	w.server.Close()
	w.tasks.Wait()
}

// setBehavior changes how the worker responds.
func (w *worker) setBehavior(b behavior) { w.behavior.Store(int32(b)) }

// tap returns a writer that records the frames which front ends send on one connection. It is a faultproxy.Tap.
func (w *worker) tap() io.WriteCloser { return &frameTap{worker: w} }

// frameTap records each frame of one connection when its last byte is written, before the proxy forwards it. So the
// arrival of an attempt is recorded before the worker's response can cause another attempt.
type frameTap struct {
	worker   *worker
	buffered []byte // start of a frame that is not complete yet
}

// Write implements io.Writer.
func (t *frameTap) Write(chunk []byte) (int, error) {
	t.buffered = append(t.buffered, chunk...)
	for {
		unread := bytes.NewReader(t.buffered)
		frame, err := workerframe.NewReader(unread, workerframe.MagicFrontEnd, workerframe.MaxBody).Next()
		if err != nil {
			return len(chunk), nil // the frame is not complete yet
		}
		t.buffered = t.buffered[len(t.buffered)-unread.Len():]
		t.worker.recordFrame(frame)
	}
}

// Close implements io.Closer.
func (t *frameTap) Close() error { return nil }

// recordFrame records the arrival of an attempt or a load order.
func (w *worker) recordFrame(frame workerframe.Frame) {
	switch frame.Code {
	case workerframe.Request:
		ttl, _ := workerframe.Count(frame.Fields, "ttl", 0)
		w.history.AttemptArrived(Arrival{
			RequestID: requestID(frame.ID),
			Worker:    w.entry.Name(),
			Cell:      w.entry.Cell,
			TTL:       time.Duration(ttl) * time.Millisecond,
		})
	case workerframe.Load:
		if platformworker.IsNewWork(frame) {
			w.history.LoadOrderArrived(w.entry.Name())
		}
	}
}

// requestID returns a request's identifier in the form that clients send, from its number in a worker's frame.
func requestID(number uint64) string { return fmt.Sprintf("%016x", number) }

// handle responds to one frame. It is a platformworker.Script.
func (w *worker) handle(c *platformworker.Conn, frame workerframe.Frame) {
	if behavior(w.behavior.Load()) == neverResponds {
		return
	}
	draining := w.draining.Load()
	switch {
	case platformworker.IsHealthCheck(frame):
		c.Respond(platformworker.HealthResponse(frame, draining))
	case draining && platformworker.IsNewWork(frame):
		w.reject(c, frame)
	case frame.Code == workerframe.Request:
		w.handleRequest(c, frame)
	case frame.Code == workerframe.Load:
		w.handleLoad(c, frame)
	}
}

// reject responds that the worker is overloaded and does not execute the request or load the function.
func (w *worker) reject(c *platformworker.Conn, frame workerframe.Frame) {
	if frame.Code == workerframe.Request {
		w.history.NotExecuted(requestID(frame.ID), w.entry.Name())
	}
	c.Respond(workerframe.Frame{Code: workerframe.Overloaded, ID: frame.ID})
}

func (w *worker) handleRequest(c *platformworker.Conn, frame workerframe.Frame) {
	switch behavior(w.behavior.Load()) {
	case respondsWithError:
		c.Respond(workerframe.Frame{Code: workerframe.Error, ID: frame.ID})
	case respondsOverloaded:
		w.reject(c, frame)
	case resetsConnection:
		c.Reset()
	default:
		w.runAfter(w.runTime(), func() {
			c.Respond(workerframe.Frame{Code: workerframe.OK, ID: frame.ID, Body: responseBody(requestID(frame.ID))})
		})
	}
}

func (w *worker) handleLoad(c *platformworker.Conn, frame workerframe.Frame) {
	replicas, _ := workerframe.Count(frame.Fields, "replicas", 0)
	response := workerframe.Frame{Code: workerframe.OK, ID: frame.ID, Fields: "replicas=" + strconv.Itoa(replicas)}
	if replicas == 0 {
		c.Respond(response)
		return
	}
	w.runAfter(loadTime, func() { c.Respond(response) })
}

// runAfter calls do after d, in a goroutine that close waits for.
func (w *worker) runAfter(d time.Duration, do func()) {
	w.tasks.Go(func() {
		time.Sleep(d)
		do()
	})
}

// runTime draws the duration of one execution.
func (w *worker) runTime() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.rng.ExpFloat64() * float64(meanRunTime))
}

// responseBody returns the body with which a worker responds to a request.
func responseBody(id string) []byte { return []byte("ran " + id) }
