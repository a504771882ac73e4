package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// These tests hold that what is kept as workers change equals what a look at all of them tells.

// verifyAggregates compares the counts and orders of a Scheduler with a scan of its workers, after an update of what
// depends on time alone.
func verifyAggregates(t *testing.T, s *Scheduler) {
	t.Helper()
	s.updateCounts()
	s.busyWorkers()
	ready, busy, delays := 0, 0, []float64{}
	for _, worker := range s.endpoints.list {
		if worker.State == Ready {
			ready++
			delays = append(delays, s.delay.read(worker, s.now))
		}
		if len(worker.inFlight) > 0 {
			busy++
		}
		if s.endpoints.byID[worker.ID] != worker {
			t.Errorf("worker %d is listed and not known by its identifier", worker.ID)
		}
	}
	if counted := s.endpoints.counts.ready; counted != ready {
		t.Errorf("%d workers are counted as ready, %d are", counted, ready)
	}
	if len(s.endpoints.busy) != busy {
		t.Errorf("%d workers are noted as busy, %d are", len(s.endpoints.busy), busy)
	}
	if !slices.IsSortedFunc(s.endpoints.list, compareWorkerIDs) {
		t.Error("the workers are not sorted")
	}
	verifyMedian(t, s, delays)
	for class := range s.settings.Classes {
		verifyClass(t, s, class)
	}
	for _, function := range s.functions.active {
		verifyRendezvousOrder(t, s, function)
	}
}

func verifyMedian(t *testing.T, s *Scheduler, delays []float64) {
	t.Helper()
	want := 0.0
	if len(delays) > 0 {
		slices.Sort(delays)
		want = delays[len(delays)/2]
	}
	if got := float64(s.medianDelay()); math.Abs(got-want) > 1+1e-9*want {
		t.Errorf("the median queue delay is %v, by a scan %v", time.Duration(got), time.Duration(want))
	}
	if !slices.IsSortedFunc(s.delay.ordered, compareDelays) {
		t.Error("the workers with a queue delay are not sorted")
	}
}

func verifyClass(t *testing.T, s *Scheduler, class int) {
	t.Helper()
	healthy, serving, sampled := 0, 0.0, 0
	for _, worker := range s.endpoints.list {
		isHealthy := worker.State == Ready && !worker.isEjected(class)
		if isHealthy {
			healthy++
		}
		if isHealthy || worker.respondedSince(s.now-completionMemory) {
			serving += s.capacityFraction(worker)
		}
		if worker.runTimeByClass[class].Samples >= unloadedMinSamples {
			sampled++
		}
	}
	if counted := s.endpoints.counts.healthy[class]; counted != healthy {
		t.Errorf("%d workers are counted as healthy for class %d, %d are", counted, class, healthy)
	}
	if counted := s.servingCapacity(class); math.Abs(counted-serving) > 1e-3 {
		t.Errorf("the serving capacity for class %d is %.4f, by a scan %.4f", class, counted, serving)
	}
	if noted := len(s.latency.sampledWorkers[class]); noted != sampled {
		t.Errorf("%d workers are noted with run times of class %d, %d have them", noted, class, sampled)
	}
}

// verifyRendezvousOrder compares the first workers of a function with those of a sort of all.
func verifyRendezvousOrder(t *testing.T, s *Scheduler, function *functionRecord) {
	t.Helper()
	all := s.inRendezvousOrder(function, s.endpoints.list)
	count := min(3, len(all))
	if order := s.rendezvousOrder(function, count); !slices.Equal(order, all[:len(order)]) {
		t.Errorf("the first %d workers of function %d differ from those of a sort", len(order), function.id)
	}
}

func TestAggregates_RandomEvents_EqualScan(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			checker := newInvariantChecker(t, seed, invariantSettings(seed))
			for i := range 20000 {
				checker.step()
				if i%50 == 0 {
					verifyAggregates(t, checker.scheduler)
				}
				if t.Failed() {
					t.Fatalf("after %d steps", i)
				}
			}
		})
	}
}

