package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/discovery"
	"havencart/internal/native/muxclient"
	"havencart/scheduler"
)

// This file explores the life of calls exhaustively in a small scope: every order of what can happen to two
// calls on two workers, on the real Front and the real module, up to a depth. What is seen at the links and by
// the clients is held to the rules at each step and at the end.

// world is one path: a Front and what links and clients saw.
type simulation struct {
	*harness
	classes       [2]int
	submitted     [2]*Request
	responses     [2]int
	kinds         [2]ResponseKind
	received      int
	clientLeft    [2]bool
	abandoned     []*muxclient.Attempt // given up here after they had left
	draining      bool
	sentByRequest map[string][]sentRecord
	path          []string
	violation     string
}

// send is one attempt as a worker could know of it.
type sentRecord struct {
	attempt       *muxclient.Attempt
	cell          int
	sentAt        time.Duration
	neverExecuted bool // it is known not to have run
	written       bool
}

// spy is a link that notes each attempt and keeps it in the write buffer until it is told to write.
type recordingClient struct {
	*fakeWorkerClient
	simulation *simulation
}

func (s recordingClient) Send(a *muxclient.Attempt) *muxclient.Result {
	s.simulation.checkSend(s.fakeWorkerClient, a)
	return s.fakeWorkerClient.Send(a)
}

func (s recordingClient) Abandon(a *muxclient.Attempt) bool {
	left := s.fakeWorkerClient.Abandon(a)
	if left {
		s.simulation.abandoned = append(s.simulation.abandoned, a)
	} else {
		s.simulation.record(a).neverExecuted = true
	}
	return left
}

func (s recordingClient) Drain(d time.Duration) ([]*muxclient.Attempt, []*muxclient.LoadOrder) {
	taken, orders := s.fakeWorkerClient.Drain(d)
	for _, a := range taken {
		s.simulation.record(a).neverExecuted = true
	}
	return taken, orders
}

func (sim *simulation) OpenWorker(id scheduler.WorkerID, info discovery.Worker) WorkerClient {
	worker := sim.harness.OpenWorker(id, info).(*fakeWorkerClient)
	worker.holdsWrites = true
	return recordingClient{worker, sim}
}

func (sim *simulation) record(a *muxclient.Attempt) *sentRecord {
	list := sim.sentByRequest[a.Request.ID]
	for i := range list {
		if list[i].attempt == a {
			return &list[i]
		}
	}
	panic("an attempt that was never sent")
}

func (sim *simulation) violated(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, args...)
	}
}

// sent holds rules 2 and 3 at the moment at which an attempt is handed to a link.
func (sim *simulation) checkSend(worker *fakeWorkerClient, a *muxclient.Attempt) {
	id := a.Request.ID
	i := int(id[0] - '0')
	cell := int(worker.name[1]-'0') % 2
	if sim.responses[i] > 0 || sim.clientLeft[i] {
		sim.violated("call %d is sent after its end", i)
	}
	if worker.drained {
		sim.violated("call %d is sent to a worker that drains", i)
	}
	for _, earlier := range sim.sentByRequest[id] {
		if earlier.neverExecuted {
			continue
		}
		switch sim.classes[i] {
		case nonIdempotentClass:
			sim.violated("unsafe call %d is sent again, and may have run", i)
		case keyedClass:
			if earlier.cell != cell || sim.now-earlier.sentAt > time.Second {
				sim.violated("keyed call %d is sent again outside its cell or memory", i)
			}
		}
	}
	sim.sentByRequest[id] = append(sim.sentByRequest[id], sentRecord{attempt: a, cell: cell, sentAt: sim.now})
}

// answered holds rule 1, and that no refusal is given to what may have run.
func (sim *simulation) checkResponse(i int, f FinalResponse) {
	sim.responses[i]++
	sim.kinds[i] = f.Kind
	if sim.responses[i] > 1 {
		sim.violated("call %d has %d final answers", i, sim.responses[i])
	}
	if sim.clientLeft[i] {
		sim.violated("call %d is answered after its client left", i)
	}
	if sim.now >= sim.submitted[i].StartedAt+sim.submitted[i].Timeout {
		sim.violated("call %d is answered after its client's patience", i)
	}
	if f.Kind != Rejected || sim.classes[i] == idempotentClass {
		return
	}
	for _, s := range sim.sentByRequest[sim.submitted[i].ID] {
		if !s.neverExecuted {
			sim.violated("call %d is refused, and may have run", i)
		}
	}
}

func newSimulation(t *testing.T, of [2]int) *simulation {
	sim := &simulation{classes: of, sentByRequest: map[string][]sentRecord{}}
	sim.harness = &harness{T: t, now: time.Minute, workers: map[string]*fakeWorkerClient{}}
	set := Settings{
		Scheduler: testScheduler(), Name: "fe", Classes: []string{"safe", "keyed", "unsafe"}, DeadlineMargin: 20 * ms, MaxInFlight: 100,
		ClockStart: time.Unix(0, 0),
	}
	sim.FrontEnd = New(sim.now, set, sim, zerolog.Nop())
	sim.listWorkers(2, nil)
	return sim
}

// step is something that can happen now.
type step struct {
	name string
	run  func()
}

