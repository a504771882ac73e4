package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// invariantChecker reports random legal events and checks the five rules on every action. It models no worker:
// outcomes are drawn at random among those that the protocols allow.
type invariantChecker struct {
	t             *testing.T
	set           Settings
	scheduler     *Scheduler
	rng           *rand.Rand
	now           time.Duration
	workers       map[WorkerID]WorkerInfo
	ids           []WorkerID
	open          map[RequestID]*trackedRequest
	order         []RequestID // open, oldest first
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
	worker          WorkerID // 0: none
	sentAt          time.Duration
	mayHaveExecuted bool
	firstSentAt     time.Duration
	firstWorker     WorkerInfo
	answered        bool
}

func (f *invariantChecker) violate(rule string, format string, args ...any) {
	f.t.Fatalf("%s at %v: %s", rule, f.now, fmt.Sprintf(format, args...))
}

func (f *invariantChecker) note(format string, args ...any) {
	f.trace = append(f.trace, fmt.Sprintf(format, args...))
}

func (f *invariantChecker) Send(id RequestID, w WorkerID, _ time.Duration) {
	f.note("send %d %d", id, w)
	r, info := f.open[id], f.workers[w]
	switch {
	case r == nil || r.answered:
		f.violate("rule 1", "request %d sent after its end", id)
	case r.worker != 0:
		f.violate("rule 2", "two attempts of %d are in flight", id)
	case r.attempts >= f.set.MaxAttempts:
		f.violate("limits", "attempt %d of %d", r.attempts+1, id)
	case info.State != Ready:
		f.violate("rule 3", "request %d sent to worker %d in state %d", id, w, info.State)
	case r.mayHaveExecuted && r.class.Idempotency == NonIdempotent:
		f.violate("rule 2", "non-idempotent request %d sent again", id)
	case r.mayHaveExecuted && r.class.Idempotency == IdempotentByKey:
		same := r.class.KeyScope == ScopeAll || r.class.KeyScope == ScopeZone && info.Zone == r.firstWorker.Zone ||
			r.class.KeyScope == ScopeCell && info.Cell == r.firstWorker.Cell
		if !same || f.now-r.firstSentAt > r.class.KeyRetention {
			f.violate("rule 2", "keyed request %d sent outside its key scope or past its key retention", id)
		}
	}
	if age := f.now - info.Started; info.Started != UnknownStart && age < f.set.SlowStartDuration {
		// Answers come no faster here than one a millisecond: far under this part of one worker's capacity.
		part := f.set.SlowStartFraction + (1-f.set.SlowStartFraction)*float64(age)/float64(f.set.SlowStartDuration)
		most := max(1, f.set.OverloadFactor*part*1000*f.set.OverloadWindow.Seconds()/float64(len(f.ids)))
		f.sends[w] = append(dropBefore(f.sends[w], f.now-f.set.OverloadWindow), f.now)
		if float64(len(f.sends[w])) > most {
			f.violate("rule 4", "%d requests to a cold worker, %.0f at most", len(f.sends[w]), most)
		}
	}
	r.attempts++
	r.worker, r.sentAt = w, f.now
}

func (f *invariantChecker) answer(id RequestID, rejected bool) {
	r := f.open[id]
	switch {
	case r == nil || r.answered:
		f.violate("rule 1", "a second answer for %d", id)
	case f.now > r.deadline+8*ms:
		f.violate("rule 1", "answer for %d comes %v late", id, f.now-r.deadline)
	case rejected && r.mayHaveExecuted && (r.class.Idempotency == NonIdempotent || r.class.Idempotency == IdempotentByKey && r.class.KeyScope != ScopeAll):
		f.violate("rule 2", "request %d rejected though it may have executed", id)
	case rejected && r.worker != 0 && r.class.Idempotency != Idempotent:
		f.violate("rule 2", "request %d rejected with an attempt in flight", id)
	}
	r.answered = true
}

