package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// invariantChecker reports random legal events to a Scheduler and checks the following invariants on every action. It
// does not model workers: outcomes are drawn at random from those that the protocols allow.
//
//   - one final response: each request gets exactly one final response, in time, and is not sent afterwards.
//   - safe retries: no retry or rejection makes a request execute twice that must not.
//   - worker state: only workers that are ready are sent requests and load orders.
//   - slow start: a worker in slow start is not overloaded.
//   - load rate limit: load orders stay within their limit.
//   - attempt limit: no request has more than Settings.MaxAttempts attempts.
type invariantChecker struct {
	t             *testing.T
	set           Settings
	scheduler     *Scheduler
	rng           *rand.Rand
	now           time.Duration
	workers       map[WorkerID]WorkerInfo
	ids           []WorkerID
	open          map[RequestID]*trackedRequest
	order         []RequestID // identifiers in open, oldest first
	pendingLoads  []replicaKey
	pendingCounts []int
	loads         []time.Duration
	received      []time.Duration
	sends         map[WorkerID][]time.Duration
	nextID        RequestID
	timers        []pendingTimer
	trace         []string
}

type pendingTimer struct {
	at    time.Duration
	token uint64
}

type trackedRequest struct {
	class           Class
	deadline        time.Duration
	attempts        int
	worker          WorkerID // worker of the attempt in flight, 0 if there is none
	sentAt          time.Duration
	mayHaveExecuted bool
	firstSentAt     time.Duration
	firstWorker     WorkerInfo
	closed          bool
}

func (c *invariantChecker) violate(rule string, format string, args ...any) {
	c.t.Fatalf("%s at %v: %s", rule, c.now, fmt.Sprintf(format, args...))
}

func (c *invariantChecker) record(format string, args ...any) {
	c.trace = append(c.trace, fmt.Sprintf(format, args...))
}

func (c *invariantChecker) Send(id RequestID, worker WorkerID, _ time.Duration) {
	c.record("send %d %d", id, worker)
	request, info := c.open[id], c.workers[worker]
	switch {
	case request == nil || request.closed:
		c.violate("one final response", "request %d sent after its final response", id)
	case request.worker != 0:
		c.violate("safe retries", "request %d has two attempts in flight", id)
	case request.attempts >= c.set.MaxAttempts:
		c.violate("attempt limit", "attempt %d of request %d", request.attempts+1, id)
	case info.State != Ready:
		c.violate("worker state", "request %d sent to worker %d in state %d", id, worker, info.State)
	case request.mayHaveExecuted && request.class.Idempotency == NonIdempotent:
		c.violate("safe retries", "non-idempotent request %d sent again", id)
	case request.mayHaveExecuted && request.class.Idempotency == IdempotentByKey:
		same := request.class.KeyScope == ScopeAll || request.class.KeyScope == ScopeZone && info.Zone == request.firstWorker.Zone ||
			request.class.KeyScope == ScopeCell && info.Cell == request.firstWorker.Cell
		if !same || c.now-request.firstSentAt > request.class.KeyRetention {
			c.violate("safe retries", "request %d with an idempotency key sent outside its key scope or past its key retention", id)
		}
	}
	if age := c.now - info.Started; info.Started != UnknownStart && age < c.set.SlowStartDuration {
		// The limit assumes a capacity of 1000 requests per second for all workers together. Only about 200 requests
		// per second arrive in this test, so that the capacity estimated from responses stays below it.
		part := c.set.SlowStartFraction + (1-c.set.SlowStartFraction)*float64(age)/float64(c.set.SlowStartDuration)
		limit := max(1, c.set.OverloadFactor*part*1000*c.set.OverloadWindow.Seconds()/float64(len(c.ids)))
		c.sends[worker] = append(dropBefore(c.sends[worker], c.now-c.set.OverloadWindow), c.now)
		if float64(len(c.sends[worker])) > limit {
			c.violate("slow start", "%d requests to a cold worker, want at most %.0f", len(c.sends[worker]), limit)
		}
	}
	request.attempts++
	request.worker, request.sentAt = worker, c.now
}

