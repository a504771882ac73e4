package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// harness reports events to a Scheduler and records its actions. It simulates only the front end; each test supplies
// the workers' answers.
type harness struct {
	t              *testing.T
	scheduler      *Scheduler
	now            time.Duration
	actions        []string
	sentTo         map[RequestID][]WorkerID
	queries        []replicaKey
	orders         []replicaKey
	finalResponses map[RequestID]string
	nextID         RequestID
}

func (h *harness) record(format string, args ...any) {
	h.actions = append(h.actions, fmt.Sprintf(format, args...))
}

func (h *harness) Send(r RequestID, w WorkerID, _ time.Duration) {
	h.sentTo[r] = append(h.sentTo[r], w)
	h.record("send %d", r)
}

func (h *harness) Reject(r RequestID, _ time.Duration, _ FinishCause) {
	h.finalResponses[r] = "rejected"
	h.record("reject %d", r)
}

func (h *harness) Fail(r RequestID, _ FinishCause) {
	h.finalResponses[r] = "failed"
	h.record("fail %d", r)
}

func (h *harness) Cancel(r RequestID, _ int)      { h.record("cancel %d", r) }
func (h *harness) Unload(WorkerID, FunctionID)    { h.record("unload") }
func (h *harness) CheckHealth(w WorkerID)         { h.record("check health %d", w) }
func (h *harness) SetTimer(time.Duration, uint64) {}
func (h *harness) WatchEndpoints()                { h.record("watch") }
func (h *harness) Log(string)                     {}
func (h *harness) Load(w WorkerID, f FunctionID, replicas int) {
	if replicas == 0 {
		h.queries = append(h.queries, replicaKey{w, f})
	} else {
		h.orders = append(h.orders, replicaKey{w, f})
		h.record("load %d", w)
	}
}

// testSettings returns the settings of one of three front ends whose workers load missing functions on request.
func testSettings() Settings {
	return Settings{
		Seed: 1, FrontEndCount: 3, ReplicaIdleTimeout: 10 * time.Second, LoadOrdersAllowed: true, HealthChecksAllowed: true, CancelAllowed: true,
		ReportsColdStart: true, MaxAttempts: 4, MaxRetryAfter: 500 * ms, SlowStartFraction: 0.2, SlowStartDuration: 10 * time.Second, OverloadFactor: 2,
		OverloadWindow: 2 * time.Second, Resolution: 2 * ms, Classes: []Class{
			{LatencyObjective: 800 * ms, Timeout: 3 * time.Second, PriorityWeight: 1, Idempotency: Idempotent},
			{LatencyObjective: 800 * ms, Timeout: 3 * time.Second, PriorityWeight: 1, Idempotency: IdempotentByKey, KeyScope: ScopeCell, KeyRetention: time.Second},
			{LatencyObjective: 800 * ms, Timeout: 3 * time.Second, PriorityWeight: 1, Idempotency: NonIdempotent},
		}, Tenants: []Tenant{{Share: 0.5}, {Share: 0.5}},
	}
}

// newHarness starts a Scheduler and reports the given number of workers to it.
func newHarness(t *testing.T, set Settings, workers int) *harness {
	harness := &harness{t: t, now: time.Minute, sentTo: map[RequestID][]WorkerID{}, finalResponses: map[RequestID]string{}}
	harness.scheduler = New(harness.now, set, harness)
	var list []WorkerInfo
	for i := range workers {
		list = append(list, WorkerInfo{ID: WorkerID(i + 1), Cell: i % 2, Started: UnknownStart, State: Ready})
	}
	harness.scheduler.WorkersChanged(harness.now, list, true)
	return harness
}

func (h *harness) changeWorker(info WorkerInfo) {
	h.scheduler.WorkersChanged(h.now, []WorkerInfo{info}, false)
}

// request reports a request for f and returns its identifier.
func (h *harness) request(f FunctionID, class int) RequestID {
	h.nextID++
	h.scheduler.RequestReceived(h.now, Request{ID: h.nextID, Class: class, Function: f, Timeout: 3 * time.Second, ReplicaConcurrency: 2})
	return h.nextID
}

// advance advances time by d, with ticks.
func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now = min(end, h.now+tickInterval)
		h.scheduler.TimerFired(h.now, 0)
	}
}

// answerQueries answers every residency query; the workers in holders report a loaded replica.
func (h *harness) answerQueries(holders ...WorkerID) {
	for len(h.queries) > 0 {
		a := h.queries[0]
		h.queries = h.queries[1:]
		replicas := 0
		if slices.Contains(holders, a.worker) {
			replicas = 1
		}
		h.scheduler.LoadEnded(h.now, LoadResult{Worker: a.worker, Function: a.function, Status: OK, Latency: ms, Replicas: replicas})
	}
}

