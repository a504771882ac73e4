package gateway

import (
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

// fakeWorkerClient stands in for a worker client: it keeps what the FrontEnd gave it until a test says what became of it.
type fakeWorkerClient struct {
	name         string
	queued       []*muxclient.Attempt // not written
	sent         []*muxclient.Attempt
	orders       []*muxclient.LoadOrder
	canceled     []*muxclient.Attempt
	drained      bool
	stopped      bool
	healthChecks int
	unloads      int
	holdsWrites  bool // attempts stay in the write buffer
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

func (worker *fakeWorkerClient) Unload(string) { worker.unloads++ }

func (worker *fakeWorkerClient) CheckHealth() { worker.healthChecks++ }

func (worker *fakeWorkerClient) Resume() { worker.drained = false }

func (worker *fakeWorkerClient) Busy() bool { return len(worker.queued)+len(worker.sent) > 0 }

func (worker *fakeWorkerClient) Stop() { worker.stopped = true }

func (worker *fakeWorkerClient) Drain(time.Duration) ([]*muxclient.Attempt, []*muxclient.LoadOrder) {
	worker.drained = true
	taken := worker.queued
	worker.queued = nil
	return taken, nil
}

// harness hands events to a FrontEnd, at its own clock.
type harness struct {
	*testing.T
	*FrontEnd
	clock   time.Duration
	clients map[string]*fakeWorkerClient
	opened  int
	watches int
}

func (h *harness) OpenWorker(_ scheduler.WorkerID, w discovery.Worker) WorkerClient {
	h.opened++
	worker := &fakeWorkerClient{name: w.Name}
	h.clients[w.Name] = worker
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
	h := &harness{T: t, clock: time.Minute, clients: map[string]*fakeWorkerClient{}}
	set := Settings{
		Scheduler: testScheduler(), Name: "fe", Classes: []string{"safe", "keyed", "unsafe"}, DeadlineMargin: 20 * ms, MaxInFlight: 100,
		ClockStart: time.Unix(0, 0),
	}
	if change != nil {
		change(&set)
	}
	h.FrontEnd = New(h.clock, set, h, zerolog.Nop())
	h.listWorkers(workers, nil)
	return h
}

// listWorkers reports a list of n workers, all ready but those in states.
func (h *harness) listWorkers(n int, states map[string]scheduler.WorkerState) {
	var list []discovery.Worker
	for i := range n {
		w := discovery.Worker{Name: fmt.Sprint("w", i), Address: fmt.Sprint("h:", i+1), Cell: fmt.Sprint(i % 2), Scale: 1, State: scheduler.Ready}
		if s := states[w.Name]; s != 0 {
			w.State = s
		}
		list = append(list, w)
	}
	h.EndpointsChanged(h.clock, list)
}

func (h *harness) submit(class int) *Request {
	request := NewRequest()
	request.Class, request.StartedAt, request.Timeout = class, h.clock, 2*time.Second
	request.Replica = muxframe.ReplicaSpec{Function: "f", MemoryMB: 100, Concurrency: 2}
	h.RequestReceived(h.clock, request)
	return request
}

func (h *harness) advance(d time.Duration) {
	for end := h.clock + d; h.clock < end; {
		h.clock = min(end, max(h.clock, h.NextTimer()))
		h.FireTimers(h.clock)
	}
}

// sentAttempt is the attempt that a worker client has for a request.
func (h *harness) sentAttempt(request *Request) (*fakeWorkerClient, *muxclient.Attempt) {
	h.Helper()
	for _, worker := range h.clients {
		for _, a := range slices.Concat(worker.sent, worker.queued) {
			if a.Request.ID == request.ID {
				return worker, a
			}
		}
	}
	h.Fatalf("request %s has no attempt", request.ID)
	return nil, nil
}

func (h *harness) hasAttempt(request *Request) bool { return request.current != nil }

func (h *harness) endWith(request *Request, s scheduler.Status) *fakeWorkerClient {
	h.Helper()
	worker, a := h.sentAttempt(request)
	worker.remove(a)
	h.AttemptEnded(h.clock, a, muxclient.Result{Status: s, QueueDepth: -1, Response: &muxclient.Response{Body: []byte("x")}})
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
		h.Errorf("final response %v, want %v", got, k)
	}
	if got := h.responseKind(request); got != 0 {
		h.Errorf("a second final response: %v", got)
	}
}

// inBothOrders runs a test for both orders of two events.
func inBothOrders(t *testing.T, first, second string, play func(t *testing.T, firstFirst bool)) {
	t.Run(first+", then "+second, func(t *testing.T) { play(t, true) })
	t.Run(second+", then "+first, func(t *testing.T) { play(t, false) })
}
