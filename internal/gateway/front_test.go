package gateway

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/discovery"
	"havencart/internal/native/muxclient"
	"havencart/internal/native/muxframe"
	"havencart/scheduler"
)

const ms = time.Millisecond

// fakeLink stands for a link: it keeps what the Front gave it until a test says what became of it.
type fakeWorkerClient struct {
	name         string
	queued       []*muxclient.Attempt // not left
	sent         []*muxclient.Attempt
	orders       []*muxclient.LoadOrder
	canceled     []*muxclient.Attempt
	drained      bool
	stopped      bool
	healthChecks int
	unloads      int
	holdsWrites  bool // what is sent stays in the write buffer
	rejection    *muxclient.Result
}

func (worker *fakeWorkerClient) Send(a *muxclient.Attempt) *muxclient.Result {
	switch {
	case worker.rejection != nil:
		return worker.rejection
	case worker.drained:
		return &muxclient.Result{Status: scheduler.NotSent, QueueDepth: -1}
	case worker.holdsWrites:
		worker.queued = append(worker.queued, a)
	default:
		worker.sent = append(worker.sent, a)
	}
	return nil
}

func (worker *fakeWorkerClient) Abandon(a *muxclient.Attempt) bool {
	was := slices.Contains(worker.sent, a)
	if was {
		worker.canceled = append(worker.canceled, a)
	}
	worker.remove(a)
	return was
}

func (worker *fakeWorkerClient) CancelUnsent(a *muxclient.Attempt) bool {
	was := slices.Contains(worker.queued, a)
	if was {
		worker.remove(a)
	}
	return was
}

func (worker *fakeWorkerClient) remove(a *muxclient.Attempt) {
	match := func(x *muxclient.Attempt) bool { return x == a }
	worker.queued, worker.sent = slices.DeleteFunc(worker.queued, match), slices.DeleteFunc(worker.sent, match)
}

func (worker *fakeWorkerClient) Load(o *muxclient.LoadOrder) scheduler.Status {
	worker.orders = append(worker.orders, o)
	return 0
}
func (worker *fakeWorkerClient) AbandonLoad(*muxclient.LoadOrder) {}
func (worker *fakeWorkerClient) Unload(string)                    { worker.unloads++ }
func (worker *fakeWorkerClient) CheckHealth()                     { worker.healthChecks++ }
func (worker *fakeWorkerClient) Resume()                          { worker.drained = false }
func (worker *fakeWorkerClient) Busy() bool                       { return len(worker.queued)+len(worker.sent) > 0 }
func (worker *fakeWorkerClient) Stop()                            { worker.stopped = true }
func (worker *fakeWorkerClient) Drain(time.Duration) ([]*muxclient.Attempt, []*muxclient.LoadOrder) {
	worker.drained = true
	taken := worker.queued
	worker.queued = nil
	return taken, nil
}

// bench plays events to a Front.
type harness struct {
	*testing.T
	*FrontEnd
	now     time.Duration
	workers map[string]*fakeWorkerClient
	opened  int
	watches int
}

func (h *harness) OpenWorker(_ scheduler.WorkerID, w discovery.Worker) WorkerClient {
	h.opened++
	worker := &fakeWorkerClient{name: w.Name}
	h.workers[w.Name] = worker
	return worker
}

func (h *harness) WatchEndpoints() { h.watches++ }

func testScheduler() scheduler.Settings {
	return scheduler.Settings{
		Seed: 1, FrontEndCount: 1, ReplicaIdleTimeout: 10 * time.Second, ReportsColdStart: true, CancelAllowed: true, MaxAttempts: 4,
		LoadOrderTimeout: time.Second, MaxRetryAfter: 500 * ms, DrainGrace: 500 * ms, Resolution: ms, Classes: []scheduler.Class{
			{LatencyObjective: 500 * ms, Timeout: 2 * time.Second, PriorityWeight: 1, Idempotency: scheduler.Idempotent},
			{LatencyObjective: 500 * ms, Timeout: 2 * time.Second, PriorityWeight: 1, Idempotency: scheduler.IdempotentByKey, KeyScope: scheduler.ScopeCell, KeyRetention: time.Second},
			{LatencyObjective: 500 * ms, Timeout: 2 * time.Second, PriorityWeight: 1, Idempotency: scheduler.NonIdempotent},
		},
	}
}

const (
	idempotentClass = iota
	keyedClass
	nonIdempotentClass
)