// workerOf returns the worker of the latest attempt of r.
func (h *harness) workerOf(r RequestID) WorkerID {
	h.t.Helper()
	if len(h.sentTo[r]) == 0 {
		h.t.Fatalf("request %d was not sent; actions %v", r, h.actions)
	}
	return h.sentTo[r][len(h.sentTo[r])-1]
}

// inFlightFor returns how long the latest attempt of r has been in flight.
func (h *harness) inFlightFor(r RequestID) time.Duration {
	if q := h.scheduler.requests[r]; q != nil {
		return h.now - q.sentAt
	}
	return 0
}

// endAttempt ends the latest attempt of r now.
func (h *harness) endAttempt(r RequestID, status Status, coldStart ColdStart) {
	h.t.Helper()
	w, n := h.workerOf(r), len(h.sentTo[r])
	h.scheduler.AttemptEnded(h.now, Outcome{
		Request: r, Attempt: n - 1, Worker: w, Status: status, Latency: h.inFlightFor(r),
		RequestClosed: status == OK, ColdStart: coldStart,
	})
}

// avoidsWorker reports whether a new request for f is sent to another worker than w when workers 1 to 4 report
// replicas.
func (h *harness) avoidsWorker(w WorkerID, f FunctionID) bool {
	h.t.Helper()
	r := h.request(f, 0)
	h.answerQueries(1, 2, 3, 4)
	return h.workerOf(r) != w
}

// warm has one worker load f and complete runs of 100 ms, and returns that worker.
func (h *harness) warm(f FunctionID) WorkerID {
	h.t.Helper()
	r := h.request(f, 0)
	h.answerQueries()
	h.answerQueries()
	w := h.workerOf(r)
	h.advance(600 * ms)
	h.endAttempt(r, OK, ColdStartTriggered)
	for range 4 {
		r = h.request(f, 0)
		h.advance(100 * ms)
		h.endAttempt(r, OK, WarmStart)
	}
	return w
}

// count returns the number of recorded actions that have the given prefix.
func (h *harness) count(action string) (n int) {
	for _, a := range h.actions {
		if strings.HasPrefix(a, action) {
			n++
		}
	}
	return n
}

// makePopular makes f a tenth of this front end's work, with one known replica, and returns the worker of the
// replica.
func (h *harness) makePopular(f FunctionID) WorkerID {
	h.t.Helper()
	w := h.warm(f)
	for h.scheduler.functions.byID[f].requestedRunTime.Value < float64(2*time.Second) {
		r := h.request(f, 0)
		h.advance(20 * ms)
		h.endAttempt(r, OK, WarmStart)
	}
	// Add the demand for other functions.
	h.scheduler.demand.runTime.Add(h.now, demandMemory, 9*h.scheduler.demand.runTime.Read(h.now, demandMemory))
	return w
}

// countColdRequests returns how many requests may be sent to a cold worker at once after 3000 recent completions.
func (h *harness) countColdRequests(id WorkerID) (n int) {
	h.scheduler.demand.completions.Add(h.now, completionMemory, 3000)
	worker, request := h.scheduler.endpoints.byID[id], &requestRecord{function: h.scheduler.trackFunction(7, 0)}
	for h.scheduler.slowStartAllows(worker, request) {
		worker.sendTimes = append(worker.sendTimes, h.now)
		n++
	}
	return n
}

// endAttemptWithQueueDepth ends the latest attempt of r and reports how many requests for the function the worker
// held when the attempt arrived.
func (h *harness) endAttemptWithQueueDepth(r RequestID, status Status, queueDepth int) {
	h.t.Helper()
	h.scheduler.AttemptEnded(h.now, Outcome{
		Request: r, Attempt: len(h.sentTo[r]) - 1, Worker: h.workerOf(r), Status: status,
		Latency: h.inFlightFor(r), RequestClosed: status == OK, ColdStart: WarmStart, QueueDepth: queueDepth,
	})
}

// setQueueDelay sets the queue delay of a worker as observed now.
func (h *harness) setQueueDelay(worker *workerRecord, delay time.Duration) {
	h.scheduler.delay.set(worker, h.now, float64(delay))
}

// clearQueueDelay sets the queue delay of a worker to never observed.
func (h *harness) clearQueueDelay(worker *workerRecord) {
	h.scheduler.delay.removeFromOrder(worker)
	worker.queueDelay = workerDelay{}
}
