package scheduler

import (
	"testing"
	"time"
)

// These tests are of what a deployment of another shape shows: workers deaf to one class, front ends that stand
// still, functions that one front end among hundreds sees too little of, a ration that binds.

func TestWorkerDeafToOneClassIsLeftForThatClass(t *testing.T) {
	s := start(t, settings(), 4)
	w := s.c.workers[s.warm(7)]
	deaf := s.arrive(7, 0)
	for range 4 { // the other class is answered all the while
		r := s.arrive(8, 2)
		s.answerAsks(w.ID)
		s.pass(500 * ms)
		if w.health[2].suspect || !s.c.usable(w, 2) {
			t.Fatal("a class that is served is left because another is not")
		}
		s.end(r, OK, WarmStart)
	}
	if !w.health[0].suspect || s.c.usable(w, 0) || w.health[2].suspect || !s.c.usable(w, 2) {
		t.Errorf("suspect for the class that it leaves unanswered %v, for the one that it serves %v; want true and false",
			w.health[0].suspect, w.health[2].suspect)
	}
	if s.count("cancel") == 0 {
		t.Errorf("request %d, which may run twice, was not called back: %v", deaf, s.actions)
	}
}

func TestOwnStallIsNotTheirSilence(t *testing.T) {
	s := start(t, settings(), 4)
	w := s.c.workers[s.warm(7)]
	r := s.arrive(7, 0)
	s.now += 2500 * ms // standing still; then the tick comes first, and the answer with it
	s.c.TimerFired(s.now, 0)
	if w.health[0].suspect || s.count("cancel") > 0 {
		t.Error("a worker is suspect because this front end stood still")
	}
	s.c.AttemptEnded(s.now, Outcome{Request: r, Worker: w.ID, Status: OK, Latency: 100 * ms, RequestClosed: true, ColdStart: WarmStart})
	if run := s.c.runOf(s.c.functions[7]); run > 110*ms {
		t.Errorf("an answer told to have taken 100 ms is taken for %v, as it was met late", run)
	}
	s.arrive(7, 0)
	s.pass(2900 * ms)
	if !w.health[0].suspect {
		t.Error("a worker that stays silent after the stall is not suspect")
	}
}

// hot makes f a tenth of this front end's work, known to stand at one worker.
func (s *script) hot(f FunctionID) WorkerID {
	s.t.Helper()
	w := s.warm(f)
	for s.c.functions[f].work.value < float64(2*time.Second) {
		r := s.arrive(f, 0)
		s.pass(20 * ms)
		s.end(r, OK, WarmStart)
	}
	s.c.work.add(s.now, shareFade, 9*s.c.work.now(s.now, shareFade)) // of other functions
	return w
}

func TestHotFunctionIsOrderedAtOwnPlace(t *testing.T) {
	set := settings()
	places := map[WorkerID]bool{}
	for self := range 12 {
		set.FrontEndIndex, set.FrontEndCount = self, 200
		s := start(t, set, 30)
		w := s.hot(7)
		s.orders = nil
		r := s.arrive(7, 0)
		if s.at(r) != w {
			t.Errorf("front end %d sent a call to worker %d while a copy stood at %d", self, s.at(r), w)
		}
		for _, o := range s.orders {
			places[o.w] = true
		}
		if rank := s.c.near(s.c.functions[7])[0]; s.c.functions[7].at(rank) == nil {
			t.Errorf("front end %d has no copy ordered at its own place", self)
		}
	}
	if len(places) < 4 {
		t.Errorf("12 front ends of 200 order a function with a tenth of the work at %d workers of 30", len(places))
	}
}

func TestRareFunctionKeepsOnePlace(t *testing.T) {
	s := start(t, settings(), 30)
	for f := range FunctionID(100) {
		s.arrive(1000+f, 0)
	}
	s.arrive(7, 0)
	if n := s.c.places(s.c.functions[7]); n != 1 || len(s.orders) != 0 {
		t.Errorf("a function called once in a hundred calls has %d places and %d orders, want 1 and none", n, len(s.orders))
	}
}

