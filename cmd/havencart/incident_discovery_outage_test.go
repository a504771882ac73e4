package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"havencart/internal/platform/endpointstream"
	"havencart/internal/platform/workerframe"
	"havencart/lab/platformdiscovery"
	"havencart/lab/platformworker"
)

// Seen: discovery was out of reach of every front end. Busy workers began to drain just after the outage began and stayed
// up. Front ends went on sending them attempts and orders to load for as long as the outage lasted; the workers turned them
// away, the requests were served elsewhere, and no client noticed.
//
// How it came about: by the platform's rules a front end counts as notified of a drain some seconds after discovery fell
// silent, whether it was told or not; after that and the grace, nothing new may begin there.
//
// Cause: the last list stayed in force without end. A worker that it had as ready was ready for as long as nothing was
// heard, and a draining worker that turns work away was taken for one that is full.
//
// Proof: before the repair, new work arrived at workers of both groups until the outage ended, while the front end's own log had the
// list as no longer confirmed. With the repair none arrives, and as many requests are served.

// The installation that is played. Of its workers one group begins to drain just after the outage began, and another one
// when the front end counts as notified at once.
const (
	outageWorkers     = 12
	drainsPerGroup    = 3
	outageFunctions   = 24
	outageRequestGap  = 15 * time.Millisecond
	outageRequestWait = 1200 * time.Millisecond
	outageDrainGrace  = 500 * time.Millisecond
	noticeInSilence   = 4 * time.Second
	outageWarmUp      = 2500 * time.Millisecond // so that the list is confirmed
	outageLength      = 7 * time.Second
	outageAfter       = 2 * time.Second
	firstDrainsAfter  = 100 * time.Millisecond // after the warm-up, which the outage begins at or has begun before
	secondDrainsAfter = 5 * time.Second
	outageLeastServed = 0.95 // of the requests
)

// TestIncidentDiscoveryOutage_WorkersDrainMeanwhile_GetNothingNew holds that nothing new begins at workers that drain while
// discovery is out of reach, and that the others serve on.
func TestIncidentDiscoveryOutage_WorkersDrainMeanwhile_GetNothingNew(t *testing.T) {
	for name, outage := range map[string]discoveryOutage{
		"discovery silent":         {reach: platformdiscovery.Silent},
		"discovery unreachable":    {reach: platformdiscovery.Unreachable},
		"front end starts in it":   {reach: platformdiscovery.Silent, began: time.Minute},
		"started, and unreachable": {reach: platformdiscovery.Unreachable, began: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			outage.play(t)
		})
	}
}

// discoveryOutage is how discovery is out of reach, and for how long it was when the front end started; 0: it begins later.
type discoveryOutage struct {
	reach platformdiscovery.Reachability
	began time.Duration
}

func (o discoveryOutage) play(t *testing.T) {
	t.Helper()
	installation := startOutageInstallation(t)
	if o.began > 0 {
		installation.discovery.SetReachability(o.reach)
	}
	frontEnd := startProcess(t, installation.config())
	address := frontEnd.waitForLog("running")["listen"].(string)
	logged := make(chan []string, 1)
	go func() { logged <- frontEnd.collectLog("endpoint list", "violation", "stopped") }()
	var client sync.WaitGroup
	log := &responseLog{}
	warm := make(chan struct{})
	client.Go(func() { installation.send(address, log, warm) })
	<-warm
	installation.discovery.SetReachability(o.reach)
	now := time.Now()
	outageAt := now.Add(-o.began)
	installation.drainAt(now.Add(firstDrainsAfter), installation.workers[:drainsPerGroup])
	installation.drainAt(now.Add(secondDrainsAfter), installation.workers[drainsPerGroup:2*drainsPerGroup])
	installation.at(now.Add(outageLength), func() { installation.discovery.SetReachability(platformdiscovery.Reachable) })
	client.Wait()
	frontEnd.signal(syscall.SIGTERM)
	lines := <-logged
	if code := frontEnd.waitForExit(); code != 0 {
		t.Errorf("the front end ended with code %d", code)
	}
	t.Logf("%d served, %d rejected, %d failed, %d lost", log.served, log.rejected, log.failed, len(log.lost))
	for _, line := range lines {
		t.Log(line)
	}
	for _, worker := range installation.workers {
		worker.verify(t, outageAt)
	}
	if sent := log.served + log.rejected + log.failed + len(log.lost); float64(log.served) < outageLeastServed*float64(sent) {
		t.Errorf("%d of %d requests were served", log.served, sent)
	}
	if len(log.lost) > 0 {
		t.Errorf("%d requests were lost, the first one: %s", len(log.lost), log.lost[0])
	}
}

