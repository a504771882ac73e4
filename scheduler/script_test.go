package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// script plays events to a Controller and notes its actions. It plays the front end's part only: what workers
// answer is written in each test.
type script struct {
	t       *testing.T
	c       *Scheduler
	now     time.Duration
	actions []string
	sentTo  map[RequestID][]WorkerID
	asks    []pair
	orders  []pair
	answers map[RequestID]string
	nextID  RequestID
}

func (s *script) note(format string, args ...any) {
	s.actions = append(s.actions, fmt.Sprintf(format, args...))
}

func (s *script) Send(r RequestID, w WorkerID, _ time.Duration) {
	s.sentTo[r] = append(s.sentTo[r], w)
	s.note("send %d", r)
}
func (s *script) Reject(r RequestID, after time.Duration) {
	s.answers[r] = "refused"
	s.note("refuse %d", r)
}
func (s *script) Fail(r RequestID)                { s.answers[r] = "failed"; s.note("fail %d", r) }
func (s *script) Cancel(r RequestID, attempt int) { s.note("cancel %d", r) }
func (s *script) Unload(w WorkerID, f FunctionID) { s.note("unload") }
func (s *script) CheckHealth(w WorkerID)          { s.note("probe %d", w) }
func (s *script) SetTimer(time.Duration, uint64)  {}
func (s *script) WatchEndpoints()                 { s.note("follow") }
func (s *script) Log(string)                      {}
func (s *script) Load(w WorkerID, f FunctionID, copies int) {
	if copies == 0 {
		s.asks = append(s.asks, pair{w, f})
	} else {
		s.orders = append(s.orders, pair{w, f})
		s.note("load %d", w)
	}
}

// settings are those of three front ends whose workers load what they lack.
func settings() Settings {
	return Settings{Seed: 1, FrontEndCount: 3, ReplicaIdleTimeout: 10 * time.Second, LoadOrdersAllowed: true, HealthChecksAllowed: true, CancelAllowed: true,
		ReportsColdStart: true, MaxAttempts: 4, MaxRetryAfter: 500 * ms, SlowStartFraction: 0.2, SlowStartDuration: 10 * time.Second, OverloadFactor: 2,
		OverloadWindow: 2 * time.Second, Resolution: 2 * ms, Classes: []Class{
			{LatencyObjective: 800 * ms, Timeout: 3 * time.Second, PriorityWeight: 1, Idempotency: Idempotent},
			{LatencyObjective: 800 * ms, Timeout: 3 * time.Second, PriorityWeight: 1, Idempotency: IdempotentByKey, KeyScope: ScopeCell, KeyRetention: time.Second},
			{LatencyObjective: 800 * ms, Timeout: 3 * time.Second, PriorityWeight: 1, Idempotency: NonIdempotent},
		}, Tenants: []Tenant{{Share: 0.5}, {Share: 0.5}}}
}

func start(t *testing.T, set Settings, workers int) *script {
	s := &script{t: t, now: time.Minute, sentTo: map[RequestID][]WorkerID{}, answers: map[RequestID]string{}}
	s.c = New(s.now, set, s)
	var list []WorkerInfo
	for i := range workers {
		list = append(list, WorkerInfo{ID: WorkerID(i + 1), Cell: i % 2, Started: UnknownStart, State: Ready})
	}
	s.c.WorkersChanged(s.now, list, true)
	return s
}

func (s *script) change(info WorkerInfo) { s.c.WorkersChanged(s.now, []WorkerInfo{info}, false) }

func (s *script) arrive(f FunctionID, class int) RequestID {
	s.nextID++
	s.c.RequestReceived(s.now, Request{ID: s.nextID, Class: class, Function: f, Timeout: 3 * time.Second, ReplicaConcurrency: 2})
	return s.nextID
}

// pass lets time go by, with ticks.
func (s *script) pass(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now = min(end, s.now+tick)
		s.c.TimerFired(s.now, 0)
	}
}