// TestAggregates_WorkerChurn_EqualScan plays changes of a large list, whole and in part.
func TestAggregates_WorkerChurn_EqualScan(t *testing.T) {
	const workers, rounds = 400, 60
	rng := rand.New(rand.NewPCG(1, 5))
	settings := testSettings()
	settings.ScaleIsCapacity = true
	h := newHarness(t, settings, 0)
	infos := map[WorkerID]WorkerInfo{}
	for round := range rounds {
		var changed []WorkerInfo
		for range rng.IntN(workers / 4) {
			id := WorkerID(1 + rng.IntN(workers))
			infos[id] = WorkerInfo{
				ID: id, Scale: 0.1 + rng.Float64(), Cell: int(id) % 50, State: WorkerState(1 + rng.IntN(3)),
				Started: h.now - time.Duration(rng.IntN(20))*time.Second,
			}
			changed = append(changed, infos[id])
		}
		if whole := round%7 == 0; whole {
			changed = nil
			for id := range WorkerID(workers) {
				if info, known := infos[id]; known && rng.IntN(9) > 0 {
					changed = append(changed, info)
				}
			}
			h.scheduler.WorkersChanged(h.now, changed, true)
		} else {
			h.scheduler.WorkersChanged(h.now, changed, false)
		}
		for function := range FunctionID(6) {
			h.request(function, rng.IntN(3))
		}
		h.answerQueries()
		h.advance(time.Duration(rng.IntN(1000)) * ms)
		for id, request := range h.scheduler.requests {
			if request.replica != nil {
				h.endAttempt(id, []Status{OK, OK, Error, Reset, Overloaded}[id%5], WarmStart)
			}
		}
		verifyAggregates(t, h.scheduler)
	}
}

// TestRendezvousOrder_OneWorkerLess_KeepsOrderOfOthers holds that all front ends rank alike whatever they saw before, and
// that the loss of a worker moves no other function's first place.
func TestRendezvousOrder_OneWorkerLess_KeepsOrderOfOthers(t *testing.T) {
	const workers, functions = 500, 300
	before, after := newHarness(t, testSettings(), workers), newHarness(t, testSettings(), workers)
	lost := WorkerID(7)
	after.changeWorker(WorkerInfo{ID: lost, State: Removed})
	after.advance(testSettings().SlowStartDuration + time.Second)
	after.changeWorker(WorkerInfo{ID: lost, State: Removed}) // it is forgotten with the next change
	moved := 0
	for id := range FunctionID(functions) {
		first := before.scheduler.rendezvousOrder(&functionRecord{id: id}, 2)
		other := after.scheduler.rendezvousOrder(&functionRecord{id: id}, 1)
		if first[0].ID != other[0].ID {
			moved++
			if first[0].ID != lost && other[0].ID != lost {
				t.Errorf("function %d moved from worker %d to %d as worker %d left", id, first[0].ID, other[0].ID, lost)
			}
		}
	}
	if moved > functions/50 {
		t.Errorf("%d of %d functions moved as one of %d workers left", moved, functions, workers)
	}
}

// TestRendezvousOrder_ExtremeCapacities_RanksAll holds that the search for the first places ends whatever the weights are.
func TestRendezvousOrder_ExtremeCapacities_RanksAll(t *testing.T) {
	const workers = 200
	settings := testSettings()
	settings.ScaleIsCapacity = true
	h := newHarness(t, settings, 0)
	var list []WorkerInfo
	for i := range workers {
		scale := math.SmallestNonzeroFloat64
		if i < 3 {
			scale = math.MaxFloat64 / workers
		}
		list = append(list, WorkerInfo{ID: WorkerID(i + 1), Scale: scale, Started: UnknownStart, State: Ready})
	}
	h.scheduler.WorkersChanged(h.now, list, true)
	function := &functionRecord{id: 7}
	for _, count := range []int{1, 10, workers} {
		if order := h.scheduler.rendezvousOrder(function, count); len(order) < count {
			t.Errorf("%d workers are ranked, want %d", len(order), count)
		}
	}
	for _, worker := range h.scheduler.rendezvousOrder(function, workers)[:3] {
		if worker.ID > 3 {
			t.Errorf("worker %d of next to no capacity is one of the first three", worker.ID)
		}
	}
}

// BenchmarkTick is a tick of a Scheduler whose workers are idle but for a few.
func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{120, 1920, 3200} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			h := newHarness(&testing.T{}, testSettings(), workers)
			for _, worker := range h.scheduler.endpoints.list[:100] {
				h.setQueueDelay(worker, time.Second)
			}
			b.ReportAllocs()
			for b.Loop() {
				h.now += tickInterval
				h.scheduler.TimerFired(h.now, tickTimer)
			}
		})
	}
}

// BenchmarkTopRanked is the making of a function's first places after a change of the list.
func BenchmarkTopRanked(b *testing.B) {
	for _, workers := range []int{120, 1920, 3200} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			h := newHarness(&testing.T{}, testSettings(), workers)
			function := &functionRecord{id: 7}
			b.ReportAllocs()
			for b.Loop() {
				h.scheduler.topRanked(function, rendezvousLength(1, workers))
			}
		})
	}
}
