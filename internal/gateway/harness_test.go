package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/discovery"
	"havencart/internal/native/muxframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

const ms = time.Millisecond

// fakeWorkerClient is a WorkerClient that keeps the work from the FrontEnd until a test decides its outcome.
type fakeWorkerClient struct {
	name         string
	queued       []*workerconn.Attempt // not written yet
	sent         []*workerconn.Attempt
	orders       []*workerconn.LoadOrder
	canceled     []*workerconn.Attempt
	drained      bool
	stopped      bool
	healthChecks []*workerconn.HealthCheck // health checks without a response
	unloads      int
	holdsWrites  bool // whether attempts stay in the write buffer
	unreachable  bool // whether what is sent is held by the network
	rejection    *workerconn.Result
}

func (worker *fakeWorkerClient) Send(attempt *workerconn.Attempt) *workerconn.Result {
	switch {
	case worker.rejection != nil:
		return worker.rejection
	case worker.drained:
		return &workerconn.Result{Status: scheduler.NotSent, QueueDepth: -1}
	case worker.holdsWrites:
		worker.queued = append(worker.queued, attempt)
	default:
		worker.sent = append(worker.sent, attempt)
	}
	return nil
}

func (worker *fakeWorkerClient) Abandon(attempt *workerconn.Attempt) bool {
	found := slices.Contains(worker.sent, attempt)
	if found {
		worker.canceled = append(worker.canceled, attempt)
	}
	worker.remove(attempt)
	return found
}

func (worker *fakeWorkerClient) IsReceived(attempt *workerconn.Attempt) bool {
	return !worker.unreachable || !slices.Contains(worker.sent, attempt)
}

func (worker *fakeWorkerClient) CancelUnsent(attempt *workerconn.Attempt) bool {
	found := slices.Contains(worker.queued, attempt)
	if found {
		worker.remove(attempt)
	}
	return found
}

func (worker *fakeWorkerClient) remove(attempt *workerconn.Attempt) {
	match := func(x *workerconn.Attempt) bool { return x == attempt }
	worker.queued, worker.sent = slices.DeleteFunc(worker.queued, match), slices.DeleteFunc(worker.sent, match)
}

func (worker *fakeWorkerClient) Load(order *workerconn.LoadOrder) scheduler.Status {
	worker.orders = append(worker.orders, order)
	return 0
}

func (worker *fakeWorkerClient) AbandonLoad(*workerconn.LoadOrder) {}

func (worker *fakeWorkerClient) Unload(string) { worker.unloads++ }

func (worker *fakeWorkerClient) CheckHealth(check *workerconn.HealthCheck) scheduler.Status {
	worker.healthChecks = append(worker.healthChecks, check)
	return 0
}

func (worker *fakeWorkerClient) AbandonHealthCheck(check *workerconn.HealthCheck) {
	match := func(x *workerconn.HealthCheck) bool { return x == check }
	worker.healthChecks = slices.DeleteFunc(worker.healthChecks, match)
}

func (worker *fakeWorkerClient) Resume() { worker.drained = false }

func (worker *fakeWorkerClient) Busy() bool { return len(worker.queued)+len(worker.sent) > 0 }

func (worker *fakeWorkerClient) Stop() { worker.stopped = true }

func (worker *fakeWorkerClient) Drain(time.Duration) ([]*workerconn.Attempt, []*workerconn.LoadOrder) {
	worker.drained = true
	taken := worker.queued
	worker.queued = nil
	return taken, nil
}

// testHarness passes events to a FrontEnd, with a clock that the test controls.
type testHarness struct {
	*testing.T
	*FrontEnd
	clock   time.Duration
	clients map[string]*fakeWorkerClient
	opened  int
	watches int
}

func (harness *testHarness) OpenWorker(_ scheduler.WorkerID, w discovery.Worker) WorkerClient {
	harness.opened++
	worker := &fakeWorkerClient{name: w.Name}
	harness.clients[w.Name] = worker
	return worker
}