// answerAsks answers every question for standing copies: those at holders stand.
func (s *script) answerAsks(holders ...WorkerID) {
	for len(s.asks) > 0 {
		a := s.asks[0]
		s.asks = s.asks[1:]
		copies := 0
		if slices.Contains(holders, a.w) {
			copies = 1
		}
		s.c.LoadEnded(s.now, LoadResult{Worker: a.w, Function: a.f, Status: OK, Latency: ms, Replicas: copies})
	}
}

// at is the worker of the latest attempt of r.
func (s *script) at(r RequestID) WorkerID {
	s.t.Helper()
	if len(s.sentTo[r]) == 0 {
		s.t.Fatalf("request %d was not sent; actions %v", r, s.actions)
	}
	return s.sentTo[r][len(s.sentTo[r])-1]
}

// since is how long the latest attempt of r has been out.
func (s *script) since(r RequestID) time.Duration {
	if q := s.c.requests[r]; q != nil {
		return s.now - q.sent
	}
	return 0
}

func (s *script) end(r RequestID, status Status, warmth ColdStart) {
	s.t.Helper()
	w, n := s.at(r), len(s.sentTo[r])
	s.c.AttemptEnded(s.now, Outcome{Request: r, Attempt: n - 1, Worker: w, Status: status, Latency: s.since(r),
		RequestClosed: status == OK, ColdStart: warmth})
}

// avoids says whether a new call of f, with copies found standing at every worker, goes elsewhere than to w.
func (s *script) avoids(w WorkerID, f FunctionID) bool {
	s.t.Helper()
	r := s.arrive(f, 0)
	s.answerAsks(1, 2, 3, 4)
	return s.at(r) != w
}

// warm makes one worker known to hold f, with a run of 100 ms, and returns it.
func (s *script) warm(f FunctionID) WorkerID {
	s.t.Helper()
	r := s.arrive(f, 0)
	s.answerAsks()
	s.answerAsks()
	w := s.at(r)
	s.pass(600 * ms)
	s.end(r, OK, ColdStartTriggered)
	for range 4 {
		r = s.arrive(f, 0)
		s.pass(100 * ms)
		s.end(r, OK, WarmStart)
	}
	return w
}

func (s *script) count(action string) (n int) {
	for _, a := range s.actions {
		if strings.HasPrefix(a, action) {
			n++
		}
	}
	return n
}

func TestPipeHoldsTheRest(t *testing.T) {
	s := start(t, settings(), 4)
	w := s.warm(7)
	var sent, held int
	for range 5 {
		r := s.arrive(7, 0)
		switch {
		case len(s.sentTo[r]) == 0:
			held++
		case s.at(r) == w:
			sent++
		}
	}
	if sent != 2 || held != 3 {
		t.Errorf("%d sent to the warm worker and %d held; it has two lanes", sent, held)
	}
}

func TestOutcomeTopsUpThePipe(t *testing.T) {
	s := start(t, settings(), 4)
	s.warm(7)
	first := s.arrive(7, 0)
	last := first
	for range 2 {
		last = s.arrive(7, 0)
	}
	if len(s.sentTo[last]) != 0 {
		t.Fatal("the request after a full pipe was not held")
	}
	s.now += 50 * ms
	s.end(first, OK, WarmStart)
	s.at(last)
}

func TestDeepBacklogIsLent(t *testing.T) {
	s := start(t, settings(), 4)
	w := s.warm(7)
	for range 20 {
		s.arrive(7, 0)
	}
	s.answerAsks() // no copy stands elsewhere
	lent := map[WorkerID]int{}
	for r, at := range s.sentTo {
		if at[0] != w && s.c.requests[r] != nil {
			lent[at[0]]++
		}
	}
	if len(lent) == 0 {
		t.Error("20 requests at 100 ms on two lanes were all kept for a worker that needs a second for them")
	}
	for w, n := range lent {
		if n > 2 {
			t.Errorf("%d requests wait for the load at worker %d, 2 at most", n, w)
		}
	}
}

