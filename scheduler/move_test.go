package scheduler

import (
	"testing"
	"time"

	"havencart/internal/estimate"
)

// These tests are of what a deployment of another shape shows: workers deaf to one class, front ends that stand
// still, functions that one front end among hundreds sees too little of, a ration that binds.

func TestWorkerDeafToOneClassIsLeftForThatClass(t *testing.T) {
	h := start(t, settings(), 4)
	worker := h.scheduler.endpoints.byID[h.warm(7)]
	deaf := h.request(7, 0)
	for range 4 { // the other class is answered all the while
		r := h.request(8, 2)
		h.answerQueries(worker.ID)
		h.advance(500 * ms)
		if worker.healthByClass[2].ejected || !h.scheduler.isUsable(worker, 2) {
			t.Fatal("a class that is served is left because another is not")
		}
		h.endAttempt(r, OK, WarmStart)
	}
	if !worker.healthByClass[0].ejected || h.scheduler.isUsable(worker, 0) || worker.healthByClass[2].ejected || !h.scheduler.isUsable(worker, 2) {
		t.Errorf("suspect for the class that it leaves unanswered %v, for the one that it serves %v; want true and false",
			worker.healthByClass[0].ejected, worker.healthByClass[2].ejected)
	}
	if h.count("cancel") == 0 {
		t.Errorf("request %d, which may run twice, was not called back: %v", deaf, h.actions)
	}
}

func TestOwnStallIsNotTheirSilence(t *testing.T) {
	h := start(t, settings(), 4)
	worker := h.scheduler.endpoints.byID[h.warm(7)]
	r := h.request(7, 0)
	h.now += 2500 * ms // standing still; then the tick comes first, and the answer with it
	h.scheduler.TimerFired(h.now, 0)
	if worker.healthByClass[0].ejected || h.count("cancel") > 0 {
		t.Error("a worker is suspect because this front end stood still")
	}
	h.scheduler.AttemptEnded(h.now, Outcome{Request: r, Worker: worker.ID, Status: OK, Latency: 100 * ms, RequestClosed: true, ColdStart: WarmStart})
	if run := h.scheduler.expectedRunTime(h.scheduler.functions.byID[7]); run > 110*ms {
		t.Errorf("an answer told to have taken 100 ms is taken for %v, as it was met late", run)
	}
	h.request(7, 0)
	h.advance(2900 * ms)
	if !worker.healthByClass[0].ejected {
		t.Error("a worker that stays silent after the stall is not suspect")
	}
}

// hot makes f a tenth of this front end's work, known to stand at one worker.
func (h *harness) makePopular(f FunctionID) WorkerID {
	h.t.Helper()
	w := h.warm(f)
	for h.scheduler.functions.byID[f].requestedRunTime.Value < float64(2*time.Second) {
		r := h.request(f, 0)
		h.advance(20 * ms)
		h.endAttempt(r, OK, WarmStart)
	}
	h.scheduler.demand.runTime.Add(h.now, demandMemory, 9*h.scheduler.demand.runTime.Read(h.now, demandMemory)) // of other functions
	return w
}

func TestHotFunctionIsOrderedAtOwnPlace(t *testing.T) {
	set := settings()
	places := map[WorkerID]bool{}
	for self := range 12 {
		set.FrontEndIndex, set.FrontEndCount = self, 200
		h := start(t, set, 30)
		w := h.makePopular(7)
		h.orders = nil
		r := h.request(7, 0)
		if h.workerOf(r) != w {
			t.Errorf("front end %d sent a call to worker %d while a copy stood at %d", self, h.workerOf(r), w)
		}
		for _, o := range h.orders {
			places[o.worker] = true
		}
		if rank := h.scheduler.placementOrder(h.scheduler.functions.byID[7])[0]; h.scheduler.functions.byID[7].replicaOn(rank) == nil {
			t.Errorf("front end %d has no copy ordered at its own place", self)
		}
	}
	if len(places) < 4 {
		t.Errorf("12 front ends of 200 order a function with a tenth of the work at %d workers of 30", len(places))
	}
}

func TestRareFunctionKeepsOnePlace(t *testing.T) {
	h := start(t, settings(), 30)
	for f := range FunctionID(100) {
		h.request(1000+f, 0)
	}
	h.request(7, 0)
	if n := h.scheduler.targetReplicaCount(h.scheduler.functions.byID[7]); n != 1 || len(h.orders) != 0 {
		t.Errorf("a function called once in a hundred calls has %d places and %d orders, want 1 and none", n, len(h.orders))
	}
}

