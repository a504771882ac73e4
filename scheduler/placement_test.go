package scheduler

import (
	"testing"
	"time"
)

func TestPrewarm_PopularFunction_IsOrderedAtOwnPlace(t *testing.T) {
	set := testSettings()
	orderedAt := map[WorkerID]bool{}
	for index := range 12 {
		set.FrontEndIndex, set.FrontEndCount = index, 200
		script := newHarness(t, set, 30)
		w := script.makePopular(7)
		script.orders = nil
		r := script.request(7, 0)
		if script.workerOf(r) != w {
			t.Errorf("front end %d sent a request to worker %d while a replica was loaded at %d", index, script.workerOf(r), w)
		}
		for _, o := range script.orders {
			orderedAt[o.worker] = true
		}
		if rank := script.scheduler.preferredWorkers(script.scheduler.functions.byID[7])[0]; script.scheduler.functions.byID[7].replicaOn(rank) == nil {
			t.Errorf("front end %d has no replica ordered at its own place", index)
		}
	}
	if len(orderedAt) < 4 {
		t.Errorf("12 front ends of 200 order a function with a tenth of the work at %d workers of 30", len(orderedAt))
	}
}

func TestTargetReplicaCount_RareFunction_IsOne(t *testing.T) {
	script := newHarness(t, testSettings(), 30)
	for f := range FunctionID(100) {
		script.request(1000+f, 0)
	}
	script.request(7, 0)
	if n := script.scheduler.targetReplicaCount(script.scheduler.functions.byID[7]); n != 1 || len(script.orders) != 0 {
		t.Errorf("a function requested once in a hundred requests has a target of %d replicas and %d orders, want 1 and none", n, len(script.orders))
	}
}

func TestRendezvousOrder_ScaleIsCapacity_IsWeighted(t *testing.T) {
	countFirstPlaces := func(sized bool) int {
		set := testSettings()
		set.ScaleIsCapacity = sized
		script := newHarness(t, set, 0)
		var list []WorkerInfo
		for i := range 20 { // the first ten are three times as large
			list = append(list, WorkerInfo{ID: WorkerID(i + 1), Scale: 3 - 2*float64(i/10), Started: UnknownStart, State: Ready})
		}
		script.scheduler.WorkersChanged(script.now, list, true)
		n := 0
		for f := range FunctionID(400) {
			if script.scheduler.rendezvousOrder(&functionRecord{id: f}, 1)[0].ID <= 10 {
				n++
			}
		}
		return n
	}
	if n := countFirstPlaces(true); n < 270 || n > 330 {
		t.Errorf("ten workers with three quarters of all size come first for %d of 400 functions, want about 300", n)
	}
	if n := countFirstPlaces(false); n < 170 || n > 230 {
		t.Errorf("ten of twenty workers come first for %d of 400 functions where sizes are not advertised, want about 200", n)
	}
}

func TestPickColdWorker_WorkerWithoutResponses_DoesNotLookIdle(t *testing.T) {
	script := newHarness(t, testSettings(), 8)
	function := script.scheduler.trackFunction(7, 0)
	order := script.scheduler.rendezvousOrder(function, 8)
	for _, worker := range order[:6] {
		script.setQueueDelay(worker, time.Second)
	}
	script.scheduler.delay.median = script.scheduler.medianDelay()
	request := &requestRecord{class: &script.scheduler.settings.Classes[0], function: function, objectiveAt: never}
	if worker := script.scheduler.pickColdWorker(function, request, 0); worker != order[0] {
		t.Errorf("worker %d is to load, want the first rank %d, no busier than the median", worker.ID, order[0].ID)
	}
	script.setQueueDelay(order[0], 3*time.Second)
	if worker := script.scheduler.pickColdWorker(function, request, 0); worker != order[1] {
		t.Errorf("worker %d is to load, want the second rank %d, the first is busier than the median", worker.ID, order[1].ID)
	}
}
