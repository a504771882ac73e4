//go:build review

package main

import (
	"fmt"
	"sync"
	"time"

	"havencart/internal/platform/workerframe"
)

func init() { plays["gone"] = playGone }

// playGone breaks off the bulletin. Afterwards clients give up a few milliseconds after they have sent, while the
// executor still takes its time for a probe. No attempt may begin over 0.1 s after its client has gone.
func playGone(r *recorder, trouble bool) (int, error) {
	var mu sync.Mutex
	began := map[string]time.Time{}
	const probeTime = 200 * time.Millisecond // the probe waits and is served like a request
	worker, err := startExecutor("s-00000001", nil)
	if err != nil {
		return 0, err
	}
	defer worker.stop()
	worker.handle = func(answer func(workerframe.Frame), frame workerframe.Frame) {
		switch {
		case isProbe(frame):
			r.add("executor gets a probe %s", frameID(frame))
			after(probeTime, func() {
				r.add("executor answers the probe %s", frameID(frame))
				answer(workerframe.Frame{Code: workerframe.Healthy, ID: frame.ID})
			})
		case frame.Code == workerframe.Request:
			mu.Lock()
			began[frameID(frame)] = time.Now()
			mu.Unlock()
			r.add("executor gets attempt %s %s", frameID(frame), frame.Fields)
			after(40*time.Millisecond, func() { answer(workerframe.Frame{Code: workerframe.OK, ID: frame.ID, Body: frame.Body}) })
		case frame.Code == workerframe.Cancel:
			r.add("executor gets code 17 for %s", frameID(frame))
		case frame.Code == workerframe.Load:
			answer(workerframe.Frame{Code: workerframe.OK, ID: frame.ID, Fields: "replicas=1"})
		}
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
	config := settings(classes, func(limits, _, _ map[string]any) { limits["mayCancel"] = false })
	front, err := startFrontEnd(config, list.address, []host{{ID: 1, Address: worker.address, Site: "room"}})
	if err != nil {
		return 0, err
	}
	defer front.stop()
	time.Sleep(1500 * time.Millisecond)
	conn, err := dialClient(front.address, r)
	if err != nil {
		return 0, err
	}
	defer conn.close()
	const key = "7f3a9c21e0b4d655"
	for range 3 {
		if first := conn.send(&request{Class: "fare-quote", Key: key, Wait: 3 * time.Second, Attributes: "memory_mb:512;lanes:2"}); !first.await(4*time.Second) || first.outcome != "served" {
			return 0, fmt.Errorf("a request before the disruption ended with %q", first.outcome)
		}
	}
	if trouble {
		r.add("the bulletin breaks off")
		list.breakOff()
	}
	broke := time.Now()
	gone := map[string]time.Time{}
	for i := range 4 {
		time.Sleep(time.Until(broke.Add(time.Duration(2500+1500*i) * time.Millisecond))) // 2.5, 4, 5.5 and 7 s after the break
		name := classes[i%2].name
		sender, err := dialClient(front.address, r)
		if err != nil {
			return 0, err
		}
		asked := sender.send(&request{Class: name, Key: key, Wait: 2 * time.Second, Attributes: "memory_mb:512;lanes:2"})
		time.Sleep(10 * time.Millisecond)
		gone[asked.ID] = sender.revoke(asked)
		time.Sleep(600 * time.Millisecond)
		sender.close()
	}
	time.Sleep(time.Until(broke.Add(8 * time.Second)))
	if trouble {
		r.add("the bulletin is back")
		if err := list.restore(); err != nil {
			return 0, err
		}
	}
	if front.hasExited() {
		return 0, fmt.Errorf("the front end has ended")
	}
	mu.Lock()
	defer mu.Unlock()
	breaks := 0
	const allowed = 150 * time.Millisecond // 0.1 s, and 50 ms by which every time limit is longer
	for id, at := range gone {
		if start, sent := began[id]; sent && start.Sub(at) > allowed {
			r.add("BREAK: the attempt of %s began %v after its client had gone", id, start.Sub(at))
			breaks++
		}
	}
	return breaks, nil
}