func TestRationHoldsAtTheEdgeOfItsWindow(t *testing.T) {
	set := settings()
	set.LoadRateWindow, set.LoadRateBurst, set.LoadRatePerRequest = 5*time.Second, 0, 1
	h := start(t, set, 4)
	for range 3 {
		h.scheduler.loadRate.requestTimes = append(h.scheduler.loadRate.requestTimes, h.now)
	}
	h.scheduler.loadRate.orderTimes = append(h.scheduler.loadRate.orderTimes, h.now)
	h.scheduler.now += 5 * time.Second // whether the calls still count is for the window's judge to say
	if h.scheduler.loadRate.allows(h.scheduler.now, &h.scheduler.settings) {
		t.Error("an order is allowed by calls at the very edge of the window")
	}
	h.scheduler.loadRate.requestTimes = append(h.scheduler.loadRate.requestTimes, h.scheduler.now)
	if h.scheduler.loadRate.allows(h.scheduler.now, &h.scheduler.settings) {
		t.Error("an order at the very edge of the window does not count")
	}
	h.scheduler.now += tickInterval + ms
	if !h.scheduler.loadRate.allows(h.scheduler.now, &h.scheduler.settings) {
		t.Error("no order is allowed though one call was taken and none ordered in the window")
	}
}

func TestOverloadOfAllWorkersIsRefusedByLot(t *testing.T) {
	refused := func(waits ...time.Duration) (n int) {
		h := start(t, settings(), 6)
		h.warm(7)
		for i, wait := range waits {
			worker := h.scheduler.endpoints.byID[WorkerID(i+1)]
			worker.queueDelay, worker.observedDelay = estimate.NewDecayed(float64(wait), h.now), float64(wait)
		}
		h.advance(tickInterval)
		for range 100 {
			r := h.request(7, 0)
			if h.answers[r] == "refused" {
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
	h := start(t, settings(), 4)
	for _, worker := range h.scheduler.endpoints.list {
		worker.Zone = int(worker.ID) % 2 // front ends stand in zone 0
	}
	for i := range 6 {
		r := h.request(7, 0)
		h.answerQueries(1, 2)
		if w := h.workerOf(r); i > 0 && w != 2 { // the first goes to whoever answers first
			t.Errorf("sent to worker %d in another zone while worker 2 was as free", w)
		}
		h.advance(50 * ms)
		h.endAttempt(r, OK, WarmStart)
	}
}

func TestListedSizesCountWhereTheyAreTold(t *testing.T) {
	firsts := func(sized bool) int {
		set := settings()
		set.ScaleIsCapacity = sized
		h := start(t, set, 0)
		var list []WorkerInfo
		for i := range 20 { // the first ten are three times as large
			list = append(list, WorkerInfo{ID: WorkerID(i + 1), Scale: 3 - 2*float64(i/10), Started: UnknownStart, State: Ready})
		}
		h.scheduler.WorkersChanged(h.now, list, true)
		n := 0
		for f := range FunctionID(400) {
			if h.scheduler.rendezvousOrder(&functionRecord{id: f})[0].ID <= 10 {
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
func (h *harness) countColdRequests(id WorkerID) (n int) {
	h.scheduler.demand.completions.Add(h.now, completionMemory, 3000)
	worker, request := h.scheduler.endpoints.byID[id], &requestRecord{function: h.scheduler.trackFunction(7, 0)}
	for h.scheduler.slowStartAllows(worker, request) {
		worker.sendTimes = append(worker.sendTimes, h.now)
		n++
	}
	return n
}

func TestColdWorkerGetsByItsListedSize(t *testing.T) {
	takes := func(scale float64) int {
		set := settings()
		set.ScaleIsCapacity, set.FrontEndCount = true, 1
		h := start(t, set, 0)
		list := []WorkerInfo{{ID: 1, Scale: scale, Started: h.now, State: Ready}}
		for i := range 4 {
			list = append(list, WorkerInfo{ID: WorkerID(i + 2), Scale: 1, Started: UnknownStart, State: Ready})
		}
		h.scheduler.WorkersChanged(h.now, list, true)
		return h.countColdRequests(1)
	}
	if small, large := takes(0.5), takes(2); float64(large) < 2.5*float64(small) {
		t.Errorf("a cold worker gets %d calls at half the size and %d at twice the size", small, large)
	}
}

func TestNoCallWaitsPastItsAim(t *testing.T) {
	h := start(t, settings(), 1)
	worker := h.scheduler.endpoints.byID[h.warm(7)]
	worker.queueDelay = estimate.NewDecayed(float64(900*ms), h.now)
	r := h.request(7, 0) // wanted within 800 ms, given up after 3 s
	h.advance(2 * tickInterval)
	if len(h.sentTo[r]) != 0 || h.answers[r] != "refused" {
		t.Errorf("sent to %v, answer %q: its answer would have come late, in the place of one in time", h.sentTo[r], h.answers[r])
	}
}

func TestCallsThatWaitForWordOfCopiesAreKept(t *testing.T) {
	h := start(t, settings(), 8)
	var ids []RequestID
	for range 6 {
		ids = append(ids, h.request(7, 0)) // the answers to what was asked are still on their way
	}
	h.advance(tickInterval)
	for _, r := range ids {
		if h.answers[r] != "" {
			t.Fatalf("request %d was %s before it was known whether a copy stands", r, h.answers[r])
		}
	}
}

func TestOverloadRefusesByWorthForWork(t *testing.T) {
	set := settings()
	set.Classes[1].PriorityWeight, set.Classes[2].LatencyObjective = 3, 2*time.Second
	h := start(t, set, 6)
	for i := range 3 {
		h.warm(FunctionID(7 + i))
	}
	for _, worker := range h.scheduler.endpoints.list {
		worker.queueDelay, worker.observedDelay = estimate.NewDecayed(float64(300*ms), h.now), float64(300*ms)
	}
	h.advance(tickInterval)
	var refused [3]int
	for range 200 {
		for class := range 3 {
			if h.answers[h.request(FunctionID(7+class), class)] == "refused" {
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
	h := start(t, set, 2)
	h.warm(7)
	if slack := h.scheduler.queueDelayBudget(); slack < 600*ms {
		t.Errorf("calls may wait %v by a class of which none has come, those that come are wanted in 800ms", slack)
	}
}

func TestCopyElsewhereIsAskedForBeforeALoadThatWaitsCallFor(t *testing.T) {
	h := start(t, settings(), 4)
	w := h.warm(7)
	h.advance(2 * time.Second)
	h.scheduler.endpoints.byID[w].queueDelay = estimate.NewDecayed(float64(5*time.Second), h.now)
	other := w%4 + 1
	r := h.request(7, 0)
	if len(h.sentTo[r]) != 0 {
		t.Fatalf("sent to worker %d before it was known whether a copy stands elsewhere", h.workerOf(r))
	}
	for _, a := range h.queries {
		if a.worker == w {
			t.Error("the worker whose copy is known is asked")
		}
	}
	h.answerQueries(other)
	if h.workerOf(r) != other || h.scheduler.functions.byID[7].replicaOn(h.scheduler.endpoints.byID[other]).loading {
		t.Errorf("sent to worker %d, loading; a copy stands at %d", h.workerOf(r), other)
	}
}

func TestOverloadIsSeenByTheLatestMet(t *testing.T) {
	h := start(t, settings(), 60)
	for i, worker := range h.scheduler.endpoints.list {
		met, wait := h.now-5*time.Second, float64(ms)
		if i < contactedLatest {
			met, wait = h.now-1500*ms, float64(2*time.Second)
		}
		worker.queueDelay, worker.observedDelay = estimate.NewDecayed(wait, met), wait
	}
	if now := h.scheduler.contactedDelay(); now < float64(time.Second) {
		t.Errorf("calls wait %v by what was met in ten seconds; at the workers met last they wait 2s", time.Duration(now))
	}
}

func TestFullWorkerCountsAsOverloaded(t *testing.T) {
	h := start(t, settings(), 4)
	worker := h.scheduler.endpoints.byID[h.warm(7)]
	h.endAttemptWithQueueDepth(h.request(7, 0), Overloaded, 20)
	if worker.observedDelay < float64(time.Second) {
		t.Errorf("a worker that turned a call away counts as one where calls wait %v", time.Duration(worker.observedDelay))
	}
}

func TestUnansweredQuestionDoesNotStopAsking(t *testing.T) {
	h := start(t, settings(), 8)
	h.request(7, 0)
	hung := h.queries[0].worker
	h.queries = h.queries[1:]
	h.answerQueries()
	h.advance(2 * freshnessWindow) // a load began without the last answer
	function := h.scheduler.functions.byID[7]
	function.replicas = nil
	h.request(7, 0)
	if len(h.queries) != residencyQueryFanout-1 || len(function.replicas) > 0 {
		t.Errorf("%d workers are asked and %d loads begun while an answer from long ago is still awaited",
			len(h.queries), len(function.replicas))
	}
	h.scheduler.LoadEnded(h.now, LoadResult{Worker: hung, Function: 7, Status: Timeout})
	h.answerQueries()
	if function.pendingQueries != 0 {
		t.Errorf("%d answers awaited after all have come", function.pendingQueries)
	}
}

func TestQuestionThatFindsNoProcessTellsADeath(t *testing.T) {
	h := start(t, settings(), 4)
	w := h.warm(7)
	h.request(8, 0)
	h.scheduler.LoadEnded(h.now, LoadResult{Worker: w, Function: 8, Status: ConnectFailed})
	if h.scheduler.functions.byID[7].replicaOn(h.scheduler.endpoints.byID[w]) != nil || h.scheduler.isUsable(h.scheduler.endpoints.byID[w], 0) {
		t.Error("a worker that refuses the connection to a question is still believed to hold what it held")
	}
}

// TestLongCallIsNoWait holds that the lot does not take a call that runs for long for one that waits: among several
// out at a worker one is always long out.
func TestLongCallIsNoWait(t *testing.T) {
	h := start(t, settings(), 4)
	worker := h.scheduler.endpoints.byID[h.warm(7)]
	for _, other := range h.scheduler.endpoints.list {
		other.queueDelay, other.observedDelay = estimate.NewDecayed(0, h.now), 0
	}
	if r := h.request(7, 0); h.workerOf(r) != worker.ID {
		t.Fatalf("the call went to worker %d, a copy stands at %d", h.workerOf(r), worker.ID)
	}
	h.advance(responseTimeoutFloor)
	if now := h.scheduler.contactedDelay(); now > 0 {
		t.Errorf("a call that is out for %v counts as a wait of %v", responseTimeoutFloor, time.Duration(now))
	}
}

func TestBurstBeforeAnyAnswerIsNotGivenUp(t *testing.T) {
	set := settings()
	set.Classes[0].LatencyObjective = 400 * ms
	h := start(t, set, 1)
	first := h.request(7, 0)
	h.answerQueries()
	h.advance(40 * ms)
	h.endAttempt(first, OK, ColdStartTriggered)
	for range 16 {
		h.request(7, 0)
	}
	h.advance(40 * ms)
	if n := h.count("refuse"); n != 0 {
		t.Errorf("%d of 16 calls refused before any run was seen", n)
	}
	for id := first + 1; id <= first+2; id++ {
		h.endAttempt(id, OK, WarmStart)
	}
	for range 200 {
		h.request(7, 0)
	}
	h.advance(40 * ms)
	if h.count("refuse") == 0 {
		t.Error("none of 200 calls refused that runs of 40 ms make late")
	}
}

// TestClassInAHurryIsServedWarm: its calls wait for less than a run is guessed to take before one was seen.
func TestClassInAHurryIsServedWarm(t *testing.T) {
	set := settings()
	set.Classes[0] = Class{LatencyObjective: 80 * ms, Timeout: 120 * ms, PriorityWeight: 1, Idempotency: Idempotent}
	h := start(t, set, 4)
	hurried := func() RequestID {
		h.nextID++
		h.scheduler.RequestReceived(h.now, Request{ID: h.nextID, Function: 7, Timeout: 120 * ms, ReplicaConcurrency: 2, LoadTimeEstimate: 50 * ms})
		h.answerQueries()
		return h.nextID
	}
	first := hurried()
	w := h.workerOf(first)
	h.advance(60 * ms)
	h.endAttempt(first, OK, ColdStartTriggered)
	if got := h.workerOf(hurried()); got != w {
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
		h := start(t, set, workers)
		h.changeWorker(WorkerInfo{ID: 1, Scale: 1, Started: h.now, State: Ready})
		h.now += set.SlowStartDuration / 2
		worker, request := h.scheduler.endpoints.byID[1], &requestRecord{function: h.scheduler.trackFunction(7, 0)}
		for n := range windows {
			h.now += set.OverloadWindow
			h.scheduler.now, worker.Started = h.now, h.now-set.SlowStartDuration/2-time.Duration(n)
			h.scheduler.demand.completions = estimate.NewDecayed(each*workers/frontEnds*completionMemory.Seconds(), h.now)
			lot := estimate.Mix(uint64(i), uint64(n)+1000)
			if estimate.UnitInterval(lot) < wanted*each*set.OverloadWindow.Seconds()/frontEnds && h.scheduler.slowStartAllows(worker, request) {
				worker.sendTimes = append(worker.sendTimes, h.now)
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
		h := start(t, set, 4)
		for i := range others + 1 {
			h.changeWorker(WorkerInfo{ID: WorkerID(10 + i), Scale: 1, Started: h.now, State: Ready})
		}
		return h.countColdRequests(10)
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
	h := start(t, set, 6)
	h.warm(7)
	for range 2 * unloadedMinSamples {
		h.advance(300 * ms)
		h.endAttempt(h.request(7, 0), OK, WarmStart)
	}
	quiet := h.scheduler.unloadedRunTime(0)
	refused := func(wait time.Duration) (n int) {
		h.scheduler.delay.contactedMedian = float64(wait)
		for id := range RequestID(200) {
			function := h.scheduler.trackFunction(FunctionID(1000), 0) // of which no copy is known
			if h.scheduler.shouldShed(&requestRecord{Request: Request{ID: 5000 + id}, class: &h.scheduler.settings.Classes[0], function: function}) {
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
		h := start(t, set, 4)
		for i := range 3 * maxLoadsInFlight {
			r := h.request(FunctionID(100+i), 2)
			if h.workerOf(r) == 0 {
				t.Fatalf("the first call of function %d is not sent after %d that ended with %d", 100+i, i, end)
			}
			h.endAttempt(r, end, ColdStartUnknown)
			h.scheduler.ClientDisconnected(h.now, r)
			h.advance(tickInterval)
		}
		for _, worker := range h.scheduler.endpoints.list {
			if worker.healthByClass[2].ejected {
				t.Errorf("worker %d is suspect for functions that never ran anywhere (%d)", worker.ID, end)
			}
		}
	}
}

// TestWorkersThatAreGoneAreForgotten holds that a day on which workers are replaced all the time leaves nothing
// behind: neither memory nor a part in the means over all workers.
func TestWorkersThatAreGoneAreForgotten(t *testing.T) {
	set := settings()
	set.SlowStartDuration = 10 * time.Second
	h := start(t, set, 4)
	for i := range 50 {
		id := WorkerID(100 + i)
		h.scheduler.WorkersChanged(h.now, []WorkerInfo{{ID: id, State: Ready, Scale: 1, Started: h.now}}, false)
		h.advance(time.Second)
		h.scheduler.WorkersChanged(h.now, []WorkerInfo{{ID: id, State: Removed, Scale: 1}}, false)
	}
	if n := len(h.scheduler.endpoints.list); n > 4+12 || n != len(h.scheduler.endpoints.byID) {
		t.Errorf("%d workers are known, %d by name, 4 are there", n, len(h.scheduler.endpoints.byID))
	}
}

// TestWhatWaitsForWordOfCopiesIsNotGivenUp holds that a call is not refused as too late for a load while it may yet
// be told of a copy that stands.
func TestWhatWaitsForWordOfCopiesIsNotGivenUp(t *testing.T) {
	h := start(t, settings(), 8)
	for range 3 {
		h.warm(7)
	}
	h.scheduler.latency.loadTime.Add(float64(5*time.Second), averageWindow) // loads take longer than any call may
	h.scheduler.breaker.lastLoadAt = h.now
	r := h.request(8, 0)
	if len(h.sentTo[r]) > 0 || !h.scheduler.awaitsResidency(h.scheduler.functions.byID[8]) {
		t.Fatalf("nobody was asked for copies; actions %v", h.actions)
	}
	h.advance(tickInterval)
	if h.scheduler.requests[r] == nil {
		t.Errorf("given up while word of copies may come; actions %v", h.actions)
	}
}
