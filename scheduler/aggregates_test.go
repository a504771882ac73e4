package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// These tests compare the incrementally updated counts and orders with a scan of all workers.

// verifyAggregates compares the counts and orders of a Scheduler with a scan of its workers, after updating those
// that depend on the passage of time.
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
			t.Errorf("worker %d is in list but not in byID", worker.ID)
		}
	}
	if counted := s.endpoints.counts.ready; counted != ready {
		t.Errorf("%d workers counted as ready, want %d", counted, ready)
	}
	if len(s.endpoints.busy) != busy {
		t.Errorf("%d workers in the busy list, want %d", len(s.endpoints.busy), busy)
	}
	if !slices.IsSortedFunc(s.endpoints.list, compareWorkerIDs) {
		t.Error("the workers are not sorted by identifier")
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
		t.Errorf("the median queue delay is %v, a scan finds %v", time.Duration(got), time.Duration(want))
	}
	if !slices.IsSortedFunc(s.delay.ordered, compareDelays) {
		t.Error("the workers with a queue delay are not sorted by delay")
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
		t.Errorf("%d workers counted as healthy for class %d, want %d", counted, class, healthy)
	}
	if counted := s.servingCapacity(class); math.Abs(counted-serving) > 1e-3 {
		t.Errorf("the serving capacity for class %d is %.4f, a scan finds %.4f", class, counted, serving)
	}
	if counted := len(s.latency.sampledWorkers[class]); counted != sampled {
		t.Errorf("%d workers in sampledWorkers of class %d, want %d", counted, class, sampled)
	}
}

// verifyRendezvousOrder compares the first workers in the rendezvous order of a function with a sort of all workers.
func verifyRendezvousOrder(t *testing.T, s *Scheduler, function *functionRecord) {
	t.Helper()
	all := s.inRendezvousOrder(function, s.endpoints.list)
	count := min(3, len(all))
	if order := s.rendezvousOrder(function, count); !slices.Equal(order, all[:len(order)]) {
		t.Errorf("the first %d workers of function %d differ from a full sort", len(order), function.id)
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

// TestAggregates_WorkerChurn_EqualScan applies complete and incremental changes of a large endpoint list.
func TestAggregates_WorkerChurn_EqualScan(t *testing.T) {
	const workers, rounds = 400, 60
	rng := rand.New(rand.NewPCG(1, 5))
	settings := testSettings()
	settings.ScaleIsCapacity = true
	harness := newHarness(t, settings, 0)
	infos := map[WorkerID]WorkerInfo{}
	for round := range rounds {
		var changed []WorkerInfo
		for range rng.IntN(workers / 4) {
			id := WorkerID(1 + rng.IntN(workers))
			infos[id] = WorkerInfo{
				ID: id, Scale: 0.1 + rng.Float64(), Cell: int(id) % 50, State: WorkerState(1 + rng.IntN(3)),
				Started: harness.now - time.Duration(rng.IntN(20))*time.Second,
			}
			changed = append(changed, infos[id])
		}
		if complete := round%7 == 0; complete {
			changed = nil
			for id := range WorkerID(workers) {
				if info, known := infos[id]; known && rng.IntN(9) > 0 {
					changed = append(changed, info)
				}
			}
			harness.scheduler.WorkersChanged(harness.now, changed, true)
		} else {
			harness.scheduler.WorkersChanged(harness.now, changed, false)
		}
		for function := range FunctionID(6) {
			harness.request(function, rng.IntN(3))
		}
		harness.answerQueries()
		harness.advance(time.Duration(rng.IntN(1000)) * ms)
		for id, request := range harness.scheduler.requests {
			if request.replica != nil {
				harness.endAttempt(id, []Status{OK, OK, Error, Reset, Overloaded}[id%5], WarmStart)
			}
		}
		verifyAggregates(t, harness.scheduler)
	}
}

// TestRendezvousOrder_OneWorkerLess_KeepsOrderOfOthers verifies that all front ends rank workers alike regardless of
// earlier events, and that the loss of a worker changes the first worker of only those functions for which it came
// first.
func TestRendezvousOrder_OneWorkerLess_KeepsOrderOfOthers(t *testing.T) {
	const workers, functions = 500, 300
	before, after := newHarness(t, testSettings(), workers), newHarness(t, testSettings(), workers)
	lost := WorkerID(7)
	after.changeWorker(WorkerInfo{ID: lost, State: Removed})
	after.advance(testSettings().SlowStartDuration + time.Second)
	after.changeWorker(WorkerInfo{ID: lost, State: Removed}) // the next change drops it
	moved := 0
	for id := range FunctionID(functions) {
		first := before.scheduler.rendezvousOrder(&functionRecord{id: id}, 2)
		other := after.scheduler.rendezvousOrder(&functionRecord{id: id}, 1)
		if first[0].ID != other[0].ID {
			moved++
			if first[0].ID != lost && other[0].ID != lost {
				t.Errorf("the first worker of function %d changed from %d to %d when worker %d was removed", id, first[0].ID, other[0].ID, lost)
			}
		}
	}
	if moved > functions/50 {
		t.Errorf("the first workers of %d of %d functions changed when one of %d workers was removed", moved, functions, workers)
	}
}

// TestRendezvousOrder_ExtremeCapacities_RanksAll verifies that the search for the first workers ends for any
// capacities.
func TestRendezvousOrder_ExtremeCapacities_RanksAll(t *testing.T) {
	const workers = 200
	settings := testSettings()
	settings.ScaleIsCapacity = true
	harness := newHarness(t, settings, 0)
	var list []WorkerInfo
	for i := range workers {
		scale := math.SmallestNonzeroFloat64
		if i < 3 {
			scale = math.MaxFloat64 / workers
		}
		list = append(list, WorkerInfo{ID: WorkerID(i + 1), Scale: scale, Started: UnknownStart, State: Ready})
	}
	harness.scheduler.WorkersChanged(harness.now, list, true)
	function := &functionRecord{id: 7}
	for _, count := range []int{1, 10, workers} {
		if order := harness.scheduler.rendezvousOrder(function, count); len(order) < count {
			t.Errorf("%d workers ranked, want at least %d", len(order), count)
		}
	}
	for _, worker := range harness.scheduler.rendezvousOrder(function, workers)[:3] {
		if worker.ID > 3 {
			t.Errorf("worker %d, with almost no capacity, is among the first three", worker.ID)
		}
	}
}

// BenchmarkTick measures a tick of a Scheduler, most of whose workers are idle.
func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{120, 1920, 3200} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			harness := newHarness(&testing.T{}, testSettings(), workers)
			for _, worker := range harness.scheduler.endpoints.list[:100] {
				harness.setQueueDelay(worker, time.Second)
			}
			b.ReportAllocs()
			for b.Loop() {
				harness.now += tickInterval
				harness.scheduler.TimerFired(harness.now, tickTimer)
			}
		})
	}
}

// BenchmarkTopRanked measures the ranking of a function's first workers after a change of the endpoint list.
func BenchmarkTopRanked(b *testing.B) {
	for _, workers := range []int{120, 1920, 3200} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			harness := newHarness(&testing.T{}, testSettings(), workers)
			function := &functionRecord{id: 7}
			b.ReportAllocs()
			for b.Loop() {
				harness.scheduler.topRanked(function, rendezvousLength(1, workers))
			}
		})
	}
}
