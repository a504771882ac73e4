package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// invariantChecker reports random legal events to a Scheduler and checks the invariants on every action. It does not
// model workers: outcomes are drawn at random from those that the protocols allow.
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
	answered        bool
}

func (c *invariantChecker) violate(rule string, format string, args ...any) {
	c.t.Fatalf("%s at %v: %s", rule, c.now, fmt.Sprintf(format, args...))
}

func (c *invariantChecker) note(format string, args ...any) {
	c.trace = append(c.trace, fmt.Sprintf(format, args...))
}

func (c *invariantChecker) Send(id RequestID, w WorkerID, _ time.Duration) {
	c.note("send %d %d", id, w)
	r, info := c.open[id], c.workers[w]
	switch {
	case r == nil || r.answered:
		c.violate("one final response", "request %d sent after its final response", id)
	case r.worker != 0:
		c.violate("safe retries", "request %d has two attempts in flight", id)
	case r.attempts >= c.set.MaxAttempts:
		c.violate("attempt limit", "attempt %d of request %d", r.attempts+1, id)
	case info.State != Ready:
		c.violate("worker state", "request %d sent to worker %d in state %d", id, w, info.State)
	case r.mayHaveExecuted && r.class.Idempotency == NonIdempotent:
		c.violate("safe retries", "non-idempotent request %d sent again", id)
	case r.mayHaveExecuted && r.class.Idempotency == IdempotentByKey:
		same := r.class.KeyScope == ScopeAll || r.class.KeyScope == ScopeZone && info.Zone == r.firstWorker.Zone ||
			r.class.KeyScope == ScopeCell && info.Cell == r.firstWorker.Cell
		if !same || c.now-r.firstSentAt > r.class.KeyRetention {
			c.violate("safe retries", "request %d with an idempotency key sent outside its key scope or past its key retention", id)
		}
	}
	if age := c.now - info.Started; info.Started != UnknownStart && age < c.set.SlowStartDuration {
		// At most one response per millisecond arrives in this test, far less than this fraction of one worker's
		// capacity.
		part := c.set.SlowStartFraction + (1-c.set.SlowStartFraction)*float64(age)/float64(c.set.SlowStartDuration)
		limit := max(1, c.set.OverloadFactor*part*1000*c.set.OverloadWindow.Seconds()/float64(len(c.ids)))
		c.sends[w] = append(dropBefore(c.sends[w], c.now-c.set.OverloadWindow), c.now)
		if float64(len(c.sends[w])) > limit {
			c.violate("slow start", "%d requests to a cold worker, want at most %.0f", len(c.sends[w]), limit)
		}
	}
	r.attempts++
	r.worker, r.sentAt = w, c.now
}

func (c *invariantChecker) answer(id RequestID, rejected bool) {
	r := c.open[id]
	switch {
	case r == nil || r.answered:
		c.violate("one final response", "second final response for request %d", id)
	case c.now > r.deadline+8*ms:
		c.violate("one final response", "final response for request %d is %v late", id, c.now-r.deadline)
	case rejected && r.mayHaveExecuted && (r.class.Idempotency == NonIdempotent || r.class.Idempotency == IdempotentByKey && r.class.KeyScope != ScopeAll):
		c.violate("safe retries", "request %d rejected though it may have executed", id)
	case rejected && r.worker != 0 && r.class.Idempotency != Idempotent:
		c.violate("safe retries", "request %d rejected with an attempt in flight", id)
	}
	r.answered = true
}

func (c *invariantChecker) Reject(id RequestID, _ time.Duration, _ FinishCause) {
	c.note("reject %d", id)
	c.answer(id, true)
}

func (c *invariantChecker) Fail(id RequestID, _ FinishCause) {
	c.note("fail %d", id)
	c.answer(id, false)
}

func (c *invariantChecker) Load(w WorkerID, fn FunctionID, replicas int) {
	c.note("load %d %d %d", w, fn, replicas)
	if replicas > 0 {
		if c.workers[w].State != Ready {
			c.violate("worker state", "load order to worker %d in state %d", w, c.workers[w].State)
		}
		from := c.now - c.set.LoadRateWindow
		c.loads, c.received = append(dropBefore(c.loads, from), c.now), dropBefore(c.received, from)
		if limit := c.set.LoadRateBurst + c.set.LoadRatePerRequest*float64(len(c.received)); c.set.LoadRateWindow > 0 && float64(len(c.loads)) > limit {
			c.violate("load rate limit", "%d load orders in the window, want at most %.1f", len(c.loads), limit)
		}
	}
	c.pendingLoads, c.pendingCounts = append(c.pendingLoads, replicaKey{w, fn}), append(c.pendingCounts, replicas)
}