func (harness *testHarness) WatchEndpoints() { harness.watches++ }

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

func newHarness(t *testing.T, workers int, change func(*Settings)) *testHarness {
	harness := &testHarness{T: t, clock: time.Minute, clients: map[string]*fakeWorkerClient{}}
	settings := Settings{
		Scheduler: testScheduler(), Name: "fe", Classes: []string{"safe", "keyed", "unsafe"}, DeadlineMargin: 20 * ms, MaxInFlight: 100,
		ClockStart: time.Unix(0, 0),
	}
	if change != nil {
		change(&settings)
	}
	harness.FrontEnd = NewFrontEnd(harness.clock, settings, harness, zerolog.Nop())
	harness.listWorkers(workers, nil)
	return harness
}

// listWorkers reports an endpoint list of n workers. They are ready unless states gives them another state.
func (harness *testHarness) listWorkers(n int, states map[string]scheduler.WorkerState) {
	var list []discovery.Worker
	for i := range n {
		w := discovery.Worker{Name: fmt.Sprint("w", i), Address: fmt.Sprint("h:", i+1), Cell: fmt.Sprint(i % 2), Scale: 1, State: scheduler.Ready}
		if s := states[w.Name]; s != 0 {
			w.State = s
		}
		list = append(list, w)
	}
	harness.EndpointsListed(harness.clock, list)
}

func (harness *testHarness) submit(class int) *Request { return harness.submitTo(class, 2) }

// submitTo submits a request for a function whose replicas have the given concurrency.
func (harness *testHarness) submitTo(class, concurrency int) *Request {
	request := NewRequest()
	request.Class = class
	request.StartedAt = harness.clock
	request.Timeout = 2 * time.Second
	request.Replica = muxframe.ReplicaSpec{Function: "f", MemoryMB: 100, Concurrency: concurrency}
	harness.RequestReceived(harness.clock, request)
	return request
}

func (harness *testHarness) advance(d time.Duration) {
	for end := harness.clock + d; harness.clock < end; {
		harness.clock = min(end, max(harness.clock, harness.NextTimer()))
		harness.FireTimers(harness.clock)
	}
}

// sentAttempt returns the worker client that has an attempt of a request, and the attempt.
func (harness *testHarness) sentAttempt(request *Request) (*fakeWorkerClient, *workerconn.Attempt) {
	harness.Helper()
	for _, worker := range harness.clients {
		for _, attempt := range slices.Concat(worker.sent, worker.queued) {
			if attempt.Request.ID == request.ID {
				return worker, attempt
			}
		}
	}
	harness.Fatalf("request %s has no attempt", request.ID)
	return nil, nil
}

func (harness *testHarness) hasAttempt(request *Request) bool { return request.current != nil }

func (harness *testHarness) endWith(request *Request, s scheduler.Status) *fakeWorkerClient {
	harness.Helper()
	worker, attempt := harness.sentAttempt(request)
	worker.remove(attempt)
	harness.AttemptEnded(harness.clock, attempt, workerconn.Result{Status: s, QueueDepth: -1, Response: &workerconn.Response{Body: []byte("x")}})
	return worker
}

func (harness *testHarness) responseKind(request *Request) ResponseKind {
	select {
	case f := <-request.Response():
		return f.Kind
	default:
		return 0
	}
}

func (harness *testHarness) wantResponse(request *Request, k ResponseKind) {
	harness.Helper()
	if got := harness.responseKind(request); got != k {
		harness.Errorf("final response %v, want %v", got, k)
	}
	if got := harness.responseKind(request); got != 0 {
		harness.Errorf("got a second final response: %v", got)
	}
}

// inBothOrders runs a test for both orders of two events.
func inBothOrders(t *testing.T, first, second string, run func(t *testing.T, inOrder bool)) {
	t.Run(first+", then "+second, func(t *testing.T) { run(t, true) })
	t.Run(second+", then "+first, func(t *testing.T) { run(t, false) })
}
