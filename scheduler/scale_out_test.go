package scheduler

import (
	"testing"
	"time"
)

func TestScaleOut_DeepQueue_StartsLoadForFewRequests(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	w := h.warm(7)
	for range 20 {
		h.request(7, 0)
	}
	h.answerQueries() // no replica is loaded elsewhere
	waitingForLoad := map[WorkerID]int{}
	for r, at := range h.sentTo {
		if at[0] != w && h.scheduler.requests[r] != nil {
			waitingForLoad[at[0]]++
		}
	}
	if len(waitingForLoad) == 0 {
		t.Error("20 requests of 100 ms at concurrency 2 all waited for one worker, which needs 1 s for them")
	}
	for w, n := range waitingForLoad {
		if n > 2 {
			t.Errorf("%d requests wait for the load at worker %d, want at most 2", n, w)
		}
	}
}

func TestStartLoad_WorkersAnswerNotLoaded_OrdersLoadFirst(t *testing.T) {
	set := testSettings()
	set.ReportsNotLoaded = true
	h := newHarness(t, set, 4)
	r := h.request(7, 0)
	h.answerQueries()
	h.answerQueries()
	h.advance(100 * ms)
	if len(h.orders) != 1 || len(h.sentTo[r]) != 0 {
		t.Fatalf("%d load orders, request sent to %v before the replica is loaded; want 1 and none", len(h.orders), h.sentTo[r])
	}
	h.now += 400 * ms
	h.scheduler.LoadEnded(h.now, LoadResult{Worker: h.orders[0].worker, Function: 7, Status: OK, Latency: 400 * ms, Replicas: 1})
	if h.workerOf(r) != h.orders[0].worker {
		t.Error("the request was not sent to the worker whose load order succeeded")
	}
}

// TestStartLoad_FirstRequestFails_LeavesNoLoadInFlight verifies that requests for functions that do not exist, and
// requests that were never sent, do not remain counted as loads in flight, where they would block the loads of all
// other functions.
func TestStartLoad_FirstRequestFails_LeavesNoLoadInFlight(t *testing.T) {
	for _, end := range []Status{Error, NotSent} {
		set := testSettings()
		set.LoadOrdersAllowed = false
		h := newHarness(t, set, 4)
		for i := range 3 * maxLoadsInFlight {
			r := h.request(FunctionID(100+i), 2)
			if h.workerOf(r) == 0 {
				t.Fatalf("the first request of function %d was not sent after %d requests that ended with status %d", 100+i, i, end)
			}
			h.endAttempt(r, end, ColdStartUnknown)
			h.scheduler.ClientDisconnected(h.now, r)
			h.advance(tickInterval)
		}
		for _, worker := range h.scheduler.endpoints.list {
			if worker.healthByClass[2].ejected {
				t.Errorf("worker %d was ejected for functions that never ran anywhere (status %d)", worker.ID, end)
			}
		}
	}
}

func TestScaleOut_QueueDelayByOthers_StartsLoad(t *testing.T) {
	for _, test := range []struct {
		name           string
		latency        time.Duration
		queueDepth     int
		loadsElsewhere bool
	}{
		{"short latency", 100 * ms, 0, false},
		{"long latency behind other requests", 2500 * ms, 20, true},
		{"long latency at a slow worker", 2500 * ms, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, testSettings(), 4)
			w := h.warm(7)
			r := h.request(7, 0)
			h.advance(test.latency)
			h.endAttemptWithQueueDepth(r, OK, test.queueDepth)
			h.advance(time.Second)
			r = h.request(7, 0)
			h.answerQueries() // no replica is loaded elsewhere
			if isElsewhere := h.workerOf(r) != w; isElsewhere != test.loadsElsewhere {
				t.Errorf("after a response in %v at a queue depth of %d, the next request loads elsewhere: %v", test.latency, test.queueDepth, isElsewhere)
			}
		})
	}
}

func TestLoadCost_ReplicasFoundGone_Rises(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	h.warm(7)
	function := h.scheduler.functions.byID[7]
	before := h.scheduler.loadCost(function)
	for range 3 {
		r := h.request(7, 0)
		h.advance(700 * ms)
		h.endAttempt(r, OK, ColdStartTriggered) // the replica that was assumed loaded was gone
	}
	if after := h.scheduler.loadCost(function); after < before+h.scheduler.expectedLoadTime(function)/2 {
		t.Errorf("load cost is %v after replicas were found gone, %v before", after, before)
	}
}

func TestExpectedLoadTime_FirstResponse_IsLearned(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.warm(7) // 600 ms for the first response, 100 ms per run
	function := h.scheduler.functions.byID[7]
	if load := h.scheduler.expectedLoadTime(function); load < 400*ms || load > 600*ms {
		t.Errorf("expected load time %v, want 400 to 600 ms", load)
	}
	if run := h.scheduler.expectedRunTime(function); run < 90*ms || run > 110*ms {
		t.Errorf("expected run time %v, want about 100 ms", run)
	}
}

func TestTimeToDrain_LoadingReplica_Counts(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	h.warm(7)
	function := h.scheduler.functions.byID[7]
	before := h.scheduler.timeToDrain(function, 40, ownBacklog)
	worker := h.scheduler.pickColdWorker(function, &requestRecord{class: &h.scheduler.settings.Classes[0], function: function, objectiveAt: infiniteDuration}, 0)
	function.replicas = append(function.replicas, &replicaRecord{worker: worker, function: function, loading: true, loadStartedAt: h.now})
	if during := h.scheduler.timeToDrain(function, 40, ownBacklog); during >= before || during <= h.scheduler.expectedLoadTime(function) {
		t.Errorf("40 requests take %v with a load in flight, %v without", during, before)
	}
}

func TestScaleOut_WorkerIdleForLong_IsProbed(t *testing.T) {
	for _, idle := range []time.Duration{idleProbeAfter / 2, idleProbeAfter} {
		h := newHarness(t, testSettings(), 2)
		w := h.warm(7)
		for range int(idle / time.Second) { // keeps the replica at w in use; the other worker is not contacted
			r := h.request(7, 0)
			h.now += 100 * ms
			h.endAttempt(r, OK, WarmStart)
			h.now += 900 * ms
		}
		for range 2 + 1 {
			h.request(7, 0)
		}
		probes := 0
		for _, at := range h.sentTo {
			if at[len(at)-1] != w {
				probes++
			}
		}
		if want := int(idle / idleProbeAfter); probes != want {
			t.Errorf("%d probes sent after %v without contact, want %d", probes, idle, want)
		}
	}
}

func TestStartLoad_SlowerWorker_TakesOneRequest(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	warm := h.warm(7)
	cold := h.scheduler.endpoints.byID[3-warm]
	h.setQueueDelay(cold, 100*ms)
	for range 30 {
		h.request(7, 0)
	}
	h.answerQueries()
	if len(cold.inFlight) != 1 {
		t.Errorf("%d requests wait for the load at a slower worker, want 1", len(cold.inFlight))
	}
}
