package scheduler

import (
	"testing"
	"time"
)

func TestEndpoints_DrainingOrRemoved_GetNothing(t *testing.T) {
	for _, state := range []WorkerState{Draining, Removed} {
		script := newHarness(t, testSettings(), 4)
		w := script.warm(7)
		script.changeWorker(WorkerInfo{ID: w, Started: UnknownStart, State: state})
		script.queries = nil
		for range 8 {
			r := script.request(7, 0)
			script.answerQueries(1, 2, 3, 4)
			if script.workerOf(r) == w {
				t.Fatalf("sent to a worker in state %d", state)
			}
			script.now += 50 * ms
			script.endAttempt(r, OK, WarmStart)
		}
	}
}

func TestEndpoints_WatchFailed_IsRetried(t *testing.T) {
	set := testSettings()
	set.WatchOnStart = true
	script := newHarness(t, set, 0)
	script.scheduler.WatchFailed(script.now)
	script.scheduler.TimerFired(script.now+time.Second, 1)
	if script.count("watch") != 2 {
		t.Errorf("%d watches of the endpoint list, want 2", script.count("watch"))
	}
}

// TestEndpoints_RemovedWorkers_AreForgotten holds that workers that are replaced all the time leave nothing
// behind: neither memory nor a part in the means over all workers.
func TestEndpoints_RemovedWorkers_AreForgotten(t *testing.T) {
	set := testSettings()
	set.SlowStartDuration = 10 * time.Second
	script := newHarness(t, set, 4)
	for i := range 50 {
		id := WorkerID(100 + i)
		script.scheduler.WorkersChanged(script.now, []WorkerInfo{{ID: id, State: Ready, Scale: 1, Started: script.now}}, false)
		script.advance(time.Second)
		script.scheduler.WorkersChanged(script.now, []WorkerInfo{{ID: id, State: Removed, Scale: 1}}, false)
	}
	if n := len(script.scheduler.endpoints.list); n > 4+12 || n != len(script.scheduler.endpoints.byID) {
		t.Errorf("%d workers are known, %d by name, 4 are there", n, len(script.scheduler.endpoints.byID))
	}
}
