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

// These tests guard against new work for workers that drain while discovery is unreachable. The platform considers a
// front end notified of a drain a few seconds after discovery became silent, whether or not the front end received a
// notice. Once this time and the drain grace have passed, no new work may start at the worker.
//
// In the incident, the last endpoint list remained valid for an unlimited time, so that front ends sent attempts and
// load orders to draining workers for the whole outage. The workers rejected them, and the front ends mistook the
// draining workers for overloaded ones. The requests were served elsewhere, and no client noticed.
//
// Without the fix, new work arrived at workers of both groups until the outage ended, although the front end's own log
// said that the list was no longer confirmed. With the fix, none arrives, and as many requests are served.

// Parameters of the installation. One group of workers begins to drain just after the outage begins. A second group
// begins later, when the front end is considered notified immediately.
const (
	outageWorkers         = 12
	drainsPerGroup        = 3
	outageFunctions       = 24
	outageRequestInterval = 15 * time.Millisecond
	outageRequestTimeout  = 1200 * time.Millisecond
	outageDrainGrace      = 500 * time.Millisecond
	notifiedAfterSilence  = 4 * time.Second
	outageWarmUp          = 2500 * time.Millisecond // long enough for the endpoint list to be confirmed
	outageLength          = 7 * time.Second
	outageRecovery        = 2 * time.Second
	firstDrainDelay       = 100 * time.Millisecond // counted from the end of the warm-up, by which the outage has begun
	secondDrainDelay      = 5 * time.Second
	outageMinServed       = 0.95 // minimum fraction of requests that are served
)

// TestIncidentDiscoveryOutage_WorkersDrainMeanwhile_GetNoNewWork checks that workers that drain while discovery is
// unreachable receive no new work, and that the other workers continue to serve requests.
func TestIncidentDiscoveryOutage_WorkersDrainMeanwhile_GetNoNewWork(t *testing.T) {
	for name, outage := range map[string]discoveryOutage{
		"discovery silent":                                 {reach: platformdiscovery.Silent},
		"discovery unreachable":                            {reach: platformdiscovery.Unreachable},
		"front end started while discovery is silent":      {reach: platformdiscovery.Silent, began: time.Minute},
		"front end started while discovery is unreachable": {reach: platformdiscovery.Unreachable, began: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			outage.run(t)
		})
	}
}

// discoveryOutage describes an outage of discovery.
type discoveryOutage struct {
	reach platformdiscovery.Reachability // what a connection to discovery meets during the outage
	began time.Duration                  // age of the outage at the front end's start; 0: begins after the warm-up
}

func (o discoveryOutage) run(t *testing.T) {
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
	installation.drainAt(now.Add(firstDrainDelay), installation.workers[:drainsPerGroup])
	installation.drainAt(now.Add(secondDrainDelay), installation.workers[drainsPerGroup:2*drainsPerGroup])
	installation.at(now.Add(outageLength), func() { installation.discovery.SetReachability(platformdiscovery.Reachable) })
	client.Wait()
	frontEnd.signal(syscall.SIGTERM)
	lines := <-logged
	if code := frontEnd.waitForExit(); code != 0 {
		t.Errorf("the front end exited with code %d", code)
	}
	t.Logf("%d served, %d rejected, %d failed, %d lost", log.served, log.rejected, log.failed, len(log.lost))
	for _, line := range lines {
		t.Log(line)
	}
	for _, worker := range installation.workers {
		worker.verify(t, outageAt)
	}
	if sent := log.served + log.rejected + log.failed + len(log.lost); float64(log.served) < outageMinServed*float64(sent) {
		t.Errorf("%d of %d requests were served", log.served, sent)
	}
	if len(log.lost) > 0 {
		t.Errorf("%d requests were lost, the first of them: %s", len(log.lost), log.lost[0])
	}
}

