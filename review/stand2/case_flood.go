//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"havencart/internal/platform/workerframe"
)

func init() { plays["flood"] = playFlood }

const (
	floodMemoryMB    = 32  // of the front end
	floodDescriptors = 256 // of the front end
	floodExecutors   = 64
	floodClients     = 84 // bad clients; with the usual one a third of the descriptors
	floodLength      = 60 * time.Second
	floodWave        = 2500 * time.Millisecond
)

// anonymousKB returns the anonymous memory of a process.
func anonymousKB(process int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		var size int
		if n, _ := fmt.Sscanf(line, "RssAnon: %d kB", &size); n == 1 {
			return size
		}
	}
	return 0
}

// playFlood has bad clients send 32 requests at once, and again every 2.5 s. The platform kills the front
// end when its memory is over the limit.
func playFlood(r *recorder, trouble bool) (int, error) {
	var hosts []host
	body := make([]byte, answerBytes)
	for i := range floodExecutors {
		e, err := startExecutor(fmt.Sprintf("s-%08x", i+1), func(answer func(workerframe.Frame), frame workerframe.Frame) {
			switch {
			case isProbe(frame):
				answer(workerframe.Frame{Code: workerframe.Healthy, ID: frame.ID})
			case frame.Code == workerframe.Request:
				after(time.Duration(300+rand.IntN(300))*time.Millisecond, func() {
					answer(workerframe.Frame{Code: workerframe.OK, ID: frame.ID, Body: body})
				})
			case frame.Code == workerframe.Load:
				answer(workerframe.Frame{Code: workerframe.OK, ID: frame.ID, Fields: "replicas=1"})
			}
		})
		if err != nil {
			return 0, err
		}
		defer e.stop()
		hosts = append(hosts, host{ID: uint32(i + 1), Address: e.address, Site: "room"})
	}
	list, err := startBulletin()
	if err != nil {
		return 0, err
	}
	defer list.breakOff()
	classes := []class{{name: "fare-quote", effect: "retryable", deadline: 3000, onTime: 800, worth: 2}}
	front, err := startLimitedFrontEnd(floodMemoryMB, floodDescriptors, settings(classes, nil), list.address, hosts)
	if err != nil {
		return 0, err
	}
	defer front.stop()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	ask := func(conn *client, key int) *request {
		return conn.send(&request{
			Class: "fare-quote", Key: fmt.Sprintf("%016x", key), Wait: 3 * time.Second, Attributes: "memory_mb:512;lanes:4", Body: body,
		})
	}
	clients.Go(func() { floodUsual(front.address, ask, stop) })
	if trouble {
		r.add("%d bad clients begin", floodClients)
		for range floodClients {
			clients.Go(func() { floodBad(front.address, ask, stop) })
		}
	}
	breaks, most := 0, 0
	for end := time.Now().Add(floodLength); time.Now().Before(end) && breaks == 0; time.Sleep(10 * time.Millisecond) {
		now := anonymousKB(front.command.Process.Pid)
		if now > most {
			most = now
			r.add("anonymous memory %d kB", now)
		}
		if now > floodMemoryMB<<10 {
			r.add("BREAK: anonymous memory of %d kB is over the limit of %d MB; the platform kills the front end", now, floodMemoryMB)
			front.signal(syscall.SIGKILL)
			breaks++
		}
	}
	close(stop)
	clients.Wait()
	r.add("at most %d kB", most)
	return breaks, nil
}

// floodUsual sends 40 requests a second.
func floodUsual(address string, ask func(*client, int) *request, stop <-chan struct{}) {
	conn, err := dialClient(address, nil)
	if err != nil {
		return
	}
	defer conn.close()
	for {
		select {
		case <-stop:
			return
		case <-time.After(25 * time.Millisecond):
			ask(conn, 1+rand.IntN(12))
		}
	}
}

// floodBad sends 32 requests at once on a new connection, reads the answers, closes, and begins again in the next wave.
func floodBad(address string, ask func(*client, int) *request, stop <-chan struct{}) {
	for {
		wave := time.Now().Truncate(floodWave).Add(floodWave)
		select {
		case <-stop:
			return
		case <-time.After(time.Until(wave)):
		}
		conn, err := dialClient(address, nil)
		if err != nil {
			continue
		}
		var all []*request
		for range openRequests {
			all = append(all, ask(conn, 1+rand.IntN(200)))
		}
		for _, one := range all {
			one.await(4 * time.Second)
		}
		conn.close()
	}
}
