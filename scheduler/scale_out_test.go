package scheduler

import (
	"testing"
	"time"
)

func TestScaleOut_DeepQueue_StartsLoadForFewRequests(t *testing.T) {
	script := newHarness(t, testSettings(), 4)
	w := script.warm(7)
	for range 20 {
		script.request(7, 0)
	}
	script.answerQueries() // no replica is loaded elsewhere
	waitingForLoad := map[WorkerID]int{}
	for r, at := range script.sentTo {
		if at[0] != w && script.scheduler.requests[r] != nil {
			waitingForLoad[at[0]]++
		}
	}
	if len(waitingForLoad) == 0 {
		t.Error("20 requests at 100 ms at concurrency 2 were all kept for a worker that needs a second for them")
	}
	for w, n := range waitingForLoad {
		if n > 2 {
			t.Errorf("%d requests wait for the load at worker %d, 2 at most", n, w)
		}
	}
}

func TestStartLoad_WorkersAnswerNotLoaded_OrdersLoadFirst(t *testing.T) {
	set := testSettings()
	set.AnswersNotLoaded = true
	script := newHarness(t, set, 4)
	r := script.request(7, 0)
	script.answerQueries()
	script.answerQueries()
	script.advance(100 * ms)
	if len(script.orders) != 1 || len(script.sentTo[r]) != 0 {
		t.Fatalf("%d orders, request sent to %v before the replica is loaded", len(script.orders), script.sentTo[r])
	}
	script.now += 400 * ms
	script.scheduler.LoadEnded(script.now, LoadResult{Worker: script.orders[0].worker, Function: 7, Status: OK, Latency: 400 * ms, Replicas: 1})
	if script.workerOf(r) != script.orders[0].worker {
		t.Error("the request was not sent once its load order succeeded")
	}
}

// TestStartLoad_FirstRequestFails_LeavesNoLoadInFlight holds that requests for functions that do not exist, and requests
// that were never sent, are no loads in flight: so many of them kept back the loads of all others.
func TestStartLoad_FirstRequestFails_LeavesNoLoadInFlight(t *testing.T) {
	for _, end := range []Status{Error, NotSent} {
		set := testSettings()
		set.LoadOrdersAllowed = false
		script := newHarness(t, set, 4)
		for i := range 3 * maxLoadsInFlight {
			r := script.request(FunctionID(100+i), 2)
			if script.workerOf(r) == 0 {
				t.Fatalf("the first request of function %d is not sent after %d that ended with %d", 100+i, i, end)
			}
			script.endAttempt(r, end, ColdStartUnknown)
			script.scheduler.ClientDisconnected(script.now, r)
			script.advance(tickInterval)
		}
		for _, worker := range script.scheduler.endpoints.list {
			if worker.healthByClass[2].ejected {
				t.Errorf("worker %d is ejected for functions that never ran anywhere (%d)", worker.ID, end)
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
		{"quick", 100 * ms, 0, false},
		{"late behind others", 2500 * ms, 20, true},
		{"late at a slow worker", 2500 * ms, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			script := newHarness(t, testSettings(), 4)
			w := script.warm(7)
			r := script.request(7, 0)
			script.advance(test.latency)
			script.endAttemptWithQueueDepth(r, OK, test.queueDepth)
			script.advance(time.Second)
			r = script.request(7, 0)
			script.answerQueries() // no replica is loaded elsewhere
			if isElsewhere := script.workerOf(r) != w; isElsewhere != test.loadsElsewhere {
				t.Errorf("after an answer in %v with %d others there the next request loads elsewhere: %v", test.latency, test.queueDepth, isElsewhere)
			}
		})
	}
}

func TestLoadCost_ReplicasFoundGone_Rises(t *testing.T) {
	script := newHarness(t, testSettings(), 4)
	script.warm(7)
	function := script.scheduler.functions.byID[7]
	before := script.scheduler.loadCost(function)
	for range 3 {
		r := script.request(7, 0)
		script.advance(700 * ms)
		script.endAttempt(r, OK, ColdStartTriggered) // the replica that we counted on was gone
	}
	if after := script.scheduler.loadCost(function); after < before+script.scheduler.expectedLoadTime(function)/2 {
		t.Errorf("a load costs %v after replicas were found gone, %v before", after, before)
	}
}

func TestExpectedLoadTime_FirstResponse_IsLearned(t *testing.T) {
	script := newHarness(t, testSettings(), 2)
	script.warm(7) // 600 ms for the first answer, 100 ms a run
	function := script.scheduler.functions.byID[7]
	if load := script.scheduler.expectedLoadTime(function); load < 400*ms || load > 600*ms {
		t.Errorf("a load is taken for %v, want 600 ms less a run", load)
	}
	if run := script.scheduler.expectedRunTime(function); run < 90*ms || run > 110*ms {
		t.Errorf("a run is taken for %v, want 100 ms", run)
	}
}

func TestTimeToDrain_LoadingReplica_Counts(t *testing.T) {
	script := newHarness(t, testSettings(), 4)
	script.warm(7)
	function := script.scheduler.functions.byID[7]
	before := script.scheduler.timeToDrain(function, 40, ownBacklog)
	worker := script.scheduler.pickColdWorker(function, &requestRecord{class: &script.scheduler.settings.Classes[0], function: function, objectiveAt: never}, 0)
	function.replicas = append(function.replicas, &replicaBelief{worker: worker, function: function, loading: true, loadStartedAt: script.now})
	if during := script.scheduler.timeToDrain(function, 40, ownBacklog); during >= before || during <= script.scheduler.expectedLoadTime(function) {
		t.Errorf("40 requests take %v with a load in flight, %v without", during, before)
	}
}

func TestScaleOut_WorkerIdleForLong_IsProbed(t *testing.T) {
	for _, idle := range []time.Duration{idleProbeAfter / 2, idleProbeAfter} {
		script := newHarness(t, testSettings(), 2)
		w := script.warm(7)
		for range int(idle / time.Second) { // the replica at w stays believed, the other worker is not contacted
			r := script.request(7, 0)
			script.now += 100 * ms
			script.endAttempt(r, OK, WarmStart)
			script.now += 900 * ms
		}
		for range 2 + 1 {
			script.request(7, 0)
		}
		probes := 0
		for _, at := range script.sentTo {
			if at[len(at)-1] != w {
				probes++
			}
		}
		if want := int(idle / idleProbeAfter); probes != want {
			t.Errorf("%d requests sent as probes after %v, want %d", probes, idle, want)
		}
	}
}

func TestStartLoad_SlowerWorker_TakesOneRequest(t *testing.T) {
	script := newHarness(t, testSettings(), 2)
	warm := script.warm(7)
	cold := script.scheduler.endpoints.byID[3-warm]
	script.setQueueDelay(cold, 100*ms)
	for range 30 {
		script.request(7, 0)
	}
	script.answerQueries()
	if len(cold.inFlight) != 1 {
		t.Errorf("%d requests wait for the load at a worker half as fast, want 1", len(cold.inFlight))
	}
}
