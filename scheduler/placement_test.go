package scheduler

import (
	"testing"
	"time"
)

func TestPrewarm_PopularFunction_IsLoadedAtPreferredWorker(t *testing.T) {
	set := testSettings()
	orderedAt := map[WorkerID]bool{}
	for index := range 12 {
		set.FrontEndIndex, set.FrontEndCount = index, 200
		harness := newHarness(t, set, 30)
		w := harness.makePopular(7)
		harness.orders = nil
		r := harness.request(7, 0)
		if harness.workerOf(r) != w {
			t.Errorf("front end %d sent a request to worker %d, want %d, where a replica is loaded", index, harness.workerOf(r), w)
		}
		for _, o := range harness.orders {
			orderedAt[o.worker] = true
		}
		if preferred := harness.scheduler.preferredWorkers(harness.scheduler.functions.byID[7])[0]; harness.scheduler.functions.byID[7].replicaOn(preferred) == nil {
			t.Errorf("front end %d ordered no load at its first preferred worker", index)
		}
	}
	if len(orderedAt) < 4 {
		t.Errorf("12 of 200 front ends ordered a function with a tenth of the work at %d of 30 workers, want at least 4", len(orderedAt))
	}
}

func TestTargetReplicaCount_RareFunction_IsOne(t *testing.T) {
	harness := newHarness(t, testSettings(), 30)
	for f := range FunctionID(100) {
		harness.request(1000+f, 0)
	}
	harness.request(7, 0)
	if n := harness.scheduler.targetReplicaCount(harness.scheduler.functions.byID[7]); n != 1 || len(harness.orders) != 0 {
		t.Errorf("a function with one in a hundred requests has a target of %d replicas and %d orders, want 1 and 0", n, len(harness.orders))
	}
}

func TestRendezvousOrder_ScaleIsCapacity_IsWeighted(t *testing.T) {
	countFirst := func(scaleIsCapacity bool) int {
		set := testSettings()
		set.ScaleIsCapacity = scaleIsCapacity
		harness := newHarness(t, set, 0)
		var list []WorkerInfo
		for i := range 20 { // the first ten workers are three times as large
			list = append(list, WorkerInfo{ID: WorkerID(i + 1), Scale: 3 - 2*float64(i/10), Started: UnknownStart, State: Ready})
		}
		harness.scheduler.WorkersChanged(harness.now, list, true)
		n := 0
		for f := range FunctionID(400) {
			if harness.scheduler.rendezvousOrder(&functionRecord{id: f}, 1)[0].ID <= 10 {
				n++
			}
		}
		return n
	}
	if n := countFirst(true); n < 270 || n > 330 {
		t.Errorf("ten workers with three quarters of the capacity come first for %d of 400 functions, want about 300", n)
	}
	if n := countFirst(false); n < 170 || n > 230 {
		t.Errorf("ten of twenty workers with unknown capacity come first for %d of 400 functions, want about 200", n)
	}
}

func TestPickColdWorker_WorkerWithoutObservations_IsNotPreferred(t *testing.T) {
	harness := newHarness(t, testSettings(), 8)
	function := harness.scheduler.trackFunction(7, 0)
	order := harness.scheduler.rendezvousOrder(function, 8)
	for _, worker := range order[:6] {
		harness.setQueueDelay(worker, time.Second)
	}
	harness.scheduler.delay.median = harness.scheduler.medianDelay()
	request := &requestRecord{class: &harness.scheduler.settings.Classes[0], function: function, objectiveAt: infiniteDuration}
	if worker := harness.scheduler.pickColdWorker(function, request, 0); worker != order[0] {
		t.Errorf("worker %d picked, want %d, which ranks first and has the median delay", worker.ID, order[0].ID)
	}
	harness.setQueueDelay(order[0], 3*time.Second)
	if worker := harness.scheduler.pickColdWorker(function, request, 0); worker != order[1] {
		t.Errorf("worker %d picked, want %d, which ranks second; the first exceeds the median delay", worker.ID, order[1].ID)
	}
}