func (f *invariantChecker) Reject(id RequestID, _ time.Duration, _ FinishCause) {
	f.note("reject %d", id)
	f.answer(id, true)
}

func (f *invariantChecker) Fail(id RequestID, _ FinishCause) {
	f.note("fail %d", id)
	f.answer(id, false)
}

func (f *invariantChecker) Load(w WorkerID, fn FunctionID, replicas int) {
	f.note("load %d %d %d", w, fn, replicas)
	if replicas > 0 {
		if f.workers[w].State != Ready {
			f.violate("rule 3", "order to load to worker %d in state %d", w, f.workers[w].State)
		}
		from := f.now - f.set.LoadRateWindow
		f.loads, f.received = append(dropBefore(f.loads, from), f.now), dropBefore(f.received, from)
		if most := f.set.LoadRateBurst + f.set.LoadRatePerRequest*float64(len(f.received)); f.set.LoadRateWindow > 0 && float64(len(f.loads)) > most {
			f.violate("rule 5", "%d orders in the window, %.1f at most", len(f.loads), most)
		}
	}
	f.pendingLoads, f.pendingCounts = append(f.pendingLoads, replicaKey{w, fn}), append(f.pendingCounts, replicas)
}

func (f *invariantChecker) Cancel(id RequestID, attempt int) { f.note("cancel %d %d", id, attempt) }
func (f *invariantChecker) Unload(w WorkerID, fn FunctionID) { f.note("unload %d %d", w, fn) }
func (f *invariantChecker) CheckHealth(w WorkerID)           { f.note("check health %d", w) }
func (f *invariantChecker) WatchEndpoints()                  { f.note("watch") }
func (f *invariantChecker) Log(string)                       {}
func (f *invariantChecker) SetTimer(after time.Duration, token uint64) {
	f.timers = append(f.timers, pendingTimer{f.now + max(after, ms), token})
}

func (f *invariantChecker) changeRandomWorker() {
	w := f.workers[f.ids[f.rng.IntN(len(f.ids))]]
	switch f.rng.IntN(4) {
	case 0:
		w.State = Draining
	case 1:
		w.State = Removed
	default:
		w.State = Ready
		w.Started = f.now - time.Duration(f.rng.IntN(3000))*ms
	}
	f.workers[w.ID] = w
	f.scheduler.WorkersChanged(f.now, []WorkerInfo{w}, false)
}

func (f *invariantChecker) receiveRequest() {
	f.nextID++
	class := f.rng.IntN(len(f.set.Classes))
	timeout := time.Duration(1+f.rng.IntN(3000)) * ms
	f.open[f.nextID] = &trackedRequest{class: f.set.Classes[class], deadline: f.now + timeout}
	f.order = append(f.order, f.nextID)
	f.received = append(f.received, f.now)
	f.scheduler.RequestReceived(f.now, Request{
		ID: f.nextID, Class: class, Tenant: f.rng.IntN(2),
		Function: FunctionID(f.rng.IntN(12)), Timeout: timeout, ReplicaConcurrency: 1 + f.rng.IntN(4),
	})
}

func (f *invariantChecker) endAttempt(id RequestID, status Status) {
	r := f.open[id]
	if status == Error || status == Timeout || status == Reset || status == Cancelled {
		if !r.mayHaveExecuted {
			r.mayHaveExecuted, r.firstSentAt, r.firstWorker = true, r.sentAt, f.workers[r.worker]
		}
	}
	o := Outcome{
		Request: id, Attempt: r.attempts - 1, Worker: r.worker, Status: status, Latency: f.now - r.sentAt,
		ColdStart: ColdStart(f.rng.IntN(4)), QueueDepth: f.rng.IntN(5),
	}
	r.worker = 0
	if status == OK {
		r.answered = true
	}
	o.RequestClosed = r.answered
	f.scheduler.AttemptEnded(f.now, o)
}