func TestBeliefEnds(t *testing.T) {
	tests := map[string]func(*script, WorkerID){
		"with the keep-alive": func(s *script, w WorkerID) { s.pass(10*time.Second + tick) },
		"with a new start": func(s *script, w WorkerID) {
			s.change(WorkerInfo{ID: w, Cell: int(w+1) % 2, Started: s.now - time.Second, State: Ready})
		},
		"with a miss": func(s *script, w WorkerID) {
			r := s.arrive(7, 0)
			s.end(r, NotLoaded, ColdStartUnknown)
		},
		"with a lost connection": func(s *script, w WorkerID) {
			r := s.arrive(7, 0)
			s.end(r, Reset, ColdStartUnknown)
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			s := start(t, settings(), 4)
			w := s.warm(7)
			end(s, w)
			if s.c.functions[7].at(s.c.workers[w]) != nil {
				t.Error("the copy is still believed to stand")
			}
		})
	}
}

func TestAskFindsOthersCopies(t *testing.T) {
	s := start(t, settings(), 8)
	r := s.arrive(7, 0)
	if len(s.asks) != askFirst || len(s.sentTo[r]) != 0 {
		t.Fatalf("%d workers asked before a load, want %d; sent %v", len(s.asks), askFirst, s.sentTo[r])
	}
	holder := s.asks[1].w
	s.answerAsks(holder)
	if s.at(r) != holder {
		t.Errorf("sent to %d, the copy stands at %d", s.at(r), holder)
	}
}

func TestMissingWorkersWantAnOrder(t *testing.T) {
	set := settings()
	set.AnswersNotLoaded = true
	s := start(t, set, 4)
	r := s.arrive(7, 0)
	s.answerAsks()
	s.answerAsks()
	s.pass(100 * ms)
	if len(s.orders) != 1 || len(s.sentTo[r]) != 0 {
		t.Fatalf("%d orders, request sent to %v before the copy stands", len(s.orders), s.sentTo[r])
	}
	s.now += 400 * ms
	s.c.LoadEnded(s.now, LoadResult{Worker: s.orders[0].w, Function: 7, Status: OK, Latency: 400 * ms, Replicas: 1})
	if s.at(r) != s.orders[0].w {
		t.Error("the request did not follow its order")
	}
}

func TestRationOfOrders(t *testing.T) {
	set := settings()
	set.AnswersNotLoaded, set.LoadRateWindow, set.LoadRateBurst, set.LoadRatePerRequest = true, 5*time.Second, 2, 0
	s := start(t, set, 4)
	for f := range FunctionID(6) {
		s.arrive(f, 0)
		s.answerAsks()
		s.answerAsks()
	}
	s.pass(time.Second)
	if len(s.orders) != 2 {
		t.Errorf("%d orders, the ration is 2", len(s.orders))
	}
}

func TestAmbiguousOutcomes(t *testing.T) {
	tests := []struct {
		name   string
		class  int
		status Status
		want   string // the final answer, or "" for another attempt or a wait
	}{
		{"safe may run again", 0, Error, ""},
		{"unsafe that may have run fails", 2, Error, "failed"},
		{"unsafe cut off fails", 2, Reset, "failed"},
		{"unsafe timed out fails", 2, Timeout, "failed"},
		{"unsafe that never ran goes on", 2, Overloaded, ""},
		{"keyed goes on in its group", 1, Error, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := start(t, settings(), 4)
			s.warm(7)
			r := s.arrive(7, test.class)
			first := s.at(r)
			s.now += 50 * ms
			s.end(r, test.status, ColdStartUnknown)
			s.answerAsks()
			s.answerAsks()
			s.pass(300 * ms)
			if s.answers[r] != test.want {
				t.Errorf("final answer %q, want %q", s.answers[r], test.want)
			}
			if again := s.sentTo[r][1:]; test.class == 1 && len(again) > 0 && (again[0]-first)%2 != 0 {
				t.Errorf("a keyed request went from worker %d to %d, another group", first, again[0])
			}
		})
	}
}

