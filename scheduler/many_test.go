package scheduler

import (
	"testing"
	"time"

	"havencart/internal/estimate"
)

// These tests are of what one front end among hundreds must see, with a call at a time and no backlog of its own.

// crowd ends the latest attempt of r as a worker does that held crowd calls of the function when it came.
func (h *harness) endAttemptWithQueueDepth(r RequestID, status Status, crowd int) {
	h.t.Helper()
	h.scheduler.AttemptEnded(h.now, Outcome{
		Request: r, Attempt: len(h.sentTo[r]) - 1, Worker: h.workerOf(r), Status: status,
		Latency: h.inFlightFor(r), RequestClosed: status == OK, ColdStart: WarmStart, QueueDepth: crowd,
	})
}

func TestCopyCrowdedByOthersIsLeftForALoad(t *testing.T) {
	for _, test := range []struct {
		name  string
		took  time.Duration
		crowd int
		load  bool
	}{
		{"quick", 100 * ms, 0, false},
		{"late behind others", 2500 * ms, 20, true},
		{"late at a slow worker", 2500 * ms, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := start(t, settings(), 4)
			w := h.warm(7)
			r := h.request(7, 0)
			h.advance(test.took)
			h.endAttemptWithQueueDepth(r, OK, test.crowd)
			h.advance(time.Second)
			r = h.request(7, 0)
			h.answerQueries() // no copy stands elsewhere
			if moved := h.workerOf(r) != w; moved != test.load {
				t.Errorf("after an answer in %v with %d others there the next call loads elsewhere: %v", test.took, test.crowd, moved)
			}
		})
	}
}

// TestWaitIsForgottenSoonerWhereWorkersAreMetOften holds that a front end with many calls for few workers does not
// shun one for long after a wait that passed.
func TestWaitIsForgottenSoonerWhereWorkersAreMetOften(t *testing.T) {
	h := start(t, settings(), 4)
	h.warm(7)
	h.advance(tickInterval)
	seldom := h.scheduler.delay.memory
	for range 400 {
		h.endAttempt(h.request(7, 0), OK, WarmStart)
		h.advance(tickInterval)
	}
	if often := h.scheduler.delay.memory; seldom != delayMemoryMax || often > delayMemoryMax/4 || often < delayMemoryMin {
		t.Errorf("waits are remembered for %v with few calls, %v with many", seldom, often)
	}
}

func TestWaitIsForgotten(t *testing.T) {
	h := start(t, settings(), 4)
	worker := h.scheduler.endpoints.byID[h.warm(7)]
	r := h.request(7, 0)
	h.advance(2500 * ms)
	h.endAttempt(r, OK, WarmStart)
	before := h.scheduler.queueDelay(worker)
	h.advance(2 * delayMemoryMax)
	if after := h.scheduler.queueDelay(worker); before < time.Second || after > before/4 {
		t.Errorf("a wait of %v counts as %v %v later", before, after, 2*delayMemoryMax)
	}
}

func TestFullWorkerIsNotAskedAgainAtOnce(t *testing.T) {
	h := start(t, settings(), 4)
	w := h.warm(7)
	r := h.request(7, 0)
	h.endAttemptWithQueueDepth(r, Overloaded, 20)
	h.answerQueries()
	if sent := h.sentTo[r]; len(sent) != 2 || sent[1] == w {
		t.Errorf("a call turned away at worker %d went on to %v", w, sent)
	}
}

func TestSilentWorkerDoesNotLookIdle(t *testing.T) {
	h := start(t, settings(), 8)
	function := h.scheduler.trackFunction(7, 0)
	order := h.scheduler.rendezvousOrder(function)
	for _, worker := range order[:6] {
		worker.queueDelay = estimate.NewDecayed(float64(time.Second), h.now)
	}
	h.scheduler.delay.median = h.scheduler.medianDelay()
	request := &requestRecord{class: &h.scheduler.settings.Classes[0], function: function, objectiveAt: never}
	if worker := h.scheduler.pickColdWorker(function, request, 0); worker != order[0] {
		t.Errorf("worker %d is to load, want the first rank %d, no busier than the middle one", worker.ID, order[0].ID)
	}
	order[0].queueDelay.Value *= 3
	if worker := h.scheduler.pickColdWorker(function, request, 0); worker != order[1] {
		t.Errorf("worker %d is to load, want the second rank %d, the first is busier than the middle one", worker.ID, order[1].ID)
	}
}