func newHarness(t *testing.T, workers int, change func(*Settings)) *harness {
	h := &harness{T: t, now: time.Minute, workers: map[string]*fakeWorkerClient{}}
	set := Settings{
		Scheduler: testScheduler(), Name: "fe", Classes: []string{"safe", "keyed", "unsafe"}, DeadlineMargin: 20 * ms, MaxInFlight: 100,
		ClockStart: time.Unix(0, 0),
	}
	if change != nil {
		change(&set)
	}
	h.FrontEnd = New(h.now, set, h, zerolog.Nop())
	h.listWorkers(workers, nil)
	return h
}

// list tells a list of workers, all ready but those in states.
func (h *harness) listWorkers(n int, states map[string]scheduler.WorkerState) {
	var list []discovery.Worker
	for i := range n {
		w := discovery.Worker{Name: fmt.Sprint("w", i), Address: fmt.Sprint("h:", i+1), Cell: fmt.Sprint(i % 2), Scale: 1, State: scheduler.Ready}
		if s := states[w.Name]; s != 0 {
			w.State = s
		}
		list = append(list, w)
	}
	h.EndpointsChanged(h.now, list)
}

func (h *harness) submit(class int) *Request {
	request := NewRequest()
	request.Class, request.StartedAt, request.Timeout = class, h.now, 2*time.Second
	request.Replica = muxframe.ReplicaSpec{Function: "f", MemoryMB: 100, Concurrency: 2}
	h.RequestReceived(h.now, request)
	return request
}

func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now = min(end, max(h.now, h.NextTimer()))
		h.FireTimers(h.now)
	}
}

// out is the link and the attempt that is out for c.
func (h *harness) sentAttempt(request *Request) (*fakeWorkerClient, *muxclient.Attempt) {
	h.Helper()
	for _, worker := range h.workers {
		for _, a := range slices.Concat(worker.sent, worker.queued) {
			if a.Request.ID == request.ID {
				return worker, a
			}
		}
	}
	h.Fatalf("call %s is not out", request.ID)
	return nil, nil
}

func (h *harness) inFlight(request *Request) bool { return request.current != nil }

func (h *harness) endWith(request *Request, s scheduler.Status) *fakeWorkerClient {
	h.Helper()
	worker, a := h.sentAttempt(request)
	worker.remove(a)
	h.AttemptEnded(h.now, a, muxclient.Result{Status: s, QueueDepth: -1, Response: &muxclient.Response{Body: []byte("x")}})
	return worker
}

func (h *harness) responseKind(request *Request) ResponseKind {
	select {
	case f := <-request.Response():
		return f.Kind
	default:
		return 0
	}
}

func (h *harness) wantResponse(request *Request, k ResponseKind) {
	h.Helper()
	if got := h.responseKind(request); got != k {
		h.Errorf("final answer %v, want %v", got, k)
	}
	if got := h.responseKind(request); got != 0 {
		h.Errorf("a second final answer: %v", got)
	}
}

func TestACallIsServedAndForgotten(t *testing.T) {
	h := newHarness(t, 2, nil)
	request := h.submit(idempotentClass)
	h.endWith(request, scheduler.OK)
	h.wantResponse(request, Served)
	if !h.Idle() || h.Counts().Served != 1 {
		t.Errorf("%+v", h.Counts())
	}
}

// TestAnUnsafeCallIsNeverSentAgainOnceItMayHaveRun is rule 2 through the links' statuses.
func TestAnUnsafeCallIsNeverSentAgainOnceItMayHaveRun(t *testing.T) {
	for _, s := range []scheduler.Status{scheduler.Reset, scheduler.Error, scheduler.Timeout, scheduler.Cancelled} {
		h := newHarness(t, 3, nil)
		request := h.submit(nonIdempotentClass)
		h.endWith(request, s)
		h.wantResponse(request, Failed)
		if request.attempts != 1 {
			t.Errorf("status %d: %d attempts", s, request.attempts)
		}
	}
	for _, s := range []scheduler.Status{scheduler.ConnectFailed, scheduler.Overloaded, scheduler.NotLoaded, scheduler.NotSent} {
		h := newHarness(t, 3, nil)
		request := h.submit(nonIdempotentClass)
		h.endWith(request, s)
		h.advance(100 * ms)
		if request.attempts < 2 || !h.inFlight(request) {
			t.Errorf("status %d: %d attempts, out %t: it never ran", s, request.attempts, h.inFlight(request))
		}
	}
}

