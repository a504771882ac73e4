package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/discovery"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// This file is an exhaustive model check in a small scope: it runs every order, up to a depth, of the events of two
// requests on two workers, with the real FrontEnd and the real scheduler. At each step and at the end it checks the
// invariants on what worker clients and clients observe.

// simulation runs one order of events. It consists of a FrontEnd and a record of what worker clients and clients
// observed.
type simulation struct {
	*testHarness
	classes       [2]int
	submitted     [2]*Request
	responses     [2]int
	kinds         [2]ResponseKind
	received      int
	disconnected  [2]bool
	abandoned     []*workerconn.Attempt // attempts that the FrontEnd abandoned after they were sent
	draining      bool
	sentByRequest map[string][]sentRecord
	path          []string
	violation     string
}

// sentRecord records an attempt that was passed to a worker client.
type sentRecord struct {
	attempt       *workerconn.Attempt
	cell          int
	sentAt        time.Duration
	neverExecuted bool // whether the FrontEnd knows that the attempt did not execute
	written       bool
}

// recordingClient is a worker client that records each attempt and keeps it in the write buffer until a step writes it.
type recordingClient struct {
	*fakeWorkerClient
	simulation *simulation
}

func (s recordingClient) Send(attempt *workerconn.Attempt) *workerconn.Result {
	s.simulation.checkSend(s.fakeWorkerClient, attempt)
	return s.fakeWorkerClient.Send(attempt)
}

func (s recordingClient) Abandon(attempt *workerconn.Attempt) bool {
	mayBeReceived := s.fakeWorkerClient.Abandon(attempt)
	if mayBeReceived {
		s.simulation.abandoned = append(s.simulation.abandoned, attempt)
	} else {
		s.simulation.record(attempt).neverExecuted = true
	}
	return mayBeReceived
}

func (s recordingClient) Drain(d time.Duration) ([]*workerconn.Attempt, []*workerconn.LoadOrder) {
	taken, orders := s.fakeWorkerClient.Drain(d)
	for _, attempt := range taken {
		s.simulation.record(attempt).neverExecuted = true
	}
	return taken, orders
}

func (sim *simulation) OpenWorker(id scheduler.WorkerID, info discovery.Worker) WorkerClient {
	worker := sim.testHarness.OpenWorker(id, info).(*fakeWorkerClient)
	worker.holdsWrites = true
	return recordingClient{worker, sim}
}

func (sim *simulation) record(attempt *workerconn.Attempt) *sentRecord {
	list := sim.sentByRequest[attempt.Request.ID]
	for i := range list {
		if list[i].attempt == attempt {
			return &list[i]
		}
	}
	panic("attempt was never passed to a worker client")
}

func (sim *simulation) reportViolation(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, args...)
	}
}

// checkSend checks, when an attempt is passed to a worker client, that the request may still be sent to that worker and
// that a retry is permitted for its class (invariants 2 and 3).
func (sim *simulation) checkSend(worker *fakeWorkerClient, attempt *workerconn.Attempt) {
	id := attempt.Request.ID
	index := int(id[0] - '0')
	cell := int(worker.name[1]-'0') % 2
	if sim.responses[index] > 0 || sim.disconnected[index] {
		sim.reportViolation("request %d was sent after its final state", index)
	}
	if worker.drained {
		sim.reportViolation("request %d was sent to a draining worker", index)
	}
	for _, earlier := range sim.sentByRequest[id] {
		if earlier.neverExecuted {
			continue
		}
		switch sim.classes[index] {
		case nonIdempotentClass:
			sim.reportViolation("non-idempotent request %d was retried although it may have executed", index)
		case keyedClass:
			if earlier.cell != cell || sim.clock-earlier.sentAt > time.Second {
				sim.reportViolation("keyed request %d was retried outside its key's scope or retention", index)
			}
		}
	}
	sim.sentByRequest[id] = append(sim.sentByRequest[id], sentRecord{attempt: attempt, cell: cell, sentAt: sim.clock})
}