func TestKeyedIsNotSentPastItsMemory(t *testing.T) {
	s := start(t, settings(), 2) // one worker a group
	s.warm(7)
	r := s.arrive(7, 1)
	s.change(WorkerInfo{ID: s.at(r), Cell: int(s.at(r)+1) % 2, Started: UnknownStart, State: Draining})
	s.end(r, Error, ColdStartUnknown)
	s.pass(1100 * ms)
	if s.answers[r] != "failed" || len(s.sentTo[r]) != 1 {
		t.Errorf("answer %q after %d attempts, want failed after 1", s.answers[r], len(s.sentTo[r]))
	}
}

func TestDrainingWorkerGetsNothing(t *testing.T) {
	for _, state := range []WorkerState{Draining, Removed} {
		s := start(t, settings(), 4)
		w := s.warm(7)
		s.change(WorkerInfo{ID: w, Started: UnknownStart, State: state})
		s.asks = nil
		for range 8 {
			r := s.arrive(7, 0)
			s.answerAsks(1, 2, 3, 4)
			if s.at(r) == w {
				t.Fatalf("sent to a worker in state %d", state)
			}
			s.now += 50 * ms
			s.end(r, OK, WarmStart)
		}
	}
}

func TestColdWorkerIsSpared(t *testing.T) {
	for frontEnds, most := range map[int]int{1: 4 * 400, 4: 400, 400: 400 / 3} {
		sent := 0
		for seed := range uint64(400) { // each stands for one of as many front ends
			set := settings()
			set.Seed, set.FrontEndCount = seed, frontEnds
			s := start(t, set, 1)
			s.change(WorkerInfo{ID: 1, Started: s.now, State: Ready})
			for f := range FunctionID(6) {
				s.arrive(f, 0)
				s.answerAsks()
				s.answerAsks()
			}
			s.pass(time.Second)
			sent += s.count("send")
		}
		if sent == 0 || sent > most {
			t.Errorf("%d calls of 400 front ends to a worker that has just started, each told of %d; want some, %d at most",
				sent, frontEnds, most)
		}
	}
}

func TestSilentWorkerIsLeft(t *testing.T) {
	s := start(t, settings(), 4)
	w := s.warm(7)
	r, unsafe := s.arrive(7, 0), s.arrive(7, 2)
	if s.at(r) != w {
		t.Fatal("not sent to the warm worker")
	}
	s.pass(2900 * ms)
	if s.count(fmt.Sprintf("cancel %d", r)) == 0 {
		t.Error("a safe call was left with a worker that answers nothing")
	}
	if s.count(fmt.Sprintf("cancel %d", unsafe)) != 0 {
		t.Error("an unsafe call was called back, though it may not be sent again")
	}
	if !s.avoids(w, 7) {
		t.Error("a new call went to the silent worker")
	}
}

func TestFailingWorkerIsPassedOver(t *testing.T) {
	s := start(t, settings(), 4)
	w := s.warm(7)
	for range 3 {
		r := s.arrive(7, 2)
		if len(s.sentTo[r]) == 0 || s.at(r) != w {
			break
		}
		s.end(r, Error, ColdStartUnknown)
	}
	if !s.avoids(w, 7) {
		t.Error("a worker that failed its last calls is still the first choice")
	}
}

func TestSlowTimeoutIsNotHeldAgainstAWorkerThatAnswers(t *testing.T) {
	s := start(t, settings(), 4)
	w := s.warm(7)
	for range 6 {
		slow, quick := s.arrive(7, 0), s.arrive(7, 0)
		s.now += 100 * ms
		s.end(quick, OK, WarmStart)
		s.end(slow, Timeout, ColdStartUnknown)
		s.now += 100 * ms
		s.answerAsks(w)
		for r := slow; r <= s.nextID; r++ {
			if s.answers[r] == "" && s.c.requests[r] != nil && s.c.requests[r].at != nil {
				s.end(r, OK, WarmStart)
			}
		}
	}
	if s.c.workers[w].health[0].suspect {
		t.Error("a worker that answers became suspect through calls whose clients were in a hurry")
	}
}

