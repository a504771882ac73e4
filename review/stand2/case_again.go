//go:build review

package main

import (
	"fmt"
	"sync"
	"time"

	"havencart/internal/platform/workerframe"
	"havencart/lab/faultproxy"
)

func init() { plays["again"] = playAgain }

// playAgain resets a client's resting connection just as it sends twelve requests. The client sends them again, once, on
// a new connection, and then goes on with three more. Each request on the new connection has to get an answer.
func playAgain(r *recorder, trouble bool) (int, error) {
	var mu sync.Mutex
	ran := map[string]int{}
	worker, err := startExecutor("s-00000001", func(answer func(workerframe.Frame), frame workerframe.Frame) {
		switch {
		case isProbe(frame):
			answer(workerframe.Frame{Code: workerframe.Healthy, ID: frame.ID})
		case frame.Code == workerframe.Request:
			r.add("executor gets %s", frameID(frame))
			mu.Lock()
			ran[frameID(frame)]++
			mu.Unlock()
			after(100*time.Millisecond, func() { answer(workerframe.Frame{Code: workerframe.OK, ID: frame.ID, Body: frame.Body}) })
		case frame.Code == workerframe.Cancel:
			r.add("executor gets code 17 for %s", frameID(frame))
		case frame.Code == workerframe.Load:
			answer(workerframe.Frame{Code: workerframe.OK, ID: frame.ID, Fields: "replicas=1"})
		}
	})
	if err != nil {
		return 0, err
	}
	defer worker.stop()
	list, err := startBulletin()
	if err != nil {
		return 0, err
	}
	defer list.breakOff()
	classes := []class{{name: "fare-quote", effect: "retryable", deadline: 3000, onTime: 800, worth: 2}}
	front, err := startFrontEnd(settings(classes, nil), list.address, []host{{ID: 1, Address: worker.address, Site: "room"}})
	if err != nil {
		return 0, err
	}
	defer front.stop()
	network, err := faultproxy.Start(front.address)
	if err != nil {
		return 0, err
	}
	defer network.Close()
	ask := func(conn *client, key int) *request {
		return conn.send(&request{Class: "fare-quote", Key: fmt.Sprintf("%016x", key), Wait: 3 * time.Second, Attributes: "memory_mb:512;lanes:4"})
	}
	breaks := 0
	for range 2 {
		old, err := dialClient(network.Address(), r)
		if err != nil {
			return 0, err
		}
		if first := ask(old, 1); !first.await(4*time.Second) || first.outcome != "served" {
			return 0, fmt.Errorf("a request before the disruption ended with %q", first.outcome)
		}
		time.Sleep(time.Second) // the connection rests
		var sent []*request
		for i := range 12 {
			sent = append(sent, ask(old, 1+i%4))
		}
		if trouble {
			time.Sleep(10 * time.Millisecond)
			r.add("the connection is reset")
			network.ResetConnections()
		}
		var again []*request
		for _, one := range sent {
			one.await(4 * time.Second)
			if one.outcome == "" && one.at.Sub(one.sentAt) <= 50*time.Millisecond {
				again = append(again, one)
			}
		}
		fresh, err := dialClient(network.Address(), r)
		if err != nil {
			return 0, err
		}
		var open []*request
		for _, one := range again {
			open = append(open, fresh.sendAgain(one))
		}
		for range 3 {
			open = append(open, ask(fresh, 1))
		}
		for _, one := range open {
			if !one.await(4*time.Second) && !one.at.IsZero() {
				r.addAt(one.at, "BREAK: the connection of %s ended with no answer", one.ID)
				breaks++
			}
		}
		old.close()
		fresh.close()
	}
	if front.hasExited() {
		return 0, fmt.Errorf("the front end has ended")
	}
	return breaks, nil
}