// checkResponse checks that a request gets only one final response, in time (invariant 1), and that no request that may
// have executed is rejected.
func (sim *simulation) checkResponse(i int, response FinalResponse) {
	sim.responses[i]++
	sim.kinds[i] = response.Kind
	if sim.responses[i] > 1 {
		sim.reportViolation("request %d has %d final responses", i, sim.responses[i])
	}
	if sim.disconnected[i] {
		sim.reportViolation("request %d has a response after its client disconnected", i)
	}
	if sim.clock >= sim.submitted[i].StartedAt+sim.submitted[i].Timeout {
		sim.reportViolation("request %d has a response after its client's timeout", i)
	}
	if response.Kind != Rejected || sim.classes[i] == idempotentClass {
		return
	}
	for _, s := range sim.sentByRequest[sim.submitted[i].ID] {
		if !s.neverExecuted {
			sim.reportViolation("request %d was rejected although it may have executed", i)
		}
	}
}

func newSimulation(t *testing.T, classes [2]int) *simulation {
	sim := &simulation{classes: classes, sentByRequest: map[string][]sentRecord{}}
	sim.testHarness = &testHarness{T: t, clock: time.Minute, clients: map[string]*fakeWorkerClient{}}
	settings := Settings{
		Scheduler: testScheduler(), Name: "fe", Classes: []string{"safe", "keyed", "unsafe"}, DeadlineMargin: 20 * ms, MaxInFlight: 100,
		ClockStart: time.Unix(0, 0),
	}
	sim.FrontEnd = NewFrontEnd(sim.clock, settings, sim, zerolog.Nop())
	sim.listWorkers(2, nil)
	return sim
}

// step is a possible next event.
type step struct {
	name string
	run  func()
}

// possibleSteps lists all possible next events in a deterministic order.
func (sim *simulation) possibleSteps() (list []step) {
	add := func(do func(), format string, args ...any) {
		list = append(list, step{fmt.Sprintf(format, args...), do})
	}
	if sim.received < 2 {
		add(sim.receiveNext, "request %d is received", sim.received)
	}
	for _, name := range []string{"w0", "w1"} {
		worker := sim.clients[name]
		for _, attempt := range worker.queued {
			add(func() { sim.writeOut(worker, attempt) }, "%s is written to %s", attempt.Request.ID, name)
			add(func() { sim.endAttemptWith(worker, attempt, scheduler.ConnectFailed) }, "%s finds no connection to %s", attempt.Request.ID, name)
		}
		for _, attempt := range worker.sent {
			if known := sim.attempts[attempt]; known != nil && known.state == attemptStreaming {
				add(func() { sim.endAttemptWith(worker, attempt, scheduler.OK) }, "%s ends", attempt.Request.ID)
				add(func() { sim.endAttemptWith(worker, attempt, scheduler.Reset) }, "%s breaks off", attempt.Request.ID)
				continue
			}
			for _, s := range []scheduler.Status{scheduler.OK, scheduler.Error, scheduler.Overloaded, scheduler.Reset} {
				add(func() { sim.endAttemptWith(worker, attempt, s) }, "%s at %s ends with status %d", attempt.Request.ID, name, s)
			}
			add(func() {
				sim.ResponseStarted(sim.clock, attempt, workerconn.Result{Status: scheduler.OK, QueueDepth: -1, Response: &workerconn.Response{}})
			}, "%s starts its response", attempt.Request.ID)
		}
	}
	for _, attempt := range sim.abandoned {
		add(func() {
			sim.AttemptEnded(sim.clock, attempt, workerconn.Result{Status: scheduler.OK, QueueDepth: -1, Response: &workerconn.Response{}})
		}, "%s has a late response", attempt.Request.ID)
	}
	for i := range sim.received {
		if sim.responses[i] == 0 && !sim.disconnected[i] {
			add(func() { sim.disconnected[i] = true; sim.ClientDisconnected(sim.clock, sim.submitted[i]) }, "client %d disconnects", i)
		}
	}
	if sim.draining {
		add(func() { sim.draining = false; sim.listWorkers(2, nil) }, "w0 is ready")
	} else {
		add(func() {
			sim.draining = true
			sim.listWorkers(2, map[string]scheduler.WorkerState{"w0": scheduler.Draining})
		}, "w0 drains")
	}
	add(func() { sim.advance(900 * ms) }, "900ms pass")
	return list
}