func TestRationHoldsAtTheEdgeOfItsWindow(t *testing.T) {
	set := settings()
	set.LoadRateWindow, set.LoadRateBurst, set.LoadRatePerRequest = 5*time.Second, 0, 1
	s := start(t, set, 4)
	for range 3 {
		s.c.arrivals = append(s.c.arrivals, s.now)
	}
	s.c.loadTimes = append(s.c.loadTimes, s.now)
	s.c.now += 5 * time.Second // whether the calls still count is for the window's judge to say
	if s.c.ration() {
		t.Error("an order is allowed by calls at the very edge of the window")
	}
	s.c.arrivals = append(s.c.arrivals, s.c.now)
	if s.c.ration() {
		t.Error("an order at the very edge of the window does not count")
	}
	s.c.now += tick + ms
	if !s.c.ration() {
		t.Error("no order is allowed though one call was taken and none ordered in the window")
	}
}

func TestOverloadOfAllWorkersIsRefusedByLot(t *testing.T) {
	refused := func(waits ...time.Duration) (n int) {
		s := start(t, settings(), 6)
		s.warm(7)
		for i, wait := range waits {
			w := s.c.workers[WorkerID(i+1)]
			w.wait, w.waited = fading{float64(wait), s.now, s.now}, float64(wait)
		}
		s.pass(tick)
		for range 100 {
			r := s.arrive(7, 0)
			if s.answers[r] == "refused" {
				n++
			}
		}
		return n
	}
	long, short := 700*ms, 5*ms
	if n := refused(long, long, long, long, long, long); n < 50 || n == 100 {
		t.Errorf("%d of 100 calls are refused at once while all workers have calls wait for %v, want most, not all", n, long)
	}
	if n := refused(long, long, short, short, short, short); n != 0 {
		t.Errorf("%d of 100 calls are refused at once while four workers of six have room", n)
	}
	if n := refused(long, long, long); n != 0 {
		t.Errorf("%d of 100 calls are refused by what three workers show", n)
	}
}

func TestPickPrefersOwnZone(t *testing.T) {
	s := start(t, settings(), 4)
	for _, w := range s.c.list {
		w.Zone = int(w.ID) % 2 // front ends stand in zone 0
	}
	for i := range 6 {
		r := s.arrive(7, 0)
		s.answerAsks(1, 2)
		if w := s.at(r); i > 0 && w != 2 { // the first goes to whoever answers first
			t.Errorf("sent to worker %d in another zone while worker 2 was as free", w)
		}
		s.pass(50 * ms)
		s.end(r, OK, WarmStart)
	}
}

func TestListedSizesCountWhereTheyAreTold(t *testing.T) {
	firsts := func(sized bool) int {
		set := settings()
		set.ScaleIsCapacity = sized
		s := start(t, set, 0)
		var list []WorkerInfo
		for i := range 20 { // the first ten are three times as large
			list = append(list, WorkerInfo{ID: WorkerID(i + 1), Scale: 3 - 2*float64(i/10), Started: UnknownStart, State: Ready})
		}
		s.c.WorkersChanged(s.now, list, true)
		n := 0
		for f := range FunctionID(400) {
			if s.c.ranked(&function{id: f})[0].ID <= 10 {
				n++
			}
		}
		return n
	}
	if n := firsts(true); n < 270 || n > 330 {
		t.Errorf("ten workers with three quarters of all size come first for %d of 400 functions, want about 300", n)
	}
	if n := firsts(false); n < 170 || n > 230 {
		t.Errorf("ten of twenty workers come first for %d of 400 functions where sizes are not told, want about 200", n)
	}
}

