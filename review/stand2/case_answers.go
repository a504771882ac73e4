//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"havencart/internal/platform/workerframe"
	"havencart/lab/faultproxy"
)

func init() { plays["answers"] = playAnswers }

const (
	openRequests = 32       // on one connection, as many as the protocol allows
	answerBytes  = 16 << 10 // a body's size, as large as the protocol allows
	frontEnds    = 4        // on one core
	connections  = 3        // of clients, to each front end
	pauseLength  = 400 * time.Millisecond
	pauseGap     = time.Second
	pauseCount   = 24
)

// pausingExecutor runs requests in 200 to 400 ms. A proxy before it holds all bytes back while the process pauses.
type pausingExecutor struct {
	*executor
	proxy *faultproxy.Proxy
	mu    sync.Mutex
	ran   map[string]bool
}

func startPausingExecutor(r *recorder, name string) (*pausingExecutor, error) {
	e := &pausingExecutor{ran: map[string]bool{}}
	body := make([]byte, answerBytes)
	inner, err := startExecutor(name, func(answer func(workerframe.Frame), frame workerframe.Frame) {
		reply := workerframe.Frame{Code: workerframe.OK, ID: frame.ID}
		delay := time.Duration(0)
		switch {
		case isProbe(frame):
			reply.Code = workerframe.Healthy
		case frame.Code == workerframe.Request:
			r.add("%s gets %s", name, frameID(frame))
			e.mu.Lock()
			e.ran[frameID(frame)] = true
			e.mu.Unlock()
			reply.Body = body
			delay = 200*time.Millisecond + time.Duration(rand.Int64N(int64(200*time.Millisecond)))
		case frame.Code == workerframe.Load:
			reply.Fields = "replicas=1"
		default:
			return
		}
		after(delay, func() { answer(reply) })
	})
	if err != nil {
		return nil, err
	}
	e.executor = inner
	if e.proxy, err = faultproxy.Start(inner.address); err != nil {
		inner.stop()
		return nil, err
	}
	return e, nil
}

// playAnswers has clients that keep 32 requests open on each connection. Two of four executors pause 24 times for 0.4 s, a
// second apart. Every request has to get its answer.
func playAnswers(r *recorder, trouble bool) (int, error) {
	var executors []*pausingExecutor
	var hosts []host
	for i := range 4 {
		e, err := startPausingExecutor(r, fmt.Sprintf("s-%08x", i+1))
		if err != nil {
			return 0, err
		}
		defer e.stop()
		defer e.proxy.Close()
		executors = append(executors, e)
		hosts = append(hosts, host{ID: uint32(i + 1), Address: e.proxy.Address(), Site: "room"})
	}
	list, err := startBulletin()
	if err != nil {
		return 0, err
	}
	defer list.breakOff()
	classes := []class{
		{name: "fare-quote", effect: "retryable", deadline: 3000, onTime: 800, worth: 2},
		{name: "unlock-charge", effect: "fragile", deadline: 2000, onTime: 500, worth: 6},
	}
	config := settings(classes, nil)
	config["balancers"] = frontEnds
	stop := make(chan struct{})
	var all []*request
	var mu sync.Mutex
	var clients sync.WaitGroup
	var fronts []*frontEnd
	for range frontEnds {
		front, err := startFrontEndOn(0, config, list.address, hosts)
		if err != nil {
			return 0, err
		}
		defer front.stop()
		fronts = append(fronts, front)
	}
	for i := range connections * frontEnds {
		conn, err := dialClient(fronts[i/connections].address, r)
		if err != nil {
			return 0, err
		}
		defer conn.close()
		for range openRequests {
			clients.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(rand.Int64N(int64(40 * time.Millisecond)))):
					}
					c := classes[rand.IntN(2)]
					asked := conn.send(&request{
						Class: c.name, Key: fmt.Sprintf("%016x", 1+rand.IntN(16)), Wait: time.Duration(c.deadline) * time.Millisecond,
						Attributes: "memory_mb:512;lanes:4", Body: []byte("x"),
					})
					mu.Lock()
					all = append(all, asked)
					mu.Unlock()
					if !asked.await(asked.Wait + 600*time.Millisecond) {
						return // lost; the connection has ended, or the answer never came
					}
				}
			})
		}
	}
	for range pauseCount {
		time.Sleep(pauseGap)
		if !trouble {
			time.Sleep(pauseLength)
			continue
		}
		r.add("%s and %s pause", executors[0].name, executors[1].name)
		for _, e := range executors[:2] {
			e.proxy.StallForward()
			e.proxy.StallBackward()
		}
		time.Sleep(pauseLength)
		r.add("%s and %s go on", executors[0].name, executors[1].name)
		for _, e := range executors[:2] {
			e.proxy.ResumeForward()
			e.proxy.ResumeBackward()
		}
	}
	close(stop)
	clients.Wait()
	for _, front := range fronts {
		if front.hasExited() {
			return 0, fmt.Errorf("a front end has ended")
		}
	}
	breaks, served := 0, 0
	for _, asked := range all {
		if asked.outcome == "served" {
			served++
		}
		if asked.outcome != "" || asked.at.IsZero() {
			continue // answered, or its connection did not end
		}
		ran := false
		for _, e := range executors {
			e.mu.Lock()
			ran = ran || e.ran[asked.ID]
			e.mu.Unlock()
		}
		if ran { // it was read and passed on, so it is not one that crossed the close of its connection
			r.addAt(asked.at, "BREAK: %s class %s came to an executor, and the connection of its client ended with no answer", asked.ID, asked.Class)
			breaks++
		}
	}
	r.add("%d requests, %d served", len(all), served)
	return breaks, nil
}
