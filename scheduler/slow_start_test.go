package scheduler

import (
	"slices"
	"testing"
	"time"

	"havencart/internal/estimate"
)

func TestSlowStart_JustStartedWorker_LimitsRequestsOfAllFrontEnds(t *testing.T) {
	for frontEnds, limit := range map[int]int{1: 4 * 400, 4: 400, 400: 400 / 3} {
		sent := 0
		for seed := range uint64(400) { // each seed is one of 400 front ends
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
		if sent == 0 || sent > limit {
			t.Errorf("400 front ends, each configured for %[2]d, sent %[1]d requests to a worker that just started; want 1 to %[3]d",
				sent, frontEnds, limit)
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
		t.Errorf("a cold worker may be sent %d requests at scale 0.5 and %d at scale 2", small, large)
	}
}

// TestSlowStart_HundredsOfFrontEnds_DoNotOverloadColdWorker verifies that many front ends together do not overload a
// worker that just started. Each has a request for it now and then, four times as often as for an average worker, as
// after half of the workers have failed.
func TestSlowStart_HundredsOfFrontEnds_DoNotOverloadColdWorker(t *testing.T) {
	// Each worker serves workerRate requests per second of all front ends, and demandFactor times that are requested
	// of the cold worker.
	const frontEnds, workers, workerRate, demandFactor = 500, 100, 3.0, 4
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
			h.scheduler.demand.completions = estimate.Decayed{Value: workerRate * workers / frontEnds * completionMemory.Seconds(), ReadAt: h.now}
			draw := estimate.HashPair(uint64(i), uint64(n)+1000)
			if estimate.UnitInterval(draw) < demandFactor*workerRate*set.OverloadWindow.Seconds()/frontEnds && h.scheduler.slowStartAllows(worker, request) {
				worker.sendTimes = append(worker.sendTimes, h.now)
				sent++
			}
		}
	}
	part := set.SlowStartFraction + (1-set.SlowStartFraction)/2
	if mean, limit := float64(sent)/float64(windows), set.OverloadFactor*part*workerRate*set.OverloadWindow.Seconds(); mean > limit {
		t.Errorf("%.1f requests per window, want at most %.1f", mean, limit)
	}
}

// TestSlowStart_OtherColdWorkers_CountByCapacityFraction verifies that the low throughput of other workers in slow
// start does not count as what a warm worker can serve.
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
		t.Errorf("a cold worker may be sent %d requests among eight other cold workers, %d alone", among, alone)
	}
}

// TestSlowStart_ServingWorkersLeave_BudgetDoesNotGrow guards against a budget that grows when workers are ejected,
// drain or are removed: the remaining workers cannot take over all that those workers recently completed.
func TestSlowStart_ServingWorkersLeave_BudgetDoesNotGrow(t *testing.T) {
	const cold, others = 10, 8
	departures := map[string]func(h *harness, worker *workerRecord){
		"stay":    func(*harness, *workerRecord) {},
		"ejected": func(h *harness, worker *workerRecord) { h.scheduler.connectionLost(worker) },
		"draining": func(h *harness, worker *workerRecord) {
			h.changeWorker(WorkerInfo{ID: worker.ID, Started: UnknownStart, State: Draining})
		},
		"removed": func(h *harness, worker *workerRecord) {
			h.changeWorker(WorkerInfo{ID: worker.ID, Started: UnknownStart, State: Removed})
		},
		"ejected long ago": func(h *harness, worker *workerRecord) {
			worker.healthByClass[0].lastResponseAt = 0
			h.scheduler.connectionLost(worker)
		},
	}
	sent := map[string]int{}
	for name, depart := range departures {
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
				depart(h, worker)
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
			t.Errorf("%s: a cold worker may be sent %d requests, want at most %d as when all stay", name, sent[name], sent["stay"])
		}
	}
	if sent["ejected long ago"] <= sent["stay"] {
		t.Errorf("a cold worker may be sent %d requests when the others stopped serving long ago, want more than the %d when all serve", sent["ejected long ago"], sent["stay"])
	}
}

// TestSlowStart_AttemptNotSent_LeavesBudget verifies that an attempt that was not sent does not use the budget of a
// worker in slow start.
func TestSlowStart_AttemptNotSent_LeavesBudget(t *testing.T) {
	worker := &workerRecord{sendTimes: []time.Duration{time.Second, 2 * time.Second, 2 * time.Second}}
	worker.removeSend(2 * time.Second)
	worker.removeSend(time.Minute)
	if want := []time.Duration{time.Second, 2 * time.Second}; !slices.Equal(worker.sendTimes, want) {
		t.Errorf("send times %v, want %v", worker.sendTimes, want)
	}
}