// step lets a millisecond pass and plays what falls due and what the random numbers say.
func (f *invariantChecker) step() {
	f.now += ms
	for i := 0; i < len(f.timers); i++ {
		if w := f.timers[i]; w.at <= f.now {
			f.timers = slices.Delete(f.timers, i, i+1)
			i--
			f.scheduler.TimerFired(f.now, w.token)
		}
	}
	if f.rng.IntN(5) == 0 {
		f.receiveRequest()
	}
	if f.rng.IntN(300) == 0 {
		f.changeRandomWorker()
	}
	for len(f.pendingLoads) > 0 && f.rng.IntN(2) == 0 {
		a, count := f.pendingLoads[0], f.pendingCounts[0]
		f.pendingLoads, f.pendingCounts = f.pendingLoads[1:], f.pendingCounts[1:]
		status := []Status{OK, OK, OK, Overloaded, Error, Reset, Timeout}[f.rng.IntN(7)]
		f.scheduler.LoadEnded(f.now, LoadResult{Worker: a.worker, Function: a.function, Status: status, Replicas: max(count, f.rng.IntN(2))})
	}
	var still []RequestID
	for _, id := range f.order {
		r := f.open[id]
		switch {
		case r.worker != 0 && f.now >= r.deadline:
			f.endAttempt(id, Timeout)
		case r.worker != 0 && f.rng.IntN(150) == 0:
			f.endAttempt(id, []Status{OK, OK, OK, Error, Overloaded, ConnectFailed, Reset, Cancelled, NotLoaded}[f.rng.IntN(9)])
		case !r.answered && r.worker == 0 && f.rng.IntN(2000) == 0:
			r.answered = true
			f.scheduler.ClientDisconnected(f.now, id)
		}
		if !r.answered && f.now > r.deadline+8*ms {
			f.violate("rule 1", "no answer for %d", id)
		}
		if !r.answered || r.worker != 0 {
			still = append(still, id)
		} else {
			delete(f.open, id)
		}
	}
	f.order = still
}

func newInvariantChecker(t *testing.T, seed uint64, set Settings) *invariantChecker {
	f := &invariantChecker{
		t: t, set: set, rng: rand.New(rand.NewPCG(seed, 1)), workers: map[WorkerID]WorkerInfo{},
		open: map[RequestID]*trackedRequest{}, sends: map[WorkerID][]time.Duration{}, now: time.Hour,
	}
	f.scheduler = New(f.now, set, f)
	var list []WorkerInfo
	for i := range 6 {
		w := WorkerInfo{ID: WorkerID(i + 1), Zone: i % 2, Cell: i % 3, Started: UnknownStart, State: Ready}
		f.workers[w.ID], f.ids, list = w, append(f.ids, w.ID), append(list, w)
	}
	f.scheduler.WorkersChanged(f.now, list, true)
	return f
}

func ruleSettings(seed uint64) Settings {
	set := testSettings()
	set.Classes[1].KeyScope = KeyScope(seed % 3)
	set.AnswersNotLoaded = seed%2 == 0
	set.ReportsQueueDepth = seed%3 == 0
	if seed%4 == 0 {
		set.LoadRateWindow, set.LoadRateBurst, set.LoadRatePerRequest = time.Second, 2, 0.05
	}
	return set
}

func TestInvariants_RandomEvents_Hold(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newInvariantChecker(t, seed, ruleSettings(seed))
			for range 20000 {
				f.step()
			}
			if len(f.trace) < 1000 {
				t.Errorf("only %d actions: the events cover too little", len(f.trace))
			}
		})
	}
}

func TestDeterminism_SameEvents_SameActions(t *testing.T) {
	first, second := newInvariantChecker(t, 5, ruleSettings(5)), newInvariantChecker(t, 5, ruleSettings(5))
	for range 10000 {
		first.step()
		second.step()
	}
	if !slices.Equal(first.trace, second.trace) {
		t.Error("identical events gave different actions")
	}
}
