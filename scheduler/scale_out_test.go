package scheduler

import (
	"testing"
	"time"
)

func TestScaleOut_DeepQueue_StartsLoadForFewRequests(t *testing.T) {
	harness := newHarness(t, testSettings(), 4)
	w := harness.warm(7)
	for range 20 {
		harness.request(7, 0)
	}
	harness.answerQueries() // no replica is loaded elsewhere
	waitingForLoad := map[WorkerID]int{}
	for r, at := range harness.sentTo {
		if at[0] != w && harness.scheduler.requests[r] != nil {
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
	harness := newHarness(t, set, 4)
	r := harness.request(7, 0)
	harness.answerQueries()
	harness.answerQueries()
	harness.advance(100 * ms)
	if len(harness.orders) != 1 || len(harness.sentTo[r]) != 0 {
		t.Fatalf("%d load orders, request sent to %v before the replica is loaded; want 1 and none", len(harness.orders), harness.sentTo[r])
	}
	harness.now += 400 * ms
	harness.scheduler.LoadEnded(harness.now, LoadResult{Worker: harness.orders[0].worker, Function: 7, Status: OK, Latency: 400 * ms, Replicas: 1})
	if harness.workerOf(r) != harness.orders[0].worker {
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
		harness := newHarness(t, set, 4)
		for i := range 3 * maxLoadsInFlight {
			r := harness.request(FunctionID(100+i), 2)
			if harness.workerOf(r) == 0 {
				t.Fatalf("the first request of function %d was not sent after %d requests that ended with status %d", 100+i, i, end)
			}
			harness.endAttempt(r, end, ColdStartUnknown)
			harness.scheduler.ClientDisconnected(harness.now, r)
			harness.advance(tickInterval)
		}
		for _, worker := range harness.scheduler.endpoints.list {
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
			harness := newHarness(t, testSettings(), 4)
			w := harness.warm(7)
			r := harness.request(7, 0)
			harness.advance(test.latency)
			harness.endAttemptWithQueueDepth(r, OK, test.queueDepth)
			harness.advance(time.Second)
			r = harness.request(7, 0)
			harness.answerQueries() // no replica is loaded elsewhere
			if isElsewhere := harness.workerOf(r) != w; isElsewhere != test.loadsElsewhere {
				t.Errorf("after a response in %v at a queue depth of %d, the next request loads elsewhere: %v", test.latency, test.queueDepth, isElsewhere)
			}
		})
	}
}

func TestLoadCost_ReplicasFoundGone_Rises(t *testing.T) {
	harness := newHarness(t, testSettings(), 4)
	harness.warm(7)
	function := harness.scheduler.functions.byID[7]
	before := harness.scheduler.loadCost(function)
	for range 3 {
		r := harness.request(7, 0)
		harness.advance(700 * ms)
		harness.endAttempt(r, OK, ColdStartTriggered) // the replica that was assumed loaded was gone
	}
	if after := harness.scheduler.loadCost(function); after < before+harness.scheduler.expectedLoadTime(function)/2 {
		t.Errorf("load cost is %v after replicas were found gone, %v before", after, before)
	}
}

func TestExpectedLoadTime_FirstResponse_IsLearned(t *testing.T) {
	harness := newHarness(t, testSettings(), 2)
	harness.warm(7) // 600 ms for the first response, 100 ms per run
	function := harness.scheduler.functions.byID[7]
	if load := harness.scheduler.expectedLoadTime(function); load < 400*ms || load > 600*ms {
		t.Errorf("expected load time %v, want 400 to 600 ms", load)
	}
	if run := harness.scheduler.expectedRunTime(function); run < 90*ms || run > 110*ms {
		t.Errorf("expected run time %v, want about 100 ms", run)
	}
}

func TestTimeToDrain_LoadingReplica_Counts(t *testing.T) {
	harness := newHarness(t, testSettings(), 4)
	harness.warm(7)
	function := harness.scheduler.functions.byID[7]
	before := harness.scheduler.timeToDrain(function, 40, ownBacklog)
	worker := harness.scheduler.pickColdWorker(function, &requestRecord{class: &harness.scheduler.settings.Classes[0], function: function, objectiveAt: infiniteDuration}, 0)
	function.replicas = append(function.replicas, &replicaRecord{worker: worker, function: function, loading: true, loadStartedAt: harness.now})
	if during := harness.scheduler.timeToDrain(function, 40, ownBacklog); during >= before || during <= harness.scheduler.expectedLoadTime(function) {
		t.Errorf("40 requests take %v with a load in flight, %v without", during, before)
	}
}

func TestScaleOut_WorkerIdleForLong_IsProbed(t *testing.T) {
	for _, idle := range []time.Duration{idleProbeAfter / 2, idleProbeAfter} {
		harness := newHarness(t, testSettings(), 2)
		warmWorker := harness.warm(7)
		for range int(idle / time.Second) { // keeps the replica at w in use; the other worker is not contacted
			r := harness.request(7, 0)
			harness.now += 100 * ms
			harness.endAttempt(r, OK, WarmStart)
			harness.now += 900 * ms
		}
		for range 2 + 1 {
			harness.request(7, 0)
		}
		probes := 0
		for _, at := range harness.sentTo {
			if at[len(at)-1] != warmWorker {
				probes++
			}
		}
		if want := int(idle / idleProbeAfter); probes != want {
			t.Errorf("%d probes sent after %v without contact, want %d", probes, idle, want)
		}
	}
}

func TestStartLoad_SlowerWorker_TakesOneRequest(t *testing.T) {
	harness := newHarness(t, testSettings(), 2)
	warm := harness.warm(7)
	cold := harness.scheduler.endpoints.byID[3-warm]
	harness.setQueueDelay(cold, 100*ms)
	for range 30 {
		harness.request(7, 0)
	}
	harness.answerQueries()
	if len(cold.inFlight) != 1 {
		t.Errorf("%d requests wait for the load at a worker half as fast, want 1", len(cold.inFlight))
	}
}