func TestHurriedClientsSayNothingOfAWorker(t *testing.T) {
	s := start(t, settings(), 4)
	w := s.c.workers[s.warm(7)]
	w.wait = fading{float64(400 * ms), s.now, s.now}
	for range 6 {
		s.nextID++
		s.c.RequestReceived(s.now, Request{ID: s.nextID, Class: 2, Function: 7, Timeout: 700 * ms, ReplicaConcurrency: 2})
		s.answerAsks(w.ID)
		s.now += 100 * ms
		s.end(s.nextID, Timeout, ColdStartUnknown)
	}
	if w.health[0].suspect || s.c.waitOf(w) < 280*ms {
		t.Errorf("suspect %v, wait of 400 ms counts as %v after calls given up within 100 ms", w.health[0].suspect, s.c.waitOf(w))
	}
}

func TestFullCutsWhatAWorkerMayHold(t *testing.T) {
	s := start(t, settings(), 1)
	w := s.c.workers[s.warm(7)]
	before := w.limit
	s.arrive(7, 0)
	s.now += 200 * ms
	s.end(s.nextID, Overloaded, ColdStartUnknown)
	if w.limit >= before {
		t.Errorf("limit %.1f after a call was turned away, %.1f before", w.limit, before)
	}
}

func TestOverloadOfAllIsNotTheUsual(t *testing.T) {
	s := start(t, settings(), 2)
	s.warm(7)
	quick := s.c.quiet(0)
	for range 10 {
		r := s.arrive(7, 0)
		s.pass(time.Second)
		s.end(r, OK, WarmStart)
		s.answerAsks()
		for _, w := range s.c.list {
			w.wait = fading{} // long forgotten when the next one comes
		}
	}
	if now := s.c.quiet(0); now > quick+quick/2 {
		t.Errorf("the run of a quiet worker rose from %v to %v while all were slow", quick, now)
	}
}

func TestLoadsUnderWayAreFew(t *testing.T) {
	s := start(t, settings(), 20)
	s.c.work.add(s.now, shareFade, float64(time.Hour)) // of other functions
	for f := range FunctionID(3 * loadsMost) {
		s.warm(f)
	}
	s.pass(2 * s.c.set.ReplicaIdleTimeout) // nothing is believed any more
	before := s.count("send")
	for f := range FunctionID(3 * loadsMost) {
		s.arrive(f, 0)
		s.answerAsks()
		s.answerAsks()
	}
	if sent := s.count("send") - before; sent != loadsMost {
		t.Errorf("%d loads under way at once, want %d", sent, loadsMost)
	}
}

// TestAStoppedStoreIsLeftAlone: each load fails at once, and its call is sent to the next worker. After a few that
// failed loads are kept back and tried one at a time; the first that works ends that.
func TestAStoppedStoreIsLeftAlone(t *testing.T) {
	s := start(t, settings(), 20)
	tried := func(as Status, warmth ColdStart) (loads int) {
		for range 100 {
			r := s.arrive(7, 0)
			s.answerAsks()
			s.answerAsks()
			for id := RequestID(1); id <= r; id++ {
				for n := 0; s.answers[id] == "" && s.c.requests[id] != nil && s.c.requests[id].at != nil && n < 50; n++ {
					loads++
					s.end(id, as, warmth)
				}
			}
			s.pass(20 * ms)
		}
		return loads
	}
	if loads := tried(NotLoaded, ColdStartFailed); loads < 4 || loads > 12 {
		t.Errorf("%d loads were tried in 2 s of a stopped store", loads)
	}
	s.pass(2 * barMost)
	if loads := tried(OK, ColdStartTriggered); loads < 80 {
		t.Errorf("%d calls of 100 were sent once the store was back", loads)
	}
}

func TestNobodyToSendTo(t *testing.T) {
	s := start(t, settings(), 0)
	r := s.arrive(7, 0)
	s.pass(2990 * ms)
	if s.answers[r] != "refused" {
		t.Errorf("with no worker known the answer is %q", s.answers[r])
	}
}

func TestShortBudgetIsAnsweredAtOnce(t *testing.T) {
	s := start(t, settings(), 0)
	s.c.RequestReceived(s.now, Request{ID: 1, Function: 7, Timeout: 5 * ms, ReplicaConcurrency: 1})
	if s.answers[1] != "refused" {
		t.Errorf("answer %q to a request that no tick will see in time", s.answers[1])
	}
}