// coldTakes is how many calls at once may go to a cold worker, where the front end had 3000 answers lately.
func (s *script) coldTakes(id WorkerID) (n int) {
	s.c.served.add(s.now, servedFade, 3000)
	w, r := s.c.workers[id], &request{f: s.c.meet(7, 0)}
	for s.c.roomCold(w, r) {
		w.sends = append(w.sends, s.now)
		n++
	}
	return n
}

func TestColdWorkerGetsByItsListedSize(t *testing.T) {
	takes := func(scale float64) int {
		set := settings()
		set.ScaleIsCapacity, set.FrontEndCount = true, 1
		s := start(t, set, 0)
		list := []WorkerInfo{{ID: 1, Scale: scale, Started: s.now, State: Ready}}
		for i := range 4 {
			list = append(list, WorkerInfo{ID: WorkerID(i + 2), Scale: 1, Started: UnknownStart, State: Ready})
		}
		s.c.WorkersChanged(s.now, list, true)
		return s.coldTakes(1)
	}
	if small, large := takes(0.5), takes(2); float64(large) < 2.5*float64(small) {
		t.Errorf("a cold worker gets %d calls at half the size and %d at twice the size", small, large)
	}
}

func TestNoCallWaitsPastItsAim(t *testing.T) {
	s := start(t, settings(), 1)
	w := s.c.workers[s.warm(7)]
	w.wait = fading{float64(900 * ms), s.now, s.now}
	r := s.arrive(7, 0) // wanted within 800 ms, given up after 3 s
	s.pass(2 * tick)
	if len(s.sentTo[r]) != 0 || s.answers[r] != "refused" {
		t.Errorf("sent to %v, answer %q: its answer would have come late, in the place of one in time", s.sentTo[r], s.answers[r])
	}
}

func TestCallsThatWaitForWordOfCopiesAreKept(t *testing.T) {
	s := start(t, settings(), 8)
	var ids []RequestID
	for range 6 {
		ids = append(ids, s.arrive(7, 0)) // the answers to what was asked are still on their way
	}
	s.pass(tick)
	for _, r := range ids {
		if s.answers[r] != "" {
			t.Fatalf("request %d was %s before it was known whether a copy stands", r, s.answers[r])
		}
	}
}

func TestOverloadRefusesByWorthForWork(t *testing.T) {
	set := settings()
	set.Classes[1].PriorityWeight, set.Classes[2].LatencyObjective = 3, 2*time.Second
	s := start(t, set, 6)
	for i := range 3 {
		s.warm(FunctionID(7 + i))
	}
	for _, w := range s.c.list {
		w.wait, w.waited = fading{float64(300 * ms), s.now, s.now}, float64(300*ms)
	}
	s.pass(tick)
	var refused [3]int
	for range 200 {
		for class := range 3 {
			if s.answers[s.arrive(FunctionID(7+class), class)] == "refused" {
				refused[class]++
			}
		}
	}
	if refused[1] >= refused[0]*3/4 {
		t.Errorf("of 200 calls each %d are refused of the class of worth 3 and %d of worth 1, for the same work", refused[1], refused[0])
	}
	if d := refused[2] - refused[0]; d < -30 || d > 30 {
		t.Errorf("of 200 calls each %d are refused of the class that can wait and %d of the one that can't: the urgent one is crowded out",
			refused[2], refused[0])
	}
}

func TestClassThatNobodyCallsHurriesNoOther(t *testing.T) {
	set := settings()
	set.Classes[2].LatencyObjective = ms
	s := start(t, set, 2)
	s.warm(7)
	if slack := s.c.slack(); slack < 600*ms {
		t.Errorf("calls may wait %v by a class of which none has come, those that come are wanted in 800ms", slack)
	}
}