// TestADrainTakesBackWhatStandsInTheWriteBuffer: it goes elsewhere, even when it is unsafe.
func TestADrainTakesBackWhatStandsInTheWriteBuffer(t *testing.T) {
	h := newHarness(t, 2, nil)
	for _, worker := range h.workers {
		worker.holdsWrites = true
	}
	request := h.submit(nonIdempotentClass)
	worker, _ := h.sentAttempt(request)
	h.listWorkers(2, map[string]scheduler.WorkerState{worker.name: scheduler.Draining})
	h.advance(100 * ms)
	next, a := h.sentAttempt(request)
	if next == worker || a.Request.Attempt != 1 {
		t.Errorf("attempt %d at %s after the notice", a.Request.Attempt, next.name)
	}
	h.endWith(request, scheduler.OK)
	h.wantResponse(request, Served)
}

func TestWhatHasLeftADrainingWorkerIsWaitedFor(t *testing.T) {
	h := newHarness(t, 2, nil)
	request := h.submit(nonIdempotentClass)
	worker, _ := h.sentAttempt(request)
	h.listWorkers(2, map[string]scheduler.WorkerState{worker.name: scheduler.Removed})
	h.advance(3 * sweepInterval / 2)
	if worker.stopped {
		t.Fatal("the link was stopped with a call under way")
	}
	h.endWith(request, scheduler.OK)
	h.wantResponse(request, Served)
	h.advance(2 * sweepInterval)
	if !worker.stopped {
		t.Error("the link of a worker that is gone stays")
	}
}

func TestAWorkerAtANewAddressGetsANewLink(t *testing.T) {
	h := newHarness(t, 1, nil)
	old := h.workers["w0"]
	request := h.submit(idempotentClass)
	h.EndpointsChanged(h.now, []discovery.Worker{{Name: "w0", Address: "elsewhere:1", Scale: 1, State: scheduler.Ready}})
	if h.opened != 2 || !old.drained || old.stopped {
		t.Fatalf("opened %d, old link drained %t, stopped %t", h.opened, old.drained, old.stopped)
	}
	a := old.sent[0]
	old.remove(a)
	h.AttemptEnded(h.now, a, muxclient.Result{Status: scheduler.OK, QueueDepth: -1, Response: &muxclient.Response{}})
	h.wantResponse(request, Served)
	h.advance(2 * sweepInterval)
	if !old.stopped {
		t.Error("the old link stays")
	}
}

// TestTheFinalAnswerLeavesBeforeTheClientGivesUp: silence of all workers, every class.
func TestTheFinalAnswerLeavesBeforeTheClientGivesUp(t *testing.T) {
	for class, want := range []ResponseKind{idempotentClass: Rejected, keyedClass: Failed, nonIdempotentClass: Failed} {
		h := newHarness(t, 2, nil)
		request := h.submit(class)
		end := h.now + request.Timeout
		for h.now < end && request.state == requestInFlight {
			h.advance(ms)
		}
		if h.now >= end {
			t.Errorf("class %d: no answer in time", class)
		}
		h.wantResponse(request, want)
		if h.Counts().PastDeadline != 0 {
			t.Errorf("class %d: the module gave none", class)
		}
	}
}

// TestACallThatNeverLeftIsRefused: its time passed in the write buffer; the promise can be given.
func TestACallThatNeverLeftIsRefused(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.workers["w0"].holdsWrites = true
	request := h.submit(nonIdempotentClass)
	h.advance(2 * time.Second)
	h.wantResponse(request, Rejected)
}

func TestALateAnswerAfterATimeOutChangesNothing(t *testing.T) {
	h := newHarness(t, 1, nil)
	request := h.submit(nonIdempotentClass)
	_, a := h.sentAttempt(request)
	h.advance(2 * time.Second)
	h.wantResponse(request, Failed)
	h.AttemptEnded(h.now, a, muxclient.Result{Status: scheduler.OK, QueueDepth: -1, Response: &muxclient.Response{}})
	h.wantResponse(request, 0)
}