func TestEmptyPipeIsNoEndlessWait(t *testing.T) {
	s := start(t, settings(), 1)
	w := s.c.workers[s.warm(7)]
	w.limit = 1
	s.arrive(8, 0) // takes the only place
	s.answerAsks(1)
	r := s.arrive(7, 0)
	s.pass(100 * ms)
	if s.answers[r] != "" {
		t.Errorf("request %s though a warm worker is about to have room", s.answers[r])
	}
}

func TestExcessIsCountedAndComesLast(t *testing.T) {
	s := start(t, settings(), 1)
	w := s.c.workers[s.warm(7)]
	for range shareMemory {
		s.c.excess(1)
	}
	counted := 0
	for range 20 { // a tenant that takes all, with half the service as its share
		if s.c.excess(1) {
			counted++
		}
	}
	if counted < 5 || counted > 10 {
		t.Errorf("%d of 20 calls counted as too many, want about two in five", counted)
	}
	within, beyond := s.arrive(7, 0), s.arrive(7, 0)
	s.c.requests[beyond].excess = true
	w.limit = 4
	if !s.c.roomFor(w, s.c.requests[within]) || s.c.roomFor(w, s.c.requests[beyond]) {
		t.Error("with two of four places taken there is room for a call within its share, none beyond")
	}
}

func TestLateCallsWithoutRoomAreRefusedAtOnce(t *testing.T) {
	s := start(t, settings(), 1)
	w := s.c.workers[s.warm(7)]
	w.limit = 2
	var ids []RequestID
	for range 40 { // two lanes at 100 ms a run: the last would wait for two seconds
		ids = append(ids, s.arrive(7, 0))
	}
	s.pass(2 * tick)
	if s.answers[ids[39]] != "refused" || s.answers[ids[4]] != "" {
		t.Errorf("answers %q to the last and %q to an early one of 40, want refused and none",
			s.answers[ids[39]], s.answers[ids[4]])
	}
}

func TestFreedRoomGoesToTheMostWorth(t *testing.T) {
	set := settings()
	set.Classes[2].PriorityWeight = 6
	s := start(t, set, 1)
	s.warm(7)
	dear := s.arrive(8, 2)
	s.answerAsks(1)
	s.end(dear, OK, WarmStart)
	s.c.workers[1].limit = 1
	out := s.arrive(7, 0)
	cheap, dear := s.arrive(7, 0), s.arrive(8, 2)
	if len(s.sentTo[cheap])+len(s.sentTo[dear]) != 0 {
		t.Fatal("sent beyond the worker's limit")
	}
	s.now += 50 * ms
	s.end(out, OK, WarmStart)
	sent := func(r RequestID) int { return slices.Index(s.actions, fmt.Sprintf("send %d", r)) }
	if sent(dear) < 0 || sent(cheap) >= 0 && sent(cheap) < sent(dear) {
		t.Errorf("the room that came free went to worth 1 before worth 6: %v", s.actions)
	}
}

func TestLostWorkerIsLeftThenTried(t *testing.T) {
	s := start(t, settings(), 2)
	w := s.warm(7)
	s.end(s.arrive(7, 0), ConnectFailed, ColdStartUnknown)
	if s.avoids(w, 8); !s.c.workers[w].health[0].suspect || s.c.usable(s.c.workers[w], 0) {
		t.Error("a worker that took no connection is still sent calls")
	}
	s.pass(backoffMin + tick)
	if !s.c.usable(s.c.workers[w], 0) {
		t.Error("a worker that took no connection is not tried again after its pause")
	}
}

func TestListIsAskedForAgain(t *testing.T) {
	set := settings()
	set.WatchOnStart = true
	s := start(t, set, 0)
	s.c.WatchFailed(s.now)
	s.c.TimerFired(s.now+time.Second, 1)
	if s.count("follow") != 2 {
		t.Errorf("%d times asked for the list, want 2", s.count("follow"))
	}
}