func TestCopyElsewhereIsAskedForBeforeALoadThatWaitsCallFor(t *testing.T) {
	s := start(t, settings(), 4)
	w := s.warm(7)
	s.pass(2 * time.Second)
	s.c.workers[w].wait = fading{float64(5 * time.Second), s.now, s.now}
	other := w%4 + 1
	r := s.arrive(7, 0)
	if len(s.sentTo[r]) != 0 {
		t.Fatalf("sent to worker %d before it was known whether a copy stands elsewhere", s.at(r))
	}
	for _, a := range s.asks {
		if a.w == w {
			t.Error("the worker whose copy is known is asked")
		}
	}
	s.answerAsks(other)
	if s.at(r) != other || s.c.functions[7].at(s.c.workers[other]).loading {
		t.Errorf("sent to worker %d, loading; a copy stands at %d", s.at(r), other)
	}
}

func TestOverloadIsSeenByTheLatestMet(t *testing.T) {
	s := start(t, settings(), 60)
	for i, w := range s.c.list {
		met, wait := s.now-5*time.Second, float64(ms)
		if i < metLatest {
			met, wait = s.now-1500*ms, float64(2*time.Second)
		}
		w.wait, w.waited = fading{wait, met, met}, wait
	}
	if now := s.c.met(); now < float64(time.Second) {
		t.Errorf("calls wait %v by what was met in ten seconds; at the workers met last they wait 2s", time.Duration(now))
	}
}

func TestFullWorkerCountsAsOverloaded(t *testing.T) {
	s := start(t, settings(), 4)
	w := s.c.workers[s.warm(7)]
	s.crowd(s.arrive(7, 0), Overloaded, 20)
	if w.waited < float64(time.Second) {
		t.Errorf("a worker that turned a call away counts as one where calls wait %v", time.Duration(w.waited))
	}
}

func TestUnansweredQuestionDoesNotStopAsking(t *testing.T) {
	s := start(t, settings(), 8)
	s.arrive(7, 0)
	hung := s.asks[0].w
	s.asks = s.asks[1:]
	s.answerAsks()
	s.pass(2 * lately) // a load began without the last answer
	f := s.c.functions[7]
	f.replicas = nil
	s.arrive(7, 0)
	if len(s.asks) != askFirst-1 || len(f.replicas) > 0 {
		t.Errorf("%d workers are asked and %d loads begun while an answer from long ago is still awaited",
			len(s.asks), len(f.replicas))
	}
	s.c.LoadEnded(s.now, LoadResult{Worker: hung, Function: 7, Status: Timeout})
	s.answerAsks()
	if f.asks != 0 {
		t.Errorf("%d answers awaited after all have come", f.asks)
	}
}

func TestQuestionThatFindsNoProcessTellsADeath(t *testing.T) {
	s := start(t, settings(), 4)
	w := s.warm(7)
	s.arrive(8, 0)
	s.c.LoadEnded(s.now, LoadResult{Worker: w, Function: 8, Status: ConnectFailed})
	if s.c.functions[7].at(s.c.workers[w]) != nil || s.c.usable(s.c.workers[w], 0) {
		t.Error("a worker that refuses the connection to a question is still believed to hold what it held")
	}
}

// TestLongCallIsNoWait holds that the lot does not take a call that runs for long for one that waits: among several
// out at a worker one is always long out.
func TestLongCallIsNoWait(t *testing.T) {
	s := start(t, settings(), 4)
	w := s.c.workers[s.warm(7)]
	for _, other := range s.c.list {
		other.wait, other.waited = fading{0, s.now, s.now}, 0
	}
	if r := s.arrive(7, 0); s.at(r) != w.ID {
		t.Fatalf("the call went to worker %d, a copy stands at %d", s.at(r), w.ID)
	}
	s.pass(quietFloor)
	if now := s.c.met(); now > 0 {
		t.Errorf("a call that is out for %v counts as a wait of %v", quietFloor, time.Duration(now))
	}
}

