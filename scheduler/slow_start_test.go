package scheduler

import (
	"slices"
	"testing"
	"time"

	"havencart/internal/estimate"
)

func TestSlowStart_JustStartedWorker_LimitsRequestsOfAllFrontEnds(t *testing.T) {
	for frontEnds, most := range map[int]int{1: 4 * 400, 4: 400, 400: 400 / 3} {
		sent := 0
		for seed := range uint64(400) { // each is one of as many front ends
			set := testSettings()
			set.Seed, set.FrontEndCount = seed, frontEnds
			h := newHarness(t, set, 1)
			h.changeWorker(WorkerInfo{ID: 1, Started: h.now, State: Ready})
			for f := range FunctionID(6) {
				h.request(f, 0)
				h.answerQueries()
				h.answerQueries()
			}
			h.advance(time.Second)
			sent += h.count("send")
		}
		if sent == 0 || sent > most {
			t.Errorf("%d requests of 400 front ends to a worker that has just started, each configured for %d; want some, %d at most",
				sent, frontEnds, most)
		}
	}
}

func TestSlowStart_ScaleIsCapacity_BudgetFollowsScale(t *testing.T) {
	countRequests := func(scale float64) int {
		set := testSettings()
		set.ScaleIsCapacity, set.FrontEndCount = true, 1
		h := newHarness(t, set, 0)
		list := []WorkerInfo{{ID: 1, Scale: scale, Started: h.now, State: Ready}}
		for i := range 4 {
			list = append(list, WorkerInfo{ID: WorkerID(i + 2), Scale: 1, Started: UnknownStart, State: Ready})
		}
		h.scheduler.WorkersChanged(h.now, list, true)
		return h.countColdRequests(1)
	}
	if small, large := countRequests(0.5), countRequests(2); float64(large) < 2.5*float64(small) {
		t.Errorf("a cold worker gets %d requests at half the size and %d at twice the size", small, large)
	}
}

// TestSlowStart_HundredsOfFrontEnds_DoNotOverloadColdWorker lets each have a request now and
// then for a worker that just started, four times as often as for the mean worker, as after half of them went down.
func TestSlowStart_HundredsOfFrontEnds_DoNotOverloadColdWorker(t *testing.T) {
	const frontEnds, workers, each, wanted = 500, 100, 3.0, 4 // each worker serves so many requests a second of all front ends
	set := testSettings()
	set.FrontEndCount, set.OverloadWindow = frontEnds, 2*time.Second
	sent, windows := 0, 40
	for i := range frontEnds {
		set.Seed = uint64(i)
		h := newHarness(t, set, workers)
		h.changeWorker(WorkerInfo{ID: 1, Scale: 1, Started: h.now, State: Ready})
		h.now += set.SlowStartDuration / 2
		worker, request := h.scheduler.endpoints.byID[1], &requestRecord{function: h.scheduler.trackFunction(7, 0)}
		for n := range windows {
			h.now += set.OverloadWindow
			h.scheduler.now, worker.Started = h.now, h.now-set.SlowStartDuration/2-time.Duration(n)
			h.scheduler.demand.completions = estimate.Decayed{Value: each * workers / frontEnds * completionMemory.Seconds(), ReadAt: h.now}
			draw := estimate.Mix(uint64(i), uint64(n)+1000)
			if estimate.UnitInterval(draw) < wanted*each*set.OverloadWindow.Seconds()/frontEnds && h.scheduler.slowStartAllows(worker, request) {
				worker.sendTimes = append(worker.sendTimes, h.now)
				sent++
			}
		}
	}
	part := set.SlowStartFraction + (1-set.SlowStartFraction)/2
	if mean, most := float64(sent)/float64(windows), set.OverloadFactor*part*each*set.OverloadWindow.Seconds(); mean > most {
		t.Errorf("%.1f requests in a window, %.1f overload it", mean, most)
	}
}

// TestSlowStart_OtherColdWorkers_CountByCapacityFraction holds that the low throughput of
// others that just started says nothing of what a warm worker can serve.
func TestSlowStart_OtherColdWorkers_CountByCapacityFraction(t *testing.T) {
	countRequests := func(others int) int {
		set := testSettings()
		set.FrontEndCount = 1
		h := newHarness(t, set, 4)
		for i := range others + 1 {
			h.changeWorker(WorkerInfo{ID: WorkerID(10 + i), Scale: 1, Started: h.now, State: Ready})
		}
		return h.countColdRequests(10)
	}
	if alone, among := countRequests(0), countRequests(8); float64(among) < 0.6*float64(alone) {
		t.Errorf("a cold worker gets %d requests among eight others that are cold, %d alone", among, alone)
	}
}

// TestSlowStart_ServingWorkersLeave_BudgetDoesNotGrow guards against a budget that grows as workers are ejected, drain or
// are removed: what they completed lately is not what the others can take.
func TestSlowStart_ServingWorkersLeave_BudgetDoesNotGrow(t *testing.T) {
	const cold, others = 10, 8
	leave := map[string]func(h *harness, worker *workerRecord){
		"stay":    func(*harness, *workerRecord) {},
		"ejected": func(h *harness, worker *workerRecord) { h.scheduler.connectionLost(worker) },
		"draining": func(h *harness, worker *workerRecord) {
			h.changeWorker(WorkerInfo{ID: worker.ID, Started: UnknownStart, State: Draining})
		},
		"removed": func(h *harness, worker *workerRecord) {
			h.changeWorker(WorkerInfo{ID: worker.ID, Started: UnknownStart, State: Removed})
		},
		"long gone": func(h *harness, worker *workerRecord) {
			worker.healthByClass[0].lastResponseAt = 0
			h.scheduler.connectionLost(worker)
		},
	}
	sent := map[string]int{}
	for name, leaves := range leave {
		set := testSettings()
		set.FrontEndCount = 1
		h := newHarness(t, set, others)
		h.changeWorker(WorkerInfo{ID: cold, Scale: 1, Started: h.now, State: Ready})
		s := h.scheduler
		s.demand.completions = estimate.Decayed{Value: 20 * completionMemory.Seconds(), ReadAt: s.now}
		for id := range WorkerID(others) {
			worker := s.endpoints.byID[id+1]
			worker.healthByClass[0].lastResponseAt = s.now
			if id > 0 {
				leaves(h, worker)
			}
		}
		worker, request := s.endpoints.byID[cold], &requestRecord{function: s.trackFunction(7, 0)}
		for s.slowStartAllows(worker, request) {
			worker.sendTimes = append(worker.sendTimes, s.now)
		}
		sent[name] = len(worker.sendTimes)
	}
	for _, name := range []string{"ejected", "draining", "removed"} {
		if sent[name] > sent["stay"] {
			t.Errorf("%s: a cold worker gets %d requests, %d where all stay", name, sent[name], sent["stay"])
		}
	}
	if sent["long gone"] <= sent["stay"] {
		t.Errorf("a cold worker gets %d requests where the others are long gone, %d where all serve", sent["long gone"], sent["stay"])
	}
}

// What was never sent takes nothing from the budget of a worker in slow start.
func TestSlowStart_AttemptNotSent_LeavesBudget(t *testing.T) {
	worker := &workerRecord{sendTimes: []time.Duration{time.Second, 2 * time.Second, 2 * time.Second}}
	worker.removeSend(2 * time.Second)
	worker.removeSend(time.Minute)
	if want := []time.Duration{time.Second, 2 * time.Second}; !slices.Equal(worker.sendTimes, want) {
		t.Errorf("sent at %v, want %v", worker.sendTimes, want)
	}
}
