package scheduler

import (
	"testing"
	"time"
)

func TestReplicaRecord_ContraryEvidence_RemovesRecord(t *testing.T) {
	tests := map[string]func(*harness, WorkerID){
		"idle timeout": func(harness *harness, _ WorkerID) { harness.advance(10*time.Second + tickInterval) },
		"process restarted": func(harness *harness, w WorkerID) {
			harness.changeWorker(WorkerInfo{ID: w, Cell: int(w+1) % 2, Started: harness.now - time.Second, State: Ready})
		},
		"not loaded": func(harness *harness, _ WorkerID) {
			r := harness.request(7, 0)
			harness.endAttempt(r, NotLoaded, ColdStartUnknown)
		},
		"connection lost": func(harness *harness, _ WorkerID) {
			r := harness.request(7, 0)
			harness.endAttempt(r, Reset, ColdStartUnknown)
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, testSettings(), 4)
			w := harness.warm(7)
			end(harness, w)
			if harness.scheduler.functions.byID[7].replicaOn(harness.scheduler.endpoints.byID[w]) != nil {
				t.Error("the replica is still assumed to be loaded")
			}
		})
	}
}

func TestResidencyQuery_ReplicaElsewhere_IsUsed(t *testing.T) {
	harness := newHarness(t, testSettings(), 8)
	r := harness.request(7, 0)
	if len(harness.queries) != residencyQueryFanout || len(harness.sentTo[r]) != 0 {
		t.Fatalf("%d workers queried before a load, want %d; sent to %v", len(harness.queries), residencyQueryFanout, harness.sentTo[r])
	}
	holder := harness.queries[1].worker
	harness.answerQueries(holder)
	if harness.workerOf(r) != holder {
		t.Errorf("sent to worker %d, want %d, where a replica is loaded", harness.workerOf(r), holder)
	}
}

func TestResidencyQuery_Unanswered_KeepsRequests(t *testing.T) {
	harness := newHarness(t, testSettings(), 8)
	var ids []RequestID
	for range 6 {
		ids = append(ids, harness.request(7, 0)) // the queries are still unanswered
	}
	harness.advance(tickInterval)
	for _, r := range ids {
		if harness.finalResponses[r] != "" {
			t.Fatalf("request %d was %s while residency queries were pending", r, harness.finalResponses[r])
		}
	}
}

func TestResidencyQuery_QueueDelayAtWarmReplica_PrecedesLoad(t *testing.T) {
	harness := newHarness(t, testSettings(), 4)
	w := harness.warm(7)
	harness.advance(2 * time.Second)
	harness.setQueueDelay(harness.scheduler.endpoints.byID[w], 5*time.Second)
	other := w%4 + 1
	request := harness.request(7, 0)
	if len(harness.sentTo[request]) != 0 {
		t.Fatalf("sent to worker %d before residency was queried elsewhere", harness.workerOf(request))
	}
	for _, a := range harness.queries {
		if a.worker == w {
			t.Error("the worker with a known replica was queried")
		}
	}
	harness.answerQueries(other)
	if harness.workerOf(request) != other || harness.scheduler.functions.byID[7].replicaOn(harness.scheduler.endpoints.byID[other]).loading {
		t.Errorf("sent to worker %d, want %d, where a replica is loaded", harness.workerOf(request), other)
	}
}

func TestResidencyQuery_OldQueryUnanswered_QueriesAgain(t *testing.T) {
	harness := newHarness(t, testSettings(), 8)
	harness.request(7, 0)
	unanswered := harness.queries[0].worker
	harness.queries = harness.queries[1:]
	harness.answerQueries()
	harness.advance(2 * freshnessWindow) // a load started without the last answer
	function := harness.scheduler.functions.byID[7]
	function.replicas = nil
	harness.request(7, 0)
	if len(harness.queries) != residencyQueryFanout-1 || len(function.replicas) > 0 {
		t.Errorf("%d workers queried and %d loads started while an old query is unanswered",
			len(harness.queries), len(function.replicas))
	}
	harness.scheduler.LoadEnded(harness.now, LoadResult{Worker: unanswered, Function: 7, Status: Timeout})
	harness.answerQueries()
	if function.pendingQueries != 0 {
		t.Errorf("%d queries pending after all were answered", function.pendingQueries)
	}
}

// TestResidencyQuery_LoadsTooSlow_KeepsRequest verifies that a request is not rejected because loads take too long
// while a query may still find a loaded replica.
func TestResidencyQuery_LoadsTooSlow_KeepsRequest(t *testing.T) {
	harness := newHarness(t, testSettings(), 8)
	for range 3 {
		harness.warm(7)
	}
	harness.scheduler.latency.loadTime.Add(float64(5*time.Second), averageWindow) // longer than any request may take
	harness.scheduler.breaker.lastLoadAt = harness.now
	r := harness.request(8, 0)
	if len(harness.sentTo[r]) > 0 || !harness.scheduler.awaitsResidency(harness.scheduler.functions.byID[8]) {
		t.Fatalf("no residency query is pending; actions %v", harness.actions)
	}
	harness.advance(tickInterval)
	if harness.scheduler.requests[r] == nil {
		t.Errorf("the request was rejected while queries were pending; actions %v", harness.actions)
	}
}

func TestResidencyQuery_ManyWorkers_QueriesFirstInOrder(t *testing.T) {
	for _, workers := range []int{3, 60} {
		harness := newHarness(t, testSettings(), workers)
		r := harness.request(7, 0)
		if n := len(harness.queries); n != min(workers, residencyQueryFanout) {
			t.Errorf("%d of %d workers queried, want %d", n, workers, min(workers, residencyQueryFanout))
		}
		for range harness.queries {
			a := harness.queries[0]
			harness.queries = harness.queries[1:]
			harness.scheduler.LoadEnded(harness.now, LoadResult{Worker: a.worker, Function: a.function, Status: OK, Latency: ms})
		}
		if first := harness.scheduler.rendezvousOrder(harness.scheduler.functions.byID[7], 1)[0].ID; len(harness.queries) != 0 || harness.workerOf(r) != first {
			t.Errorf("of %d workers, %d more were queried; the request was sent to worker %d, want %d", workers, len(harness.queries), harness.workerOf(r), first)
		}
	}
}