func (sim *simulation) receiveNext() {
	i := sim.received
	sim.received++
	request := NewRequestWithCallback(func(f FinalResponse) { sim.checkResponse(i, f) })
	request.ID = fmt.Sprint(i)
	request.Class = sim.classes[i]
	request.StartedAt = sim.clock
	request.Timeout = 2 * time.Second
	request.Replica.Function = "f"
	request.Replica.MemoryMB = 100
	request.Replica.Concurrency = 2
	sim.submitted[i] = request
	sim.RequestReceived(sim.clock, request)
}

func (sim *simulation) writeOut(worker *fakeWorkerClient, attempt *workerconn.Attempt) {
	if sim.draining && worker.name == "w0" {
		sim.reportViolation("request %s was written to a draining worker", attempt.Request.ID)
	}
	worker.remove(attempt)
	worker.sent = append(worker.sent, attempt)
	sim.record(attempt).written = true
}

func (sim *simulation) endAttemptWith(worker *fakeWorkerClient, attempt *workerconn.Attempt, s scheduler.Status) {
	worker.remove(attempt)
	sim.record(attempt).neverExecuted = s == scheduler.ConnectFailed || s == scheduler.Overloaded
	sim.AttemptEnded(sim.clock, attempt, workerconn.Result{Status: s, QueueDepth: -1, Response: &workerconn.Response{}})
}

// checkEnd advances past all deadlines and checks that each request whose client stayed connected has its final
// response.
func (sim *simulation) checkEnd() {
	sim.advance(2100 * ms)
	for i := range sim.received {
		if sim.responses[i] == 0 && !sim.disconnected[i] {
			sim.reportViolation("request %d has no response", i)
		}
	}
	if sim.Counts().PastDeadline > 0 {
		sim.reportViolation("the scheduler did not end a request before its deadline")
	}
}

// explorer runs all orders of events up to a depth. It restarts each order from its beginning.
type explorer struct {
	t       *testing.T
	classes [2]int
	depth   int
	paths   int
}

func (x *explorer) walk(prefix []int) {
	sim := newSimulation(x.t, x.classes)
	var next []step
	for _, choice := range prefix {
		s := sim.possibleSteps()[choice]
		sim.path = append(sim.path, s.name)
		s.run()
	}
	if next = sim.possibleSteps(); len(prefix) < x.depth && sim.violation == "" {
		for i := range next {
			x.walk(append(prefix[:len(prefix):len(prefix)], i))
			if x.t.Failed() {
				return
			}
		}
		return
	}
	x.paths++
	sim.checkEnd()
	if sim.violation != "" {
		x.t.Errorf("%s, after: %s", sim.violation, strings.Join(sim.path, "; "))
	}
}

func TestFrontEnd_EveryEventOrder_KeepsInvariants(t *testing.T) {
	depth := 6
	if testing.Short() {
		depth = 5
	}
	total := 0
	for _, classes := range [][2]int{{nonIdempotentClass, keyedClass}, {keyedClass, keyedClass}, {nonIdempotentClass, nonIdempotentClass}, {idempotentClass, nonIdempotentClass}} {
		x := &explorer{t: t, classes: classes, depth: depth}
		x.walk([]int{0}) // the first event is always the receipt of a request
		total += x.paths
	}
	t.Logf("%d orders of %d events each", total, depth+1)
	if total < 5000 {
		t.Errorf("only %d orders were run, want at least 5000", total)
	}
}