func TestLoadCostsWhatItPushesOut(t *testing.T) {
	h := start(t, settings(), 4)
	h.warm(7)
	function := h.scheduler.functions.byID[7]
	before := h.scheduler.loadCost(function)
	for range 3 {
		r := h.request(7, 0)
		h.advance(700 * ms)
		h.endAttempt(r, OK, ColdStartTriggered) // the copy that we counted on was gone
	}
	if after := h.scheduler.loadCost(function); after < before+h.scheduler.expectedLoadTime(function)/2 {
		t.Errorf("a load costs %v after copies were found gone, %v before", after, before)
	}
}

func TestOnlyTheFirstByRankAreAsked(t *testing.T) {
	for _, workers := range []int{3, 60} {
		h := start(t, settings(), workers)
		r := h.request(7, 0)
		if n := len(h.queries); n != min(workers, residencyQueryFanout) {
			t.Errorf("%d of %d workers asked, want %d", n, workers, min(workers, residencyQueryFanout))
		}
		for range h.queries {
			a := h.queries[0]
			h.queries = h.queries[1:]
			h.scheduler.LoadEnded(h.now, LoadResult{Worker: a.worker, Function: a.function, Status: OK, Latency: ms})
		}
		if first := h.scheduler.rendezvousOrder(h.scheduler.functions.byID[7])[0].ID; len(h.queries) != 0 || h.workerOf(r) != first {
			t.Errorf("of %d workers %d more were asked, the call went to worker %d, not %d", workers, len(h.queries), h.workerOf(r), first)
		}
	}
}

func TestRunsOfNoTimeLeaveNoRequestUnanswered(t *testing.T) {
	h := start(t, settings(), 2)
	worker := h.scheduler.endpoints.byID[h.warm(7)]
	for range 30 {
		h.endAttempt(h.request(7, 0), OK, WarmStart)
	}
	worker.concurrencyLimit = 1
	h.request(7, 0)
	held := h.request(7, 0)
	h.advance(3 * time.Second)
	if h.answers[held] == "" {
		t.Errorf("no answer for a request held behind runs of no time, expected run %v", h.scheduler.expectedRunTime(h.scheduler.functions.byID[7]))
	}
}

func TestNoCallWhereItsClientWillNotWait(t *testing.T) {
	for _, test := range []struct {
		budget time.Duration
		answer string
	}{{3 * time.Second, ""}, {450 * ms, "refused"}} {
		h := start(t, settings(), 1)
		worker := h.scheduler.endpoints.byID[h.warm(7)]
		worker.queueDelay = estimate.NewDecayed(float64(400*ms), h.now)
		h.nextID++
		h.scheduler.RequestReceived(h.now, Request{ID: h.nextID, Function: 7, Timeout: test.budget, ReplicaConcurrency: 2})
		h.advance(350 * ms)
		if sent := len(h.sentTo[h.nextID]) > 0; sent != (test.answer == "") || h.answers[h.nextID] != test.answer {
			t.Errorf("a call with %v left, for a worker where calls wait 400 ms: sent %v, answer %q", test.budget, sent, h.answers[h.nextID])
		}
	}
}

func TestClientThatLeftIsWorkedForNoLonger(t *testing.T) {
	for _, mayCancel := range []bool{true, false} {
		set := settings()
		set.CancelAllowed = mayCancel
		h := start(t, set, 1)
		h.warm(7)
		r := h.request(7, 0)
		h.scheduler.ClientDisconnected(h.now, r)
		if called := h.count("cancel") == 1; called != mayCancel {
			t.Errorf("called back %v after its client left, allowed %v", called, mayCancel)
		}
		h.advance(time.Second)
		h.endAttempt(r, Cancelled, ColdStartUnknown)
		if worker := h.scheduler.endpoints.byID[h.workerOf(r)]; h.scheduler.queueDelay(worker) < 400*ms {
			t.Errorf("a call called back after a second tells of a wait of %v", h.scheduler.queueDelay(worker))
		}
		if h.answers[r] != "" || len(h.sentTo[r]) != 1 {
			t.Errorf("a call whose client left got answer %q, sent %d times", h.answers[r], len(h.sentTo[r]))
		}
	}
}