func TestAClientThatLeavesIsOwedNothing(t *testing.T) {
	t.Run("while its call is out", func(t *testing.T) {
		h := newHarness(t, 1, nil)
		request := h.submit(idempotentClass)
		worker, _ := h.sentAttempt(request)
		h.ClientDisconnected(h.now, request)
		if len(worker.canceled) != 1 || !h.Idle() {
			t.Errorf("called back %d, idle %t", len(worker.canceled), h.Idle())
		}
		h.wantResponse(request, 0)
	})
	t.Run("while its call is held", func(t *testing.T) {
		h := newHarness(t, 0, nil)
		request := h.submit(idempotentClass)
		h.ClientDisconnected(h.now, request)
		if !h.Idle() {
			t.Error("it is kept")
		}
		h.advance(3 * time.Second)
		h.wantResponse(request, 0)
	})
	t.Run("while its answer comes", func(t *testing.T) {
		h := newHarness(t, 1, nil)
		request := h.submit(nonIdempotentClass)
		worker, a := h.sentAttempt(request)
		h.ResponseStarted(h.now, a, muxclient.Result{Status: scheduler.OK, QueueDepth: -1, Response: &muxclient.Response{Stream: &muxclient.Stream{}}})
		h.wantResponse(request, Served)
		h.advance(3 * time.Second) // neither time-out nor deadline holds for it
		if len(worker.canceled) != 0 {
			t.Fatal("a running answer was cut off")
		}
		h.ClientDisconnected(h.now, request)
		if len(worker.canceled) != 1 || !h.Idle() {
			t.Errorf("called back %d, idle %t", len(worker.canceled), h.Idle())
		}
	})
}

func TestAnswersThatBreakOffEndTheCall(t *testing.T) {
	h := newHarness(t, 2, nil)
	request := h.submit(idempotentClass)
	_, a := h.sentAttempt(request)
	h.ResponseStarted(h.now, a, muxclient.Result{Status: scheduler.OK, QueueDepth: -1, Response: &muxclient.Response{}})
	h.AttemptEnded(h.now, a, muxclient.Result{Status: scheduler.Reset, QueueDepth: -1})
	h.advance(100 * ms)
	h.wantResponse(request, Served)
	if request.attempts != 1 || !h.Idle() {
		t.Errorf("%d attempts, idle %t: part of an answer is out, it must not be begun anew", request.attempts, h.Idle())
	}
}

func TestTooManyCallsAreRefusedAtOnce(t *testing.T) {
	h := newHarness(t, 0, func(s *Settings) { s.MaxInFlight = 3 })
	for range 3 {
		h.submit(idempotentClass)
	}
	h.wantResponse(h.submit(idempotentClass), Rejected)
	if n := h.Counts().Shed; n != 1 || h.InFlight() != 3 {
		t.Errorf("turned away %d, in hand %d", n, h.InFlight())
	}
}

func TestACallWithoutTimeIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, 1, nil)
	request := NewRequest()
	request.StartedAt, request.Timeout, request.Replica = h.now-2*time.Second, 2*time.Second, muxframe.ReplicaSpec{Function: "f"}
	h.RequestReceived(h.now, request)
	h.wantResponse(request, Rejected)
}

// TestAnAbortAnswersAll: what never ran is refused, what may have run fails, and nothing is sent again.
func TestAnAbortAnswersAll(t *testing.T) {
	h := newHarness(t, 2, nil)
	out := h.submit(nonIdempotentClass)
	_, _ = h.sentAttempt(out)
	for _, worker := range h.workers {
		worker.holdsWrites = true
	}
	queued := h.submit(nonIdempotentClass)
	h.StopAdmitting(h.now)
	late := h.submit(idempotentClass)
	h.wantResponse(late, Rejected)
	h.Abort(h.now)
	h.wantResponse(out, Failed)
	h.wantResponse(queued, Rejected)
	if !h.Idle() || out.attempts != 1 || queued.attempts > 1 {
		t.Errorf("idle %t, attempts %d and %d", h.Idle(), out.attempts, queued.attempts)
	}
}

func TestARestartByTheWorkersOwnWordEndsBeliefs(t *testing.T) {
	h := newHarness(t, 1, nil)
	id := WorkerID("w0")
	h.WorkerConnected(h.now, id, muxframe.Welcome{Worker: "w0", Incarnation: 1, UptimeMillis: 3600_000})
	request := h.submit(idempotentClass)
	h.endWith(request, scheduler.OK)
	h.WorkerConnected(h.now, id, muxframe.Welcome{Worker: "w0", Incarnation: 2, UptimeMillis: 5})
	if info, news := h.incarnations.ObserveConnection(h.now, id, 2, 5*ms); news || info.Started < h.now-10*ms {
		t.Errorf("started %v, news %t", info.Started, news)
	}
}

