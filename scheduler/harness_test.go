package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// harness reports events to a Scheduler and notes its actions. It is the front end only: what workers answer is
// written in each test.
type harness struct {
	t         *testing.T
	scheduler *Scheduler
	now       time.Duration
	actions   []string
	sentTo    map[RequestID][]WorkerID
	queries   []replicaKey
	orders    []replicaKey
	answers   map[RequestID]string
	nextID    RequestID
}

func (script *harness) note(format string, args ...any) {
	script.actions = append(script.actions, fmt.Sprintf(format, args...))
}

func (script *harness) Send(r RequestID, w WorkerID, _ time.Duration) {
	script.sentTo[r] = append(script.sentTo[r], w)
	script.note("send %d", r)
}

func (script *harness) Reject(r RequestID, _ time.Duration, _ FinishCause) {
	script.answers[r] = "rejected"
	script.note("reject %d", r)
}

func (script *harness) Fail(r RequestID, _ FinishCause) {
	script.answers[r] = "failed"
	script.note("fail %d", r)
}

func (script *harness) Cancel(r RequestID, _ int)      { script.note("cancel %d", r) }
func (script *harness) Unload(WorkerID, FunctionID)    { script.note("unload") }
func (script *harness) CheckHealth(w WorkerID)         { script.note("check health %d", w) }
func (script *harness) SetTimer(time.Duration, uint64) {}
func (script *harness) WatchEndpoints()                { script.note("watch") }
func (script *harness) Log(string)                     {}
func (script *harness) Load(w WorkerID, f FunctionID, replicas int) {
	if replicas == 0 {
		script.queries = append(script.queries, replicaKey{w, f})
	} else {
		script.orders = append(script.orders, replicaKey{w, f})
		script.note("load %d", w)
	}
}

// testSettings are those of three front ends whose workers load what they lack.
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

// newHarness starts a Scheduler and reports so many workers to it.
func newHarness(t *testing.T, set Settings, workers int) *harness {
	script := &harness{t: t, now: time.Minute, sentTo: map[RequestID][]WorkerID{}, answers: map[RequestID]string{}}
	script.scheduler = New(script.now, set, script)
	var list []WorkerInfo
	for i := range workers {
		list = append(list, WorkerInfo{ID: WorkerID(i + 1), Cell: i % 2, Started: UnknownStart, State: Ready})
	}
	script.scheduler.WorkersChanged(script.now, list, true)
	return script
}

func (script *harness) changeWorker(info WorkerInfo) {
	script.scheduler.WorkersChanged(script.now, []WorkerInfo{info}, false)
}

// request reports a request for f and returns its identifier.
func (script *harness) request(f FunctionID, class int) RequestID {
	script.nextID++
	script.scheduler.RequestReceived(script.now, Request{ID: script.nextID, Class: class, Function: f, Timeout: 3 * time.Second, ReplicaConcurrency: 2})
	return script.nextID
}

// advance lets time go by, with ticks.
func (script *harness) advance(d time.Duration) {
	for end := script.now + d; script.now < end; {
		script.now = min(end, script.now+tickInterval)
		script.scheduler.TimerFired(script.now, 0)
	}
}

// answerQueries answers every residency query: the replicas at holders are loaded.
func (script *harness) answerQueries(holders ...WorkerID) {
	for len(script.queries) > 0 {
		a := script.queries[0]
		script.queries = script.queries[1:]
		replicas := 0
		if slices.Contains(holders, a.worker) {
			replicas = 1
		}
		script.scheduler.LoadEnded(script.now, LoadResult{Worker: a.worker, Function: a.function, Status: OK, Latency: ms, Replicas: replicas})
	}
}

// workerOf is the worker of the latest attempt of r.
func (script *harness) workerOf(r RequestID) WorkerID {
	script.t.Helper()
	if len(script.sentTo[r]) == 0 {
		script.t.Fatalf("request %d was not sent; actions %v", r, script.actions)
	}
	return script.sentTo[r][len(script.sentTo[r])-1]
}