// drainingWorker is a worker that records when new work arrives and when it begins to drain.
type drainingWorker struct {
	*emulatedWorker
	arrivals    arrivals
	drainsSince atomic.Pointer[time.Time] // start of the drain; nil until then
}

// verify fails the test if new work arrived after the front end was considered notified of the drain and the drain
// grace had passed.
func (w *drainingWorker) verify(t *testing.T, outageAt time.Time) {
	t.Helper()
	drainsSince := w.drainsSince.Load()
	if drainsSince == nil {
		return
	}
	notified := *drainsSince
	if afterSilence := outageAt.Add(notifiedAfterSilence); afterSilence.After(notified) {
		notified = afterSilence
	}
	late, last := w.arrivals.after(notified.Add(outageDrainGrace + timingSlack))
	if late > 0 {
		t.Errorf("%s began to drain %v after the start of the outage and received new work %d times after the notice and the grace, the last time %v after the start",
			w.entry(endpointstream.Draining).Name(), drainsSince.Sub(outageAt), late, last.Sub(outageAt))
	}
}

// after returns the number of arrivals after limit, and the time of the last of them.
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

// outageInstallation holds the discovery service and the workers that a front end connects to in these tests.
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
		worker.Server, err = platformworker.StartObserved(worker.handle, worker.recordNewWork)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(worker.Close)
		installation.workers = append(installation.workers, worker)
	}
	return installation
}

// recordNewWork records the arrival of new work, whether or not the worker accepts it.
func (w *drainingWorker) recordNewWork(f workerframe.Frame) {
	if platformworker.IsNewWork(f) {
		w.arrivals.add()
	}
}

// drainAt makes workers begin to drain at the time begin. Discovery publishes each drain, which front ends receive once
// discovery is reachable.
func (o *outageInstallation) drainAt(begin time.Time, workers []*drainingWorker) {
	o.at(begin, func() {
		for _, worker := range workers {
			worker.SetDraining(true)
			now := time.Now()
			worker.drainsSince.Store(&now)
			o.discovery.Publish(endpointstream.Event{
				Number:  uint64(worker.id) + 1, // event 1 is in the front end's configuration
				Kind:    endpointstream.Delta,
				Entries: []endpointstream.Entry{worker.entry(endpointstream.Draining)},
			})
		}
	})
}

// at calls do at the time due, unless the test has ended by then.
func (o *outageInstallation) at(due time.Time, do func()) {
	timer := time.AfterFunc(time.Until(due), do)
	o.Cleanup(func() { timer.Stop() })
}

// send sends requests during the warm-up, the outage and the recovery. It closes warm at the end of the warm-up.
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
	warmUp := int(outageWarmUp / outageRequestInterval)
	next := time.Now()
	for i := range warmUp + int((outageLength+outageRecovery)/outageRequestInterval) {
		if i == warmUp {
			close(warm)
		}
		time.Sleep(time.Until(next)) // emulates a client that sends at a steady rate
		next = next.Add(outageRequestInterval)
		function := fmt.Sprintf("%016x", 1+client.rng.IntN(outageFunctions))
		client.sendRequest(i+1, fmt.Sprintf("%016x", i+1), "quote", outageRequestTimeout, map[string]string{"key": function})
	}
	time.Sleep(outageRequestTimeout + 2*lateResponseGrace) // by then every request has a response or is lost
	_ = client.Close()
	<-ended
}

// config returns the configuration of the front end.
func (o *outageInstallation) config() string {
	o.Helper()
	settings := platformSettings{
		discovery: o.discovery.Address(), frontEnds: 1,
		limits:  map[string]any{"probes": true},
		rules:   map[string]any{"stopSendingWithin": float64(outageDrainGrace.Milliseconds())},
		classes: []map[string]any{{"name": "quote", "deadline": 1200.0, "onTime": 600.0, "repeat": "retryable", "worth": 2.0}},
	}
	for _, worker := range o.workers {
		settings.workers = append(settings.workers, worker.entry(endpointstream.Ready))
	}
	return settings.json(o.T)
}