func TestBurstBeforeAnyAnswerIsNotGivenUp(t *testing.T) {
	set := settings()
	set.Classes[0].LatencyObjective = 400 * ms
	s := start(t, set, 1)
	first := s.arrive(7, 0)
	s.answerAsks()
	s.pass(40 * ms)
	s.end(first, OK, ColdStartTriggered)
	for range 16 {
		s.arrive(7, 0)
	}
	s.pass(40 * ms)
	if n := s.count("refuse"); n != 0 {
		t.Errorf("%d of 16 calls refused before any run was seen", n)
	}
	for id := first + 1; id <= first+2; id++ {
		s.end(id, OK, WarmStart)
	}
	for range 200 {
		s.arrive(7, 0)
	}
	s.pass(40 * ms)
	if s.count("refuse") == 0 {
		t.Error("none of 200 calls refused that runs of 40 ms make late")
	}
}

// TestClassInAHurryIsServedWarm: its calls wait for less than a run is guessed to take before one was seen.
func TestClassInAHurryIsServedWarm(t *testing.T) {
	set := settings()
	set.Classes[0] = Class{LatencyObjective: 80 * ms, Timeout: 120 * ms, PriorityWeight: 1, Idempotency: Idempotent}
	s := start(t, set, 4)
	hurried := func() RequestID {
		s.nextID++
		s.c.RequestReceived(s.now, Request{ID: s.nextID, Function: 7, Timeout: 120 * ms, ReplicaConcurrency: 2, LoadTimeEstimate: 50 * ms})
		s.answerAsks()
		return s.nextID
	}
	first := hurried()
	w := s.at(first)
	s.pass(60 * ms)
	s.end(first, OK, ColdStartTriggered)
	if got := s.at(hurried()); got != w {
		t.Errorf("the second call went to worker %d, a copy stands at %d", got, w)
	}
}

// TestHundredsOfFrontEndsPushNoColdWorkerOver: each has a call for a worker that just started now and then, four times as often
// as for a worker in the mean, as after half of the workers went down.
func TestHundredsOfFrontEndsPushNoColdWorkerOver(t *testing.T) {
	const frontEnds, workers, each, wanted = 500, 100, 3.0, 4 // each worker serves so many calls a second of all front ends
	set := settings()
	set.FrontEndCount, set.OverloadWindow = frontEnds, 2*time.Second
	sent, windows := 0, 40
	for i := range frontEnds {
		set.Seed = uint64(i)
		s := start(t, set, workers)
		s.change(WorkerInfo{ID: 1, Scale: 1, Started: s.now, State: Ready})
		s.now += set.SlowStartDuration / 2
		w, r := s.c.workers[1], &request{f: s.c.meet(7, 0)}
		for n := range windows {
			s.now += set.OverloadWindow
			s.c.now, w.Started = s.now, s.now-set.SlowStartDuration/2-time.Duration(n)
			s.c.served = fading{each * workers / frontEnds * servedFade.Seconds(), s.now, s.now}
			lot := mix(uint64(i), uint64(n)+1000)
			if chance(lot) < wanted*each*set.OverloadWindow.Seconds()/frontEnds && s.c.roomCold(w, r) {
				w.sends = append(w.sends, s.now)
				sent++
			}
		}
	}
	part := set.SlowStartFraction + (1-set.SlowStartFraction)/2
	if mean, most := float64(sent)/float64(windows), set.OverloadFactor*part*each*set.OverloadWindow.Seconds(); mean > most {
		t.Errorf("%.1f calls in a window, %.1f push it over", mean, most)
	}
}

// TestColdWorkersCountForTheirPart: others that just started serve little, and that says nothing of what a warm worker does.
func TestColdWorkersCountForTheirPart(t *testing.T) {
	takes := func(others int) int {
		set := settings()
		set.FrontEndCount = 1
		s := start(t, set, 4)
		for i := range others + 1 {
			s.change(WorkerInfo{ID: WorkerID(10 + i), Scale: 1, Started: s.now, State: Ready})
		}
		return s.coldTakes(10)
	}
	if alone, among := takes(0), takes(8); float64(among) < 0.6*float64(alone) {
		t.Errorf("a cold worker gets %d calls among eight others that are cold, %d alone", among, alone)
	}
}