// drainingWorker is a worker that notes when new work arrives and when it begins to drain.
type drainingWorker struct {
	*emulatedWorker
	arrivals arrivals
	drainsAt atomic.Pointer[time.Time] // nil: it does not drain
}

// verify reports new work that arrived after the front end counted as notified of the drain, and the grace.
func (w *drainingWorker) verify(t *testing.T, outageAt time.Time) {
	t.Helper()
	drainsAt := w.drainsAt.Load()
	if drainsAt == nil {
		return
	}
	notified := *drainsAt
	if inSilence := outageAt.Add(noticeInSilence); inSilence.After(notified) {
		notified = inSilence
	}
	late, last := w.arrivals.after(notified.Add(outageDrainGrace + ruleSlack))
	if late > 0 {
		t.Errorf("%s drains since %v and was sent new work %d times after the notice and the grace, the last time %v after the outage began",
			w.entry(endpointstream.Draining).Name(), drainsAt.Sub(outageAt), late, last.Sub(outageAt))
	}
}

// after returns how many arrivals there were after a time, and the last one.
func (a *arrivals) after(limit time.Time) (count int, last time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.times {
		if at.After(limit) {
			count++
			last = at
		}
	}
	return count, last
}

// outageInstallation is what a front end meets in these tests.
type outageInstallation struct {
	*testing.T
	discovery *platformdiscovery.Server
	workers   []*drainingWorker
}

func startOutageInstallation(t *testing.T) *outageInstallation {
	t.Helper()
	installation := &outageInstallation{T: t}
	var err error
	if installation.discovery, err = platformdiscovery.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(installation.discovery.Close)
	for i := range outageWorkers {
		worker := &drainingWorker{emulatedWorker: &emulatedWorker{id: uint32(i + 1), loaded: map[string]time.Time{}}}
		worker.Server, err = platformworker.StartObserved(worker.handle, worker.note)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(worker.Close)
		installation.workers = append(installation.workers, worker)
	}
	return installation
}

// note notes new work, whatever becomes of it.
func (w *drainingWorker) note(f workerframe.Frame) {
	if platformworker.IsNewWork(f) {
		w.arrivals.add()
	}
}

// drainAt has workers begin to drain at a time. Discovery tells of each once it is within reach.
func (o *outageInstallation) drainAt(begin time.Time, workers []*drainingWorker) {
	o.at(begin, func() {
		for _, worker := range workers {
			worker.SetDraining(true)
			now := time.Now()
			worker.drainsAt.Store(&now)
			o.discovery.Publish(endpointstream.Event{
				Number:  uint64(worker.id) + 1, // the first event is the configuration's
				Kind:    endpointstream.Delta,
				Entries: []endpointstream.Entry{worker.entry(endpointstream.Draining)},
			})
		}
	})
}

// at does something at a time, unless the test has ended by then.
func (o *outageInstallation) at(due time.Time, do func()) {
	timer := time.AfterFunc(time.Until(due), do)
	o.Cleanup(func() { timer.Stop() })
}

// send sends requests for the warm-up, the outage and a while after it, and closes warm after the first.
func (o *outageInstallation) send(address string, log *responseLog, warm chan<- struct{}) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		o.Error(err)
		close(warm)
		return
	}
	client := &steadyClient{Conn: connection, rng: rand.New(rand.NewPCG(1, 4)), log: log, open: map[int]openRequest{}, cancelled: map[int]bool{}}
	ended := make(chan struct{})
	go func() { defer close(ended); client.read() }()
	warmUp := int(outageWarmUp / outageRequestGap)
	next := time.Now()
	for i := range warmUp + int((outageLength+outageAfter)/outageRequestGap) {
		if i == warmUp {
			close(warm)
		}
		time.Sleep(time.Until(next)) // the client's own pace is what is emulated
		next = next.Add(outageRequestGap)
		function := fmt.Sprintf("%016x", 1+client.rng.IntN(outageFunctions))
		client.sendRequest(i+1, fmt.Sprintf("%016x", i+1), "quote", outageRequestWait, map[string]string{"key": function})
	}
	time.Sleep(outageRequestWait + 2*lateResponse) // all have ended then
	_ = client.Close()
	<-ended
}

// config is the configuration of the front end.
func (o *outageInstallation) config() string {
	o.Helper()
	settings := platformSettings{
		discovery: o.discovery.Address(), frontEnds: 1,
		allowed: map[string]any{"probes": true},
		rules:   map[string]any{"stopSendingWithin": float64(outageDrainGrace.Milliseconds())},
		classes: []map[string]any{{"name": "quote", "deadline": 1200.0, "onTime": 600.0, "repeat": "retryable", "worth": 2.0}},
	}
	for _, worker := range o.workers {
		settings.workers = append(settings.workers, worker.entry(endpointstream.Ready))
	}
	return settings.json(o.T)
}
