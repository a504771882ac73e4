//go:build review

package main

import (
	"fmt"
	"sync"
	"time"

	"havencart/internal/platform/endpointstream"
	"havencart/internal/platform/workerframe"
)

func init() { plays["stale"] = playStale }

// drainingExecutor runs requests in 40 ms. Once it drains it rejects new work and answers probes with code 71.
type drainingExecutor struct {
	*executor
	mu       sync.Mutex
	draining bool
	got      []time.Time // attempts
}

func startDrainingExecutor(r *recorder, name string) (*drainingExecutor, error) {
	e := &drainingExecutor{}
	inner, err := startExecutor(name, func(answer func(workerframe.Frame), frame workerframe.Frame) {
		e.mu.Lock()
		defer e.mu.Unlock()
		reply := workerframe.Frame{Code: workerframe.OK, ID: frame.ID}
		switch {
		case isProbe(frame) && e.draining:
			reply.Code = workerframe.Unhealthy
		case isProbe(frame):
			reply.Code = workerframe.Healthy
		case frame.Code == workerframe.Request:
			r.add("%s gets attempt %s, draining %v", name, frameID(frame), e.draining)
			e.got = append(e.got, time.Now())
			if e.draining {
				reply.Code = workerframe.Overloaded
				break
			}
			reply.Body = frame.Body
			after(40*time.Millisecond, func() { answer(reply) })
			return
		case frame.Code == workerframe.Load:
			reply.Fields = "replicas=0"
		default:
			return
		}
		answer(reply)
	})
	e.executor = inner
	return e, err
}

// playStale breaks off the bulletin for 8 s. An executor drains after the first second of that, and after the fifth second
// the front end is killed and starts again. Nothing may be sent to the draining executor later than 0.5 s after the front
// end counts as told.
func playStale(r *recorder, trouble bool) (int, error) {
	var executors []*drainingExecutor
	var hosts []host
	for i := range 2 {
		e, err := startDrainingExecutor(r, fmt.Sprintf("s-%08x", i+1))
		if err != nil {
			return 0, err
		}
		defer e.stop()
		executors = append(executors, e)
		hosts = append(hosts, host{ID: uint32(i + 1), Address: e.address, Site: "room"})
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
	front, err := startFrontEnd(settings(classes, nil), list.address, hosts)
	if err != nil {
		return 0, err
	}
	defer front.stop()
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		r.add("the bulletin breaks off")
		list.breakOff()
	}
	broke := time.Now()
	time.Sleep(time.Second)
	gone := executors[0]
	r.add("%s drains", gone.name)
	gone.mu.Lock()
	gone.draining = true
	gone.mu.Unlock()
	told := broke.Add(4 * time.Second) // at the latest
	if !trouble {
		told = time.Now()
		entries := []endpointstream.Entry{entry(1, gone.address, endpointstream.Draining, 0)}
		list.publish(endpointstream.Event{Number: 2, Kind: endpointstream.Delta, Entries: entries})
		hosts[0].Health = "draining" // the bulletin holds it, so the configuration of the next start does
	}
	time.Sleep(time.Until(broke.Add(5 * time.Second)))
	r.add("the front end is killed and starts again")
	if err := front.restart(hosts); err != nil {
		return 0, err
	}
	r.add("the front end is ready")
	conn, err := dialClient(front.address, r)
	if err != nil {
		return 0, err
	}
	defer conn.close()
	var all []*request
	for i := range 16 {
		c := classes[i%2]
		all = append(all, conn.send(&request{
			Class: c.name, Key: fmt.Sprintf("%016x", 1+i), Wait: time.Duration(c.deadline) * time.Millisecond, Attributes: "memory_mb:512;lanes:4",
		}))
		time.Sleep(5 * time.Millisecond)
	}
	for _, one := range all {
		one.await(4 * time.Second)
	}
	time.Sleep(time.Until(broke.Add(8 * time.Second)))
	if front.hasExited() {
		return 0, fmt.Errorf("the front end has ended")
	}
	breaks := 0
	gone.mu.Lock()
	defer gone.mu.Unlock()
	for _, at := range gone.got {
		if late := at.Sub(told); late > 550*time.Millisecond { // 0.5 s, and 50 ms by which every time limit is longer
			r.addAt(at, "BREAK: an attempt came to %s %v after the front end counts as told that it drains", gone.name, late)
			breaks++
		}
	}
	return breaks, nil
}