// TestLotLeavesCallsAloneWhereRunsDiffer holds that waits of less than a run are no overload, however urgent a class.
func TestLotLeavesCallsAloneWhereRunsDiffer(t *testing.T) {
	set := settings()
	for i := range set.Classes {
		set.Classes[i].LatencyObjective = 400 * ms
	}
	s := start(t, set, 6)
	s.warm(7)
	for range 2 * quietLeast {
		s.pass(300 * ms)
		s.end(s.arrive(7, 0), OK, WarmStart)
	}
	quiet := s.c.quiet(0)
	refused := func(wait time.Duration) (n int) {
		s.c.common = float64(wait)
		for id := range RequestID(200) {
			f := s.c.meet(FunctionID(1000), 0) // of which no copy is known
			if s.c.tooMany(&request{Request: Request{ID: 5000 + id}, class: &s.c.set.Classes[0], f: f}) {
				n++
			}
		}
		return n
	}
	if few, many := refused(quiet*9/10), refused(10*quiet+time.Second); few > 0 || many < 100 {
		t.Errorf("of 200 calls %d are refused at a wait of 0.9 quiet runs, %d at one of over 10", few, many)
	}
}

// TestFailedFirstCallsLeaveNoLoad holds that calls of functions that nobody has, and calls that never left, are no
// loads under way: so many of them kept back the loads of all others.
func TestFailedFirstCallsLeaveNoLoad(t *testing.T) {
	for _, end := range []Status{Error, NotSent} {
		set := settings()
		set.LoadOrdersAllowed = false
		s := start(t, set, 4)
		for i := range 3 * loadsMost {
			r := s.arrive(FunctionID(100+i), 2)
			if s.at(r) == 0 {
				t.Fatalf("the first call of function %d is not sent after %d that ended with %d", 100+i, i, end)
			}
			s.end(r, end, ColdStartUnknown)
			s.c.ClientDisconnected(s.now, r)
			s.pass(tick)
		}
		for _, w := range s.c.list {
			if w.health[2].suspect {
				t.Errorf("worker %d is suspect for functions that never ran anywhere (%d)", w.ID, end)
			}
		}
	}
}

// TestWorkersThatAreGoneAreForgotten holds that a day on which workers are replaced all the time leaves nothing
// behind: neither memory nor a part in the means over all workers.
func TestWorkersThatAreGoneAreForgotten(t *testing.T) {
	set := settings()
	set.SlowStartDuration = 10 * time.Second
	s := start(t, set, 4)
	for i := range 50 {
		id := WorkerID(100 + i)
		s.c.WorkersChanged(s.now, []WorkerInfo{{ID: id, State: Ready, Scale: 1, Started: s.now}}, false)
		s.pass(time.Second)
		s.c.WorkersChanged(s.now, []WorkerInfo{{ID: id, State: Removed, Scale: 1}}, false)
	}
	if n := len(s.c.list); n > 4+12 || n != len(s.c.workers) {
		t.Errorf("%d workers are known, %d by name, 4 are there", n, len(s.c.workers))
	}
}

// TestWhatWaitsForWordOfCopiesIsNotGivenUp holds that a call is not refused as too late for a load while it may yet
// be told of a copy that stands.
func TestWhatWaitsForWordOfCopiesIsNotGivenUp(t *testing.T) {
	s := start(t, settings(), 8)
	for range 3 {
		s.warm(7)
	}
	s.c.loads.add(float64(5 * time.Second)) // loads take longer than any call may
	s.c.loadSeen = s.now
	r := s.arrive(8, 0)
	if len(s.sentTo[r]) > 0 || !s.c.asking(s.c.functions[8]) {
		t.Fatalf("nobody was asked for copies; actions %v", s.actions)
	}
	s.pass(tick)
	if s.c.requests[r] == nil {
		t.Errorf("given up while word of copies may come; actions %v", s.actions)
	}
}
