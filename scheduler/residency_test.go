package scheduler

import (
	"testing"
	"time"
)

func TestReplicaRecord_ContraryEvidence_RemovesRecord(t *testing.T) {
	tests := map[string]func(*harness, WorkerID){
		"idle timeout": func(h *harness, _ WorkerID) { h.advance(10*time.Second + tickInterval) },
		"process restarted": func(h *harness, w WorkerID) {
			h.changeWorker(WorkerInfo{ID: w, Cell: int(w+1) % 2, Started: h.now - time.Second, State: Ready})
		},
		"not loaded": func(h *harness, _ WorkerID) {
			r := h.request(7, 0)
			h.endAttempt(r, NotLoaded, ColdStartUnknown)
		},
		"connection lost": func(h *harness, _ WorkerID) {
			r := h.request(7, 0)
			h.endAttempt(r, Reset, ColdStartUnknown)
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, testSettings(), 4)
			w := h.warm(7)
			end(h, w)
			if h.scheduler.functions.byID[7].replicaOn(h.scheduler.endpoints.byID[w]) != nil {
				t.Error("the replica is still assumed to be loaded")
			}
		})
	}
}

func TestResidencyQuery_ReplicaElsewhere_IsUsed(t *testing.T) {
	h := newHarness(t, testSettings(), 8)
	r := h.request(7, 0)
	if len(h.queries) != residencyQueryFanout || len(h.sentTo[r]) != 0 {
		t.Fatalf("%d workers queried before a load, want %d; sent to %v", len(h.queries), residencyQueryFanout, h.sentTo[r])
	}
	holder := h.queries[1].worker
	h.answerQueries(holder)
	if h.workerOf(r) != holder {
		t.Errorf("sent to worker %d, want %d, where a replica is loaded", h.workerOf(r), holder)
	}
}

func TestResidencyQuery_Unanswered_KeepsRequests(t *testing.T) {
	h := newHarness(t, testSettings(), 8)
	var ids []RequestID
	for range 6 {
		ids = append(ids, h.request(7, 0)) // the queries are still unanswered
	}
	h.advance(tickInterval)
	for _, r := range ids {
		if h.answers[r] != "" {
			t.Fatalf("request %d was %s while residency queries were pending", r, h.answers[r])
		}
	}
}

func TestResidencyQuery_QueueDelayAtWarmReplica_PrecedesLoad(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	w := h.warm(7)
	h.advance(2 * time.Second)
	h.setQueueDelay(h.scheduler.endpoints.byID[w], 5*time.Second)
	other := w%4 + 1
	r := h.request(7, 0)
	if len(h.sentTo[r]) != 0 {
		t.Fatalf("sent to worker %d before residency was queried elsewhere", h.workerOf(r))
	}
	for _, a := range h.queries {
		if a.worker == w {
			t.Error("the worker with a known replica was queried")
		}
	}
	h.answerQueries(other)
	if h.workerOf(r) != other || h.scheduler.functions.byID[7].replicaOn(h.scheduler.endpoints.byID[other]).loading {
		t.Errorf("sent to worker %d, want %d, where a replica is loaded", h.workerOf(r), other)
	}
}

func TestResidencyQuery_OldQueryUnanswered_QueriesAgain(t *testing.T) {
	h := newHarness(t, testSettings(), 8)
	h.request(7, 0)
	unanswered := h.queries[0].worker
	h.queries = h.queries[1:]
	h.answerQueries()
	h.advance(2 * freshnessWindow) // a load started without the last answer
	function := h.scheduler.functions.byID[7]
	function.replicas = nil
	h.request(7, 0)
	if len(h.queries) != residencyQueryFanout-1 || len(function.replicas) > 0 {
		t.Errorf("%d workers queried and %d loads started while an old query is unanswered",
			len(h.queries), len(function.replicas))
	}
	h.scheduler.LoadEnded(h.now, LoadResult{Worker: unanswered, Function: 7, Status: Timeout})
	h.answerQueries()
	if function.pendingQueries != 0 {
		t.Errorf("%d queries pending after all were answered", function.pendingQueries)
	}
}

// TestResidencyQuery_LoadsTooSlow_KeepsRequest verifies that a request is not rejected because loads take too long
// while a query may still find a loaded replica.
func TestResidencyQuery_LoadsTooSlow_KeepsRequest(t *testing.T) {
	h := newHarness(t, testSettings(), 8)
	for range 3 {
		h.warm(7)
	}
	h.scheduler.latency.loadTime.Add(float64(5*time.Second), averageWindow) // longer than any request may take
	h.scheduler.breaker.lastLoadAt = h.now
	r := h.request(8, 0)
	if len(h.sentTo[r]) > 0 || !h.scheduler.awaitsResidency(h.scheduler.functions.byID[8]) {
		t.Fatalf("no residency query is pending; actions %v", h.actions)
	}
	h.advance(tickInterval)
	if h.scheduler.requests[r] == nil {
		t.Errorf("the request was rejected while queries were pending; actions %v", h.actions)
	}
}

func TestResidencyQuery_ManyWorkers_QueriesFirstInOrder(t *testing.T) {
	for _, workers := range []int{3, 60} {
		h := newHarness(t, testSettings(), workers)
		r := h.request(7, 0)
		if n := len(h.queries); n != min(workers, residencyQueryFanout) {
			t.Errorf("%d of %d workers queried, want %d", n, workers, min(workers, residencyQueryFanout))
		}
		for range h.queries {
			a := h.queries[0]
			h.queries = h.queries[1:]
			h.scheduler.LoadEnded(h.now, LoadResult{Worker: a.worker, Function: a.function, Status: OK, Latency: ms})
		}
		if first := h.scheduler.rendezvousOrder(h.scheduler.functions.byID[7], 1)[0].ID; len(h.queries) != 0 || h.workerOf(r) != first {
			t.Errorf("of %d workers, %d more were queried; the request was sent to worker %d, want %d", workers, len(h.queries), h.workerOf(r), first)
		}
	}
}