// steps lists all that can happen now, in an order that is always the same.
func (sim *simulation) possibleSteps() (list []step) {
	add := func(do func(), format string, args ...any) {
		list = append(list, step{fmt.Sprintf(format, args...), do})
	}
	if sim.received < 2 {
		add(sim.receiveNext, "call %d arrives", sim.received)
	}
	for _, name := range []string{"w0", "w1"} {
		worker := sim.workers[name]
		for _, a := range worker.queued {
			add(func() { sim.writeOut(worker, a) }, "%s leaves for %s", a.Request.ID, name)
			add(func() { sim.endAttemptWith(worker, a, scheduler.ConnectFailed) }, "%s finds no connection to %s", a.Request.ID, name)
		}
		for _, a := range worker.sent {
			if mine := sim.attempts[a]; mine != nil && mine.state == attemptStreaming {
				add(func() { sim.endAttemptWith(worker, a, scheduler.OK) }, "%s ends", a.Request.ID)
				add(func() { sim.endAttemptWith(worker, a, scheduler.Reset) }, "%s breaks off", a.Request.ID)
				continue
			}
			for _, s := range []scheduler.Status{scheduler.OK, scheduler.Error, scheduler.Overloaded, scheduler.Reset} {
				add(func() { sim.endAttemptWith(worker, a, s) }, "%s at %s ends with status %d", a.Request.ID, name, s)
			}
			add(func() {
				sim.ResponseStarted(sim.now, a, muxclient.Result{Status: scheduler.OK, QueueDepth: -1, Response: &muxclient.Response{}})
			}, "%s begins", a.Request.ID)
		}
	}
	for _, a := range sim.abandoned {
		add(func() {
			sim.AttemptEnded(sim.now, a, muxclient.Result{Status: scheduler.OK, QueueDepth: -1, Response: &muxclient.Response{}})
		}, "%s late", a.Request.ID)
	}
	for i := range sim.received {
		if sim.responses[i] == 0 && !sim.clientLeft[i] {
			add(func() { sim.clientLeft[i] = true; sim.ClientDisconnected(sim.now, sim.submitted[i]) }, "client %d leaves", i)
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
	request := NewRequestTo(func(f FinalResponse) { sim.checkResponse(i, f) })
	request.ID, request.Class, request.StartedAt, request.Timeout = fmt.Sprint(i), sim.classes[i], sim.now, 2*time.Second
	request.Replica.Function, request.Replica.MemoryMB, request.Replica.Concurrency = "f", 100, 2
	sim.submitted[i] = request
	sim.RequestReceived(sim.now, request)
}

func (sim *simulation) writeOut(worker *fakeWorkerClient, a *muxclient.Attempt) {
	if sim.draining && worker.name == "w0" {
		sim.violated("call %s leaves for a worker that drains", a.Request.ID)
	}
	worker.remove(a)
	worker.sent = append(worker.sent, a)
	sim.record(a).written = true
}

func (sim *simulation) endAttemptWith(worker *fakeWorkerClient, a *muxclient.Attempt, s scheduler.Status) {
	worker.remove(a)
	sim.record(a).neverExecuted = s == scheduler.ConnectFailed || s == scheduler.Overloaded
	sim.AttemptEnded(sim.now, a, muxclient.Result{Status: s, QueueDepth: -1, Response: &muxclient.Response{}})
}

// finish lets all time pass: each call whose client stayed must have its answer.
func (sim *simulation) checkEnd() {
	sim.advance(2100 * ms)
	for i := range sim.received {
		if sim.responses[i] == 0 && !sim.clientLeft[i] {
			sim.violated("call %d has no answer", i)
		}
	}
	if sim.Counts().PastDeadline > 0 {
		sim.violated("the module left a call overdue")
	}
}

// explorer walks all paths of a depth by playing each from its beginning.
type explorer struct {
	t       *testing.T
	classes [2]int
	depth   int
	paths   int
}

func (e *explorer) walk(prefix []int) {
	sim := newSimulation(e.t, e.classes)
	var next []step
	for _, choice := range prefix {
		s := sim.possibleSteps()[choice]
		sim.path = append(sim.path, s.name)
		s.run()
	}
	if next = sim.possibleSteps(); len(prefix) < e.depth && sim.violation == "" {
		for i := range next {
			e.walk(append(prefix[:len(prefix):len(prefix)], i))
			if e.t.Failed() {
				return
			}
		}
		return
	}
	e.paths++
	sim.checkEnd()
	if sim.violation != "" {
		e.t.Errorf("%s, after: %s", sim.violation, strings.Join(sim.path, "; "))
	}
}

func TestEveryOrderKeepsTheRules(t *testing.T) {
	depth := 6
	if testing.Short() {
		depth = 5
	}
	total := 0
	for _, classes := range [][2]int{{nonIdempotentClass, keyedClass}, {keyedClass, keyedClass}, {nonIdempotentClass, nonIdempotentClass}, {idempotentClass, nonIdempotentClass}} {
		e := &explorer{t: t, classes: classes, depth: depth}
		e.walk([]int{0}) // a call arrives first
		total += e.paths
	}
	t.Logf("%d orders of %d events each", total, depth+1)
	if total < 5000 {
		t.Errorf("only %d paths: the scope has shrunk", total)
	}
}
