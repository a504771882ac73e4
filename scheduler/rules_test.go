package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// referee plays random legal events and checks the five rules on every action. It knows nothing of servers:
// outcomes are drawn at random among those that the wire allows.
type referee struct {
	t       *testing.T
	set     Settings
	c       *Scheduler
	rng     *rand.Rand
	now     time.Duration
	workers map[WorkerID]WorkerInfo
	ids     []WorkerID
	open    map[RequestID]*watched
	order   []RequestID // open, in order of arrival
	asked   []pair
	counts  []int
	loads   []time.Duration
	taken   []time.Duration
	sends   map[WorkerID][]time.Duration
	nextID  RequestID
	wakes   []wake
	trace   []string
}

type wake struct {
	at    time.Duration
	token uint64
}

type watched struct {
	class    Class
	deadline time.Duration
	attempts int
	out      WorkerID // 0: none
	outAt    time.Duration
	ran      bool
	firstAt  time.Duration
	firstOn  WorkerInfo
	answered bool
}

func (f *referee) breaks(rule string, format string, args ...any) {
	f.t.Fatalf("%s at %v: %s", rule, f.now, fmt.Sprintf(format, args...))
}

func (f *referee) note(format string, args ...any) {
	f.trace = append(f.trace, fmt.Sprintf(format, args...))
}

func (f *referee) Send(id RequestID, w WorkerID, _ time.Duration) {
	f.note("send %d %d", id, w)
	r, info := f.open[id], f.workers[w]
	switch {
	case r == nil || r.answered:
		f.breaks("rule 1", "request %d sent after its end", id)
	case r.out != 0:
		f.breaks("rule 2", "two attempts of %d are out", id)
	case r.attempts >= f.set.MaxAttempts:
		f.breaks("limits", "attempt %d of %d", r.attempts+1, id)
	case info.State != Ready:
		f.breaks("rule 3", "request %d sent to worker %d in state %d", id, w, info.State)
	case r.ran && r.class.Idempotency == NonIdempotent:
		f.breaks("rule 2", "unsafe request %d sent again", id)
	case r.ran && r.class.Idempotency == IdempotentByKey:
		same := r.class.KeyScope == ScopeAll || r.class.KeyScope == ScopeZone && info.Zone == r.firstOn.Zone ||
			r.class.KeyScope == ScopeCell && info.Cell == r.firstOn.Cell
		if !same || f.now-r.firstAt > r.class.KeyRetention {
			f.breaks("rule 2", "keyed request %d sent outside its group or past its memory", id)
		}
	}
	if age := f.now - info.Started; info.Started != UnknownStart && age < f.set.SlowStartDuration {
		// Answers come no faster here than one a millisecond: far under this part of one worker's capacity.
		part := f.set.SlowStartFraction + (1-f.set.SlowStartFraction)*float64(age)/float64(f.set.SlowStartDuration)
		most := max(1, f.set.OverloadFactor*part*1000*f.set.OverloadWindow.Seconds()/float64(len(f.ids)))
		f.sends[w] = append(recent(f.sends[w], f.now-f.set.OverloadWindow), f.now)
		if float64(len(f.sends[w])) > most {
			f.breaks("rule 4", "%d calls to a cold worker, %.0f at most", len(f.sends[w]), most)
		}
	}
	r.attempts++
	r.out, r.outAt = w, f.now
}

func (f *referee) answer(id RequestID, refused bool) {
	r := f.open[id]
	switch {
	case r == nil || r.answered:
		f.breaks("rule 1", "a second answer for %d", id)
	case f.now > r.deadline+8*ms:
		f.breaks("rule 1", "answer for %d comes %v late", id, f.now-r.deadline)
	case refused && r.ran && (r.class.Idempotency == NonIdempotent || r.class.Idempotency == IdempotentByKey && r.class.KeyScope != ScopeAll):
		f.breaks("rule 2", "request %d refused though it may have run", id)
	case refused && r.out != 0 && r.class.Idempotency != Idempotent:
		f.breaks("rule 2", "request %d refused with an attempt out", id)
	}
	r.answered = true
}

func (f *referee) Reject(id RequestID, _ time.Duration) {
	f.note("refuse %d", id)
	f.answer(id, true)
}

func (f *referee) Fail(id RequestID) {
	f.note("fail %d", id)
	f.answer(id, false)
}

func (f *referee) Load(w WorkerID, fn FunctionID, copies int) {
	f.note("load %d %d %d", w, fn, copies)
	if copies > 0 {
		if f.workers[w].State != Ready {
			f.breaks("rule 3", "order to load to worker %d in state %d", w, f.workers[w].State)
		}
		from := f.now - f.set.LoadRateWindow
		f.loads, f.taken = append(recent(f.loads, from), f.now), recent(f.taken, from)
		if most := f.set.LoadRateBurst + f.set.LoadRatePerRequest*float64(len(f.taken)); f.set.LoadRateWindow > 0 && float64(len(f.loads)) > most {
			f.breaks("rule 5", "%d orders in the window, %.1f at most", len(f.loads), most)
		}
	}
	f.asked, f.counts = append(f.asked, pair{w, fn}), append(f.counts, copies)
}

