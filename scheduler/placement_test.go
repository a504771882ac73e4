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
		h := newHarness(t, set, 30)
		w := h.makePopular(7)
		h.orders = nil
		r := h.request(7, 0)
		if h.workerOf(r) != w {
			t.Errorf("front end %d sent a request to worker %d while a replica was loaded at %d", index, h.workerOf(r), w)
		}
		for _, o := range h.orders {
			orderedAt[o.worker] = true
		}
		if rank := h.scheduler.preferredWorkers(h.scheduler.functions.byID[7])[0]; h.scheduler.functions.byID[7].replicaOn(rank) == nil {
			t.Errorf("front end %d has no replica ordered at its own place", index)
		}
	}
	if len(orderedAt) < 4 {
		t.Errorf("12 front ends of 200 order a function with a tenth of the work at %d workers of 30", len(orderedAt))
	}
}

func TestTargetReplicaCount_RareFunction_IsOne(t *testing.T) {
	h := newHarness(t, testSettings(), 30)
	for f := range FunctionID(100) {
		h.request(1000+f, 0)
	}
	h.request(7, 0)
	if n := h.scheduler.targetReplicaCount(h.scheduler.functions.byID[7]); n != 1 || len(h.orders) != 0 {
		t.Errorf("a function requested once in a hundred requests has a target of %d replicas and %d orders, want 1 and none", n, len(h.orders))
	}
}

func TestRendezvousOrder_ScaleIsCapacity_IsWeighted(t *testing.T) {
	countFirstPlaces := func(sized bool) int {
		set := testSettings()
		set.ScaleIsCapacity = sized
		h := newHarness(t, set, 0)
		var list []WorkerInfo
		for i := range 20 { // the first ten are three times as large
			list = append(list, WorkerInfo{ID: WorkerID(i + 1), Scale: 3 - 2*float64(i/10), Started: UnknownStart, State: Ready})
		}
		h.scheduler.WorkersChanged(h.now, list, true)
		n := 0
		for f := range FunctionID(400) {
			if h.scheduler.rendezvousOrder(&functionRecord{id: f}, 1)[0].ID <= 10 {
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

func TestPickColdWorker_WorkerWithoutObservations_IsNotPreferred(t *testing.T) {
	h := newHarness(t, testSettings(), 8)
	function := h.scheduler.trackFunction(7, 0)
	order := h.scheduler.rendezvousOrder(function, 8)
	for _, worker := range order[:6] {
		h.setQueueDelay(worker, time.Second)
	}
	h.scheduler.delay.median = h.scheduler.medianDelay()
	request := &requestRecord{class: &h.scheduler.settings.Classes[0], function: function, objectiveAt: infiniteDuration}
	if worker := h.scheduler.pickColdWorker(function, request, 0); worker != order[0] {
		t.Errorf("worker %d is to load, want the first rank %d, no busier than the median", worker.ID, order[0].ID)
	}
	h.setQueueDelay(order[0], 3*time.Second)
	if worker := h.scheduler.pickColdWorker(function, request, 0); worker != order[1] {
		t.Errorf("worker %d is to load, want the second rank %d, the first is busier than the median", worker.ID, order[1].ID)
	}
}
