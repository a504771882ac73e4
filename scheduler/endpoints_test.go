package scheduler

import (
	"testing"
	"time"
)

func TestEndpoints_DrainingOrRemoved_ReceiveNoRequests(t *testing.T) {
	for _, state := range []WorkerState{Draining, Removed} {
		h := newHarness(t, testSettings(), 4)
		w := h.warm(7)
		h.changeWorker(WorkerInfo{ID: w, Started: UnknownStart, State: state})
		h.queries = nil
		for range 8 {
			r := h.request(7, 0)
			h.answerQueries(1, 2, 3, 4)
			if h.workerOf(r) == w {
				t.Fatalf("request sent to a worker in state %d", state)
			}
			h.now += 50 * ms
			h.endAttempt(r, OK, WarmStart)
		}
	}
}

func TestEndpoints_WatchFailed_IsRetried(t *testing.T) {
	set := testSettings()
	set.WatchOnStart = true
	h := newHarness(t, set, 0)
	h.scheduler.WatchFailed(h.now)
	h.scheduler.TimerFired(h.now+time.Second, 1)
	if h.count("watch") != 2 {
		t.Errorf("%d watches of the endpoint list, want 2", h.count("watch"))
	}
}

// TestEndpoints_RemovedWorkers_AreForgotten verifies that removed workers are dropped. Under continuous replacement
// they would otherwise accumulate in memory and distort the means over all workers.
func TestEndpoints_RemovedWorkers_AreForgotten(t *testing.T) {
	set := testSettings()
	set.SlowStartDuration = 10 * time.Second
	h := newHarness(t, set, 4)
	for i := range 50 {
		id := WorkerID(100 + i)
		h.scheduler.WorkersChanged(h.now, []WorkerInfo{{ID: id, State: Ready, Scale: 1, Started: h.now}}, false)
		h.advance(time.Second)
		h.scheduler.WorkersChanged(h.now, []WorkerInfo{{ID: id, State: Removed, Scale: 1}}, false)
	}
	if n := len(h.scheduler.endpoints.list); n > 4+12 || n != len(h.scheduler.endpoints.byID) {
		t.Errorf("%d workers in list, %d in byID, want the same number, at most 16", n, len(h.scheduler.endpoints.byID))
	}
}