func (f *referee) Cancel(id RequestID, attempt int) { f.note("cancel %d %d", id, attempt) }
func (f *referee) Unload(w WorkerID, fn FunctionID) { f.note("unload %d %d", w, fn) }
func (f *referee) CheckHealth(w WorkerID)           { f.note("probe %d", w) }
func (f *referee) WatchEndpoints()                  { f.note("follow") }
func (f *referee) Log(string)                       {}
func (f *referee) SetTimer(after time.Duration, token uint64) {
	f.wakes = append(f.wakes, wake{f.now + max(after, ms), token})
}

func (f *referee) list() {
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
	f.c.WorkersChanged(f.now, []WorkerInfo{w}, false)
}

func (f *referee) arrive() {
	f.nextID++
	class := f.rng.IntN(len(f.set.Classes))
	budget := time.Duration(1+f.rng.IntN(3000)) * ms
	f.open[f.nextID] = &watched{class: f.set.Classes[class], deadline: f.now + budget}
	f.order = append(f.order, f.nextID)
	f.taken = append(f.taken, f.now)
	f.c.RequestReceived(f.now, Request{ID: f.nextID, Class: class, Tenant: f.rng.IntN(2),
		Function: FunctionID(f.rng.IntN(12)), Timeout: budget, ReplicaConcurrency: 1 + f.rng.IntN(4)})
}

func (f *referee) outcome(id RequestID, status Status) {
	r := f.open[id]
	if status == Error || status == Timeout || status == Reset || status == Cancelled {
		if !r.ran {
			r.ran, r.firstAt, r.firstOn = true, r.outAt, f.workers[r.out]
		}
	}
	o := Outcome{Request: id, Attempt: r.attempts - 1, Worker: r.out, Status: status, Latency: f.now - r.outAt,
		ColdStart: ColdStart(f.rng.IntN(4)), QueueDepth: f.rng.IntN(5)}
	r.out = 0
	if status == OK {
		r.answered = true
	}
	o.RequestClosed = r.answered
	f.c.AttemptEnded(f.now, o)
}

// step lets a millisecond pass and plays what falls due and what the dice say.
func (f *referee) step() {
	f.now += ms
	for i := 0; i < len(f.wakes); i++ {
		if w := f.wakes[i]; w.at <= f.now {
			f.wakes = slices.Delete(f.wakes, i, i+1)
			i--
			f.c.TimerFired(f.now, w.token)
		}
	}
	if f.rng.IntN(5) == 0 {
		f.arrive()
	}
	if f.rng.IntN(300) == 0 {
		f.list()
	}
	for len(f.asked) > 0 && f.rng.IntN(2) == 0 {
		a, count := f.asked[0], f.counts[0]
		f.asked, f.counts = f.asked[1:], f.counts[1:]
		status := []Status{OK, OK, OK, Overloaded, Error, Reset, Timeout}[f.rng.IntN(7)]
		f.c.LoadEnded(f.now, LoadResult{Worker: a.w, Function: a.f, Status: status, Replicas: max(count, f.rng.IntN(2))})
	}
	var still []RequestID
	for _, id := range f.order {
		r := f.open[id]
		switch {
		case r.out != 0 && f.now >= r.deadline:
			f.outcome(id, Timeout)
		case r.out != 0 && f.rng.IntN(150) == 0:
			f.outcome(id, []Status{OK, OK, OK, Error, Overloaded, ConnectFailed, Reset, Cancelled, NotLoaded}[f.rng.IntN(9)])
		case !r.answered && r.out == 0 && f.rng.IntN(2000) == 0:
			r.answered = true
			f.c.ClientDisconnected(f.now, id)
		}
		if !r.answered && f.now > r.deadline+8*ms {
			f.breaks("rule 1", "no answer for %d", id)
		}
		if !r.answered || r.out != 0 {
			still = append(still, id)
		} else {
			delete(f.open, id)
		}
	}
	f.order = still
}

func newReferee(t *testing.T, seed uint64, set Settings) *referee {
	f := &referee{t: t, set: set, rng: rand.New(rand.NewPCG(seed, 1)), workers: map[WorkerID]WorkerInfo{},
		open: map[RequestID]*watched{}, sends: map[WorkerID][]time.Duration{}, now: time.Hour}
	f.c = New(f.now, set, f)
	var list []WorkerInfo
	for i := range 6 {
		w := WorkerInfo{ID: WorkerID(i + 1), Zone: i % 2, Cell: i % 3, Started: UnknownStart, State: Ready}
		f.workers[w.ID], f.ids, list = w, append(f.ids, w.ID), append(list, w)
	}
	f.c.WorkersChanged(f.now, list, true)
	return f
}

func ruleSettings(seed uint64) Settings {
	set := settings()
	set.Classes[1].KeyScope = KeyScope(seed % 3)
	set.AnswersNotLoaded = seed%2 == 0
	set.ReportsQueueDepth = seed%3 == 0
	if seed%4 == 0 {
		set.LoadRateWindow, set.LoadRateBurst, set.LoadRatePerRequest = time.Second, 2, 0.05
	}
	return set
}

func TestFiveRulesOnRandomEvents(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newReferee(t, seed, ruleSettings(seed))
			for range 20000 {
				f.step()
			}
			if len(f.trace) < 1000 {
				t.Errorf("only %d actions: the events reach too little", len(f.trace))
			}
		})
	}
}

func TestSameEventsSameActions(t *testing.T) {
	first, second := newReferee(t, 5, ruleSettings(5)), newReferee(t, 5, ruleSettings(5))
	for range 10000 {
		first.step()
		second.step()
	}
	if !slices.Equal(first.trace, second.trace) {
		t.Error("identical events gave different actions")
	}
}