func (c *invariantChecker) recordFinalResponse(id RequestID, rejected bool) {
	request := c.open[id]
	switch {
	case request == nil || request.closed:
		c.violate("one final response", "second final response for request %d", id)
	case c.now > request.deadline+8*ms:
		c.violate("one final response", "final response for request %d is %v late", id, c.now-request.deadline)
	case rejected && request.mayHaveExecuted && (request.class.Idempotency == NonIdempotent || request.class.Idempotency == IdempotentByKey && request.class.KeyScope != ScopeAll):
		c.violate("safe retries", "request %d rejected though it may have executed", id)
	case rejected && request.worker != 0 && request.class.Idempotency != Idempotent:
		c.violate("safe retries", "request %d rejected with an attempt in flight", id)
	}
	request.closed = true
}

func (c *invariantChecker) Reject(id RequestID, _ time.Duration, _ FinishCause) {
	c.record("reject %d", id)
	c.recordFinalResponse(id, true)
}

func (c *invariantChecker) Fail(id RequestID, _ FinishCause) {
	c.record("fail %d", id)
	c.recordFinalResponse(id, false)
}

func (c *invariantChecker) Load(worker WorkerID, function FunctionID, replicas int) {
	c.record("load %d %d %d", worker, function, replicas)
	if replicas > 0 {
		if c.workers[worker].State != Ready {
			c.violate("worker state", "load order to worker %d in state %d", worker, c.workers[worker].State)
		}
		from := c.now - c.set.LoadRateWindow
		c.loads, c.received = append(dropBefore(c.loads, from), c.now), dropBefore(c.received, from)
		if limit := c.set.LoadRateBurst + c.set.LoadRatePerRequest*float64(len(c.received)); c.set.LoadRateWindow > 0 && float64(len(c.loads)) > limit {
			c.violate("load rate limit", "%d load orders in the window, want at most %.1f", len(c.loads), limit)
		}
	}
	c.pendingLoads, c.pendingCounts = append(c.pendingLoads, replicaKey{worker, function}), append(c.pendingCounts, replicas)
}

func (c *invariantChecker) Cancel(id RequestID, attempt int) { c.record("cancel %d %d", id, attempt) }
func (c *invariantChecker) Unload(w WorkerID, fn FunctionID) { c.record("unload %d %d", w, fn) }
func (c *invariantChecker) CheckHealth(w WorkerID)           { c.record("check health %d", w) }
func (c *invariantChecker) WatchEndpoints()                  { c.record("watch") }
func (c *invariantChecker) Log(string)                       {}
func (c *invariantChecker) SetTimer(after time.Duration, token uint64) {
	c.timers = append(c.timers, pendingTimer{c.now + max(after, ms), token})
}

func (c *invariantChecker) changeRandomWorker() {
	worker := c.workers[c.ids[c.rng.IntN(len(c.ids))]]
	switch c.rng.IntN(4) {
	case 0:
		worker.State = Draining
	case 1:
		worker.State = Removed
	default:
		worker.State = Ready
		worker.Started = c.now - time.Duration(c.rng.IntN(3000))*ms
	}
	c.workers[worker.ID] = worker
	c.scheduler.WorkersChanged(c.now, []WorkerInfo{worker}, false)
}

func (c *invariantChecker) receiveRequest() {
	c.nextID++
	class := c.rng.IntN(len(c.set.Classes))
	timeout := time.Duration(1+c.rng.IntN(3000)) * ms
	c.open[c.nextID] = &trackedRequest{class: c.set.Classes[class], deadline: c.now + timeout}
	c.order = append(c.order, c.nextID)
	c.received = append(c.received, c.now)
	c.scheduler.RequestReceived(c.now, Request{
		ID: c.nextID, Class: class, Tenant: c.rng.IntN(2),
		Function: FunctionID(c.rng.IntN(12)), Timeout: timeout, ReplicaConcurrency: 1 + c.rng.IntN(4),
	})
}

func (c *invariantChecker) endAttempt(id RequestID, status Status) {
	request := c.open[id]
	if status == Error || status == Timeout || status == Reset || status == Cancelled {
		if !request.mayHaveExecuted {
			request.mayHaveExecuted, request.firstSentAt, request.firstWorker = true, request.sentAt, c.workers[request.worker]
		}
	}
	outcome := Outcome{
		Request: id, Attempt: request.attempts - 1, Worker: request.worker, Status: status, Latency: c.now - request.sentAt,
		ColdStart: ColdStart(c.rng.IntN(4)), QueueDepth: c.rng.IntN(5),
	}
	request.worker = 0
	if status == OK {
		request.closed = true
	}
	outcome.RequestClosed = request.closed
	c.scheduler.AttemptEnded(c.now, outcome)
}