func (c *invariantChecker) Cancel(id RequestID, attempt int) { c.note("cancel %d %d", id, attempt) }
func (c *invariantChecker) Unload(w WorkerID, fn FunctionID) { c.note("unload %d %d", w, fn) }
func (c *invariantChecker) CheckHealth(w WorkerID)           { c.note("check health %d", w) }
func (c *invariantChecker) WatchEndpoints()                  { c.note("watch") }
func (c *invariantChecker) Log(string)                       {}
func (c *invariantChecker) SetTimer(after time.Duration, token uint64) {
	c.timers = append(c.timers, pendingTimer{c.now + max(after, ms), token})
}

func (c *invariantChecker) changeRandomWorker() {
	w := c.workers[c.ids[c.rng.IntN(len(c.ids))]]
	switch c.rng.IntN(4) {
	case 0:
		w.State = Draining
	case 1:
		w.State = Removed
	default:
		w.State = Ready
		w.Started = c.now - time.Duration(c.rng.IntN(3000))*ms
	}
	c.workers[w.ID] = w
	c.scheduler.WorkersChanged(c.now, []WorkerInfo{w}, false)
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
	r := c.open[id]
	if status == Error || status == Timeout || status == Reset || status == Cancelled {
		if !r.mayHaveExecuted {
			r.mayHaveExecuted, r.firstSentAt, r.firstWorker = true, r.sentAt, c.workers[r.worker]
		}
	}
	o := Outcome{
		Request: id, Attempt: r.attempts - 1, Worker: r.worker, Status: status, Latency: c.now - r.sentAt,
		ColdStart: ColdStart(c.rng.IntN(4)), QueueDepth: c.rng.IntN(5),
	}
	r.worker = 0
	if status == OK {
		r.answered = true
	}
	o.RequestClosed = r.answered
	c.scheduler.AttemptEnded(c.now, o)
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
		r := c.open[id]
		switch {
		case r.worker != 0 && c.now >= r.deadline:
			c.endAttempt(id, Timeout)
		case r.worker != 0 && c.rng.IntN(150) == 0:
			c.endAttempt(id, []Status{OK, OK, OK, Error, Overloaded, ConnectFailed, Reset, Cancelled, NotLoaded}[c.rng.IntN(9)])
		case !r.answered && r.worker == 0 && c.rng.IntN(2000) == 0:
			r.answered = true
			c.scheduler.ClientDisconnected(c.now, id)
		}
		if !r.answered && c.now > r.deadline+8*ms {
			c.violate("one final response", "no final response for request %d", id)
		}
		if !r.answered || r.worker != 0 {
			remaining = append(remaining, id)
		} else {
			delete(c.open, id)
		}
	}
	c.order = remaining
}

func newInvariantChecker(t *testing.T, seed uint64, set Settings) *invariantChecker {
	c := &invariantChecker{
		t: t, set: set, rng: rand.New(rand.NewPCG(seed, 1)), workers: map[WorkerID]WorkerInfo{},
		open: map[RequestID]*trackedRequest{}, sends: map[WorkerID][]time.Duration{}, now: time.Hour,
	}
	c.scheduler = New(c.now, set, c)
	var list []WorkerInfo
	for i := range 6 {
		w := WorkerInfo{ID: WorkerID(i + 1), Zone: i % 2, Cell: i % 3, Started: UnknownStart, State: Ready}
		c.workers[w.ID], c.ids, list = w, append(c.ids, w.ID), append(list, w)
	}
	c.scheduler.WorkersChanged(c.now, list, true)
	return c
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
			c := newInvariantChecker(t, seed, invariantSettings(seed))
			for range 20000 {
				c.step()
			}
			if len(c.trace) < 1000 {
				t.Errorf("only %d actions recorded, want at least 1000", len(c.trace))
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
