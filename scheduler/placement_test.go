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
			t.Errorf("front end %d sent a request to worker %d, want %d, where a replica is loaded", index, h.workerOf(r), w)
		}
		for _, o := range h.orders {
			orderedAt[o.worker] = true
		}
		if rank := h.scheduler.preferredWorkers(h.scheduler.functions.byID[7])[0]; h.scheduler.functions.byID[7].replicaOn(rank) == nil {
			t.Errorf("front end %d ordered no load at its first preferred worker", index)
		}
	}
	if len(orderedAt) < 4 {
		t.Errorf("12 of 200 front ends ordered a function with a tenth of the work at %d of 30 workers, want at least 4", len(orderedAt))
	}
}

func TestTargetReplicaCount_RareFunction_IsOne(t *testing.T) {
	h := newHarness(t, testSettings(), 30)
	for f := range FunctionID(100) {
		h.request(1000+f, 0)
	}
	h.request(7, 0)
	if n := h.scheduler.targetReplicaCount(h.scheduler.functions.byID[7]); n != 1 || len(h.orders) != 0 {
		t.Errorf("a function with one in a hundred requests has a target of %d replicas and %d orders, want 1 and 0", n, len(h.orders))
	}
}

func TestRendezvousOrder_ScaleIsCapacity_IsWeighted(t *testing.T) {
	countFirst := func(scaleIsCapacity bool) int {
		set := testSettings()
		set.ScaleIsCapacity = scaleIsCapacity
		h := newHarness(t, set, 0)
		var list []WorkerInfo
		for i := range 20 { // the first ten workers are three times as large
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
	if n := countFirst(true); n < 270 || n > 330 {
		t.Errorf("ten workers with three quarters of the capacity come first for %d of 400 functions, want about 300", n)
	}
	if n := countFirst(false); n < 170 || n > 230 {
		t.Errorf("ten of twenty workers with unknown capacity come first for %d of 400 functions, want about 200", n)
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
		t.Errorf("worker %d picked, want %d, which ranks first and has the median delay", worker.ID, order[0].ID)
	}
	h.setQueueDelay(order[0], 3*time.Second)
	if worker := h.scheduler.pickColdWorker(function, request, 0); worker != order[1] {
		t.Errorf("worker %d picked, want %d, which ranks second; the first exceeds the median delay", worker.ID, order[1].ID)
	}
}
