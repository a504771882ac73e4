package scheduler

import (
	"testing"
	"time"
)

func TestEndpoints_DrainingOrRemoved_ReceiveNoRequests(t *testing.T) {
	for _, state := range []WorkerState{Draining, Removed} {
		harness := newHarness(t, testSettings(), 4)
		w := harness.warm(7)
		harness.changeWorker(WorkerInfo{ID: w, Started: UnknownStart, State: state})
		harness.queries = nil
		for range 8 {
			r := harness.request(7, 0)
			harness.answerQueries(1, 2, 3, 4)
			if harness.workerOf(r) == w {
				t.Fatalf("request sent to a worker in state %d", state)
			}
			harness.now += 50 * ms
			harness.endAttempt(r, OK, WarmStart)
		}
	}
}

func TestEndpoints_WatchFailed_IsRetried(t *testing.T) {
	set := testSettings()
	set.WatchOnStart = true
	harness := newHarness(t, set, 0)
	harness.scheduler.WatchFailed(harness.now)
	harness.scheduler.TimerFired(harness.now+time.Second, 1)
	if harness.count("watch") != 2 {
		t.Errorf("%d watches of the endpoint list, want 2", harness.count("watch"))
	}
}

// TestEndpoints_RemovedWorkers_AreForgotten verifies that removed workers are dropped. Under continuous replacement
// they would otherwise accumulate in memory and distort the means over all workers.
func TestEndpoints_RemovedWorkers_AreForgotten(t *testing.T) {
	set := testSettings()
	set.SlowStartDuration = 10 * time.Second
	harness := newHarness(t, set, 4)
	for i := range 50 {
		id := WorkerID(100 + i)
		harness.scheduler.WorkersChanged(harness.now, []WorkerInfo{{ID: id, State: Ready, Scale: 1, Started: harness.now}}, false)
		harness.advance(time.Second)
		harness.scheduler.WorkersChanged(harness.now, []WorkerInfo{{ID: id, State: Removed, Scale: 1}}, false)
	}
	if n := len(harness.scheduler.endpoints.list); n > 4+12 || n != len(harness.scheduler.endpoints.byID) {
		t.Errorf("%d workers in list, %d in byID, want the same number, at most 16", n, len(harness.scheduler.endpoints.byID))
	}
}
