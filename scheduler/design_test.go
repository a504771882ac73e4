package scheduler

import (
	"testing"
	"time"

	"havencart/internal/estimate"
)

func TestTiesRotateOverWarmWorkers(t *testing.T) {
	h := start(t, settings(), 3)
	r := h.request(7, 0)
	h.answerQueries(1, 2, 3)
	h.endAttempt(r, OK, WarmStart)
	seen := map[WorkerID]int{}
	for range 9 {
		r := h.request(7, 0)
		seen[h.workerOf(r)]++
		h.now += 10 * ms
		h.endAttempt(r, OK, WarmStart)
	}
	if len(seen) != 3 {
		t.Errorf("idle warm workers alike in all got %v of nine calls", seen)
	}
}

func TestFewestRequestsOutIsPicked(t *testing.T) {
	h := start(t, settings(), 2)
	first := h.request(7, 0)
	h.answerQueries(1, 2)
	if second := h.request(7, 0); h.workerOf(second) == h.workerOf(first) {
		t.Error("the second call went to the worker that has the first, another warm one has none")
	}
}

func TestLoadTimeIsLearnedFromTheFirstAnswer(t *testing.T) {
	h := start(t, settings(), 2)
	h.warm(7) // 600 ms for the first answer, 100 ms a run
	function := h.scheduler.functions.byID[7]
	if load := h.scheduler.expectedLoadTime(function); load < 400*ms || load > 600*ms {
		t.Errorf("a load is taken for %v, want 600 ms less a run", load)
	}
	if run := h.scheduler.expectedRunTime(function); run < 90*ms || run > 110*ms {
		t.Errorf("a run is taken for %v, want 100 ms", run)
	}
}

func TestLoadUnderWayCountsInTheDrain(t *testing.T) {
	h := start(t, settings(), 4)
	h.warm(7)
	function := h.scheduler.functions.byID[7]
	before := h.scheduler.timeToDrain(function, 40, ownBacklog)
	worker := h.scheduler.pickColdWorker(function, &requestRecord{class: &h.scheduler.settings.Classes[0], function: function, objectiveAt: never}, 0)
	function.replicas = append(function.replicas, &replicaBelief{worker: worker, function: function, loading: true, loadStartedAt: h.now})
	if during := h.scheduler.timeToDrain(function, 40, ownBacklog); during >= before || during <= h.scheduler.expectedLoadTime(function) {
		t.Errorf("40 requests take %v with a load under way, %v without", during, before)
	}
}

func TestHeldFunctionProbesAWorkerNotReachedForLong(t *testing.T) {
	for _, idle := range []time.Duration{idleProbeAfter / 2, idleProbeAfter} {
		h := start(t, settings(), 2)
		w := h.warm(7)
		for range int(idle / time.Second) { // the belief in w stays, the other worker is not reached
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
			t.Errorf("%d calls sent as probes after %v, want %d", probes, idle, want)
		}
	}
}

func TestLentWorkerTakesOneIfSlower(t *testing.T) {
	h := start(t, settings(), 2)
	warm := h.warm(7)
	cold := h.scheduler.endpoints.byID[3-warm]
	cold.queueDelay = estimate.NewDecayed(float64(100*ms), h.now)
	for range 30 {
		h.request(7, 0)
	}
	h.answerQueries()
	if len(cold.inFlight) != 1 {
		t.Errorf("%d calls wait for the load at a worker half as fast, want 1", len(cold.inFlight))
	}
}