// inFlightFor is how long the latest attempt of r has been in flight.
func (script *harness) inFlightFor(r RequestID) time.Duration {
	if q := script.scheduler.requests[r]; q != nil {
		return script.now - q.sentAt
	}
	return 0
}

// endAttempt ends the latest attempt of r now.
func (script *harness) endAttempt(r RequestID, status Status, coldStart ColdStart) {
	script.t.Helper()
	w, n := script.workerOf(r), len(script.sentTo[r])
	script.scheduler.AttemptEnded(script.now, Outcome{
		Request: r, Attempt: n - 1, Worker: w, Status: status, Latency: script.inFlightFor(r),
		RequestClosed: status == OK, ColdStart: coldStart,
	})
}

// avoidsWorker is whether a new request for f, with replicas found loaded at every worker, goes elsewhere than to w.
func (script *harness) avoidsWorker(w WorkerID, f FunctionID) bool {
	script.t.Helper()
	r := script.request(f, 0)
	script.answerQueries(1, 2, 3, 4)
	return script.workerOf(r) != w
}

// warm makes one worker known to have f loaded, with a run of 100 ms, and returns it.
func (script *harness) warm(f FunctionID) WorkerID {
	script.t.Helper()
	r := script.request(f, 0)
	script.answerQueries()
	script.answerQueries()
	w := script.workerOf(r)
	script.advance(600 * ms)
	script.endAttempt(r, OK, ColdStartTriggered)
	for range 4 {
		r = script.request(f, 0)
		script.advance(100 * ms)
		script.endAttempt(r, OK, WarmStart)
	}
	return w
}

// count counts the actions noted that begin so.
func (script *harness) count(action string) (n int) {
	for _, a := range script.actions {
		if strings.HasPrefix(a, action) {
			n++
		}
	}
	return n
}

// makePopular makes f a tenth of this front end's work, known to be loaded at one worker.
func (script *harness) makePopular(f FunctionID) WorkerID {
	script.t.Helper()
	w := script.warm(f)
	for script.scheduler.functions.byID[f].requestedRunTime.Value < float64(2*time.Second) {
		r := script.request(f, 0)
		script.advance(20 * ms)
		script.endAttempt(r, OK, WarmStart)
	}
	script.scheduler.demand.runTime.Add(script.now, demandMemory, 9*script.scheduler.demand.runTime.Read(script.now, demandMemory)) // of other functions
	return w
}

// countColdRequests is how many requests at once may go to a cold worker, where 3000 were completed lately.
func (script *harness) countColdRequests(id WorkerID) (n int) {
	script.scheduler.demand.completions.Add(script.now, completionMemory, 3000)
	worker, request := script.scheduler.endpoints.byID[id], &requestRecord{function: script.scheduler.trackFunction(7, 0)}
	for script.scheduler.slowStartAllows(worker, request) {
		worker.sendTimes = append(worker.sendTimes, script.now)
		n++
	}
	return n
}

// endAttemptWithQueueDepth ends the latest attempt of r as a worker does that held so many requests for the function
// when it arrived.
func (script *harness) endAttemptWithQueueDepth(r RequestID, status Status, queueDepth int) {
	script.t.Helper()
	script.scheduler.AttemptEnded(script.now, Outcome{
		Request: r, Attempt: len(script.sentTo[r]) - 1, Worker: script.workerOf(r), Status: status,
		Latency: script.inFlightFor(r), RequestClosed: status == OK, ColdStart: WarmStart, QueueDepth: queueDepth,
	})
}

// setQueueDelay sets the queue delay of a worker as if it had just been observed.
func (script *harness) setQueueDelay(worker *workerRecord, delay time.Duration) {
	script.scheduler.delay.set(worker, script.now, float64(delay))
}

// clearQueueDelay sets the queue delay of a worker as if it had never been observed.
func (script *harness) clearQueueDelay(worker *workerRecord) {
	script.scheduler.delay.removeFromOrder(worker)
	worker.queueDelay = workerDelay{}
}