func TestAFailedListIsAskedForAgainBySchedule(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.WatchFailed(h.now, errors.New("down"))
	if h.watches != 0 {
		t.Error("asked at once")
	}
	h.advance(1100 * ms)
	if h.watches != 1 {
		t.Errorf("asked %d times", h.watches)
	}
}

// TestNamesWithOneHashAreKeptApart: the second is refused, as copies of one would be taken for the other's.
func TestNamesWithOneHashAreKeptApart(t *testing.T) {
	h := newHarness(t, 1, nil)
	request := h.submit(idempotentClass)
	for _, f := range h.functions {
		f.replica.Function = "another"
	}
	h.wantResponse(h.submit(idempotentClass), Rejected)
	h.endWith(request, scheduler.OK)
}

func TestWhatTheLinkTurnsAwayGoesElsewhere(t *testing.T) {
	h := newHarness(t, 2, nil)
	first := h.submit(nonIdempotentClass)
	worker, _ := h.sentAttempt(first)
	worker.rejection = &muxclient.Result{Status: scheduler.ConnectFailed, QueueDepth: -1}
	h.endWith(first, scheduler.ConnectFailed)
	h.advance(100 * ms)
	if next, _ := h.sentAttempt(first); next == worker {
		t.Error("sent to the same worker")
	}
}

func TestOrdersGoOutAndTimeOut(t *testing.T) {
	h := newHarness(t, 2, func(s *Settings) { s.Scheduler.AnswersNotLoaded, s.Scheduler.LoadOrdersAllowed = true, true })
	request := h.submit(idempotentClass)
	orders := 0
	for _, worker := range h.workers {
		orders += len(worker.orders)
	}
	if orders == 0 {
		t.Fatal("no worker was asked or told to load")
	}
	h.advance(2 * time.Second)
	h.wantResponse(request, Rejected)
	if len(h.loadOrders) != 0 {
		t.Errorf("%d orders are still awaited", len(h.loadOrders))
	}
}

// TestALoopThatIsBehindRefusesWhatWaited: the module is not asked, so that the queue empties.
func TestALoopThatIsBehindRefusesWhatWaited(t *testing.T) {
	h := newHarness(t, 1, nil)
	behind := func() *Request {
		request := NewRequest()
		request.StartedAt, request.queuedAt, request.Timeout, request.Replica = h.now-50*ms, h.now-50*ms, 2*time.Second, muxframe.ReplicaSpec{Function: "f"}
		h.RequestReceived(h.now, request)
		return request
	}
	h.wantResponse(behind(), 0) // a burst
	h.advance(200 * ms)
	taken := h.Counts().Admitted
	h.wantResponse(behind(), Rejected)
	if h.Counts().Admitted != taken {
		t.Error("it was taken")
	}
	h.wantResponse(h.submit(idempotentClass), 0) // waited in no queue
}

// TestProbesAndUnloadsAreCarriedOut: the module asks for none today, a later one may.
func TestProbesAndUnloadsAreCarriedOut(t *testing.T) {
	h := newHarness(t, 1, nil)
	request := h.submit(idempotentClass)
	id, worker := WorkerID("w0"), h.workers["w0"]
	h.CheckHealth(id)
	h.Unload(id, FunctionID("f"))
	if worker.healthChecks != 1 || worker.unloads != 1 || h.Counts().HealthChecks != 1 {
		t.Errorf("%d probes, %d unloads", worker.healthChecks, worker.unloads)
	}
	h.HealthChecked(h.now, id, scheduler.OK, nil)
	h.HealthChecked(h.now, id, scheduler.OK, nil) // one that was not asked for
	h.endWith(request, scheduler.OK)
}

// TestAnAnswersWaitForTheLoopIsNotTheWorkers holds that a loop that is late tells the module no slow workers.
func TestAnAnswersWaitForTheLoopIsNotTheWorkers(t *testing.T) {
	h := newHarness(t, 1, nil)
	request := h.submit(idempotentClass)
	a := request.current
	h.advance(100 * time.Millisecond)
	if took := h.latency(a, muxclient.Result{ReceivedAt: a.sentAt + 30*time.Millisecond}); took != 30*time.Millisecond {
		t.Errorf("an answer read after 30ms, seen after 100ms, counts as one of %v", took)
	}
	if took := h.latency(a, muxclient.Result{}); took != 100*time.Millisecond {
		t.Errorf("an answer that tells no time, seen after 100ms, counts as one of %v", took)
	}
}