// step advances time by a millisecond, fires the timers that are due and generates random events.
func (c *invariantChecker) step() {
	c.now += ms
	for i := 0; i < len(c.timers); i++ {
		if w := c.timers[i]; w.at <= c.now {
			c.timers = slices.Delete(c.timers, i, i+1)
			i--
			c.scheduler.TimerFired(c.now, w.token)
		}
	}
	if c.rng.IntN(5) == 0 {
		c.receiveRequest()
	}
	if c.rng.IntN(300) == 0 {
		c.changeRandomWorker()
	}
	for len(c.pendingLoads) > 0 && c.rng.IntN(2) == 0 {
		a, count := c.pendingLoads[0], c.pendingCounts[0]
		c.pendingLoads, c.pendingCounts = c.pendingLoads[1:], c.pendingCounts[1:]
		status := []Status{OK, OK, OK, Overloaded, Error, Reset, Timeout}[c.rng.IntN(7)]
		c.scheduler.LoadEnded(c.now, LoadResult{Worker: a.worker, Function: a.function, Status: status, Replicas: max(count, c.rng.IntN(2))})
	}
	var remaining []RequestID
	for _, id := range c.order {
		request := c.open[id]
		switch {
		case request.worker != 0 && c.now >= request.deadline:
			c.endAttempt(id, Timeout)
		case request.worker != 0 && c.rng.IntN(150) == 0:
			c.endAttempt(id, []Status{OK, OK, OK, Error, Overloaded, ConnectFailed, Reset, Cancelled, NotLoaded}[c.rng.IntN(9)])
		case !request.closed && request.worker == 0 && c.rng.IntN(2000) == 0:
			request.closed = true
			c.scheduler.ClientDisconnected(c.now, id)
		}
		if !request.closed && c.now > request.deadline+8*ms {
			c.violate("one final response", "no final response for request %d", id)
		}
		if !request.closed || request.worker != 0 {
			remaining = append(remaining, id)
		} else {
			delete(c.open, id)
		}
	}
	c.order = remaining
}

func newInvariantChecker(t *testing.T, seed uint64, set Settings) *invariantChecker {
	checker := &invariantChecker{
		t: t, set: set, rng: rand.New(rand.NewPCG(seed, 1)), workers: map[WorkerID]WorkerInfo{},
		open: map[RequestID]*trackedRequest{}, sends: map[WorkerID][]time.Duration{}, now: time.Hour,
	}
	checker.scheduler = New(checker.now, set, checker)
	var list []WorkerInfo
	for i := range 6 {
		w := WorkerInfo{ID: WorkerID(i + 1), Zone: i % 2, Cell: i % 3, Started: UnknownStart, State: Ready}
		checker.workers[w.ID], checker.ids, list = w, append(checker.ids, w.ID), append(list, w)
	}
	checker.scheduler.WorkersChanged(checker.now, list, true)
	return checker
}

func invariantSettings(seed uint64) Settings {
	set := testSettings()
	set.Classes[1].KeyScope = KeyScope(seed % 3)
	set.ReportsNotLoaded = seed%2 == 0
	set.ReportsQueueDepth = seed%3 == 0
	if seed%4 == 0 {
		set.LoadRateWindow, set.LoadRateBurst, set.LoadRatePerRequest = time.Second, 2, 0.05
	}
	return set
}

func TestInvariants_RandomEvents_Hold(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			checker := newInvariantChecker(t, seed, invariantSettings(seed))
			for range 20000 {
				checker.step()
			}
			if len(checker.trace) < 1000 {
				t.Errorf("only %d actions recorded, want at least 1000", len(checker.trace))
			}
		})
	}
}

func TestDeterminism_SameEvents_SameActions(t *testing.T) {
	first, second := newInvariantChecker(t, 5, invariantSettings(5)), newInvariantChecker(t, 5, invariantSettings(5))
	for range 10000 {
		first.step()
		second.step()
	}
	if !slices.Equal(first.trace, second.trace) {
		t.Error("identical events gave different actions")
	}
}
