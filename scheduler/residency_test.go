package scheduler

import (
	"testing"
	"time"
)

func TestReplicaBelief_Evidence_EndsIt(t *testing.T) {
	tests := map[string]func(*harness, WorkerID){
		"idle timeout": func(script *harness, _ WorkerID) { script.advance(10*time.Second + tickInterval) },
		"process restarted": func(script *harness, w WorkerID) {
			script.changeWorker(WorkerInfo{ID: w, Cell: int(w+1) % 2, Started: script.now - time.Second, State: Ready})
		},
		"not loaded": func(script *harness, _ WorkerID) {
			r := script.request(7, 0)
			script.endAttempt(r, NotLoaded, ColdStartUnknown)
		},
		"connection lost": func(script *harness, _ WorkerID) {
			r := script.request(7, 0)
			script.endAttempt(r, Reset, ColdStartUnknown)
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			script := newHarness(t, testSettings(), 4)
			w := script.warm(7)
			end(script, w)
			if script.scheduler.functions.byID[7].replicaOn(script.scheduler.endpoints.byID[w]) != nil {
				t.Error("the replica is still believed to be loaded")
			}
		})
	}
}

func TestResidencyQuery_ReplicaElsewhere_IsUsed(t *testing.T) {
	script := newHarness(t, testSettings(), 8)
	r := script.request(7, 0)
	if len(script.queries) != residencyQueryFanout || len(script.sentTo[r]) != 0 {
		t.Fatalf("%d workers queried before a load, want %d; sent %v", len(script.queries), residencyQueryFanout, script.sentTo[r])
	}
	holder := script.queries[1].worker
	script.answerQueries(holder)
	if script.workerOf(r) != holder {
		t.Errorf("sent to %d, the replica is loaded at %d", script.workerOf(r), holder)
	}
}

func TestResidencyQuery_Unanswered_KeepsRequests(t *testing.T) {
	script := newHarness(t, testSettings(), 8)
	var ids []RequestID
	for range 6 {
		ids = append(ids, script.request(7, 0)) // the answers to the queries are still on their way
	}
	script.advance(tickInterval)
	for _, r := range ids {
		if script.answers[r] != "" {
			t.Fatalf("request %d was %s before it was known whether a replica is loaded", r, script.answers[r])
		}
	}
}

func TestResidencyQuery_QueueDelayAtWarmReplica_PrecedesLoad(t *testing.T) {
	script := newHarness(t, testSettings(), 4)
	w := script.warm(7)
	script.advance(2 * time.Second)
	script.setQueueDelay(script.scheduler.endpoints.byID[w], 5*time.Second)
	other := w%4 + 1
	r := script.request(7, 0)
	if len(script.sentTo[r]) != 0 {
		t.Fatalf("sent to worker %d before it was known whether a replica is loaded elsewhere", script.workerOf(r))
	}
	for _, a := range script.queries {
		if a.worker == w {
			t.Error("the worker whose replica is known is queried")
		}
	}
	script.answerQueries(other)
	if script.workerOf(r) != other || script.scheduler.functions.byID[7].replicaOn(script.scheduler.endpoints.byID[other]).loading {
		t.Errorf("sent to worker %d, loading; a replica is loaded at %d", script.workerOf(r), other)
	}
}

func TestResidencyQuery_OldQueryUnanswered_QueriesAgain(t *testing.T) {
	script := newHarness(t, testSettings(), 8)
	script.request(7, 0)
	unanswered := script.queries[0].worker
	script.queries = script.queries[1:]
	script.answerQueries()
	script.advance(2 * freshnessWindow) // a load began without the last answer
	function := script.scheduler.functions.byID[7]
	function.replicas = nil
	script.request(7, 0)
	if len(script.queries) != residencyQueryFanout-1 || len(function.replicas) > 0 {
		t.Errorf("%d workers are queried and %d loads begun while an answer from long ago is still awaited",
			len(script.queries), len(function.replicas))
	}
	script.scheduler.LoadEnded(script.now, LoadResult{Worker: unanswered, Function: 7, Status: Timeout})
	script.answerQueries()
	if function.pendingQueries != 0 {
		t.Errorf("%d answers awaited after all have come", function.pendingQueries)
	}
}

// TestResidencyQuery_LoadsTooSlow_KeepsRequest holds that a request is not rejected as too late for a load while
// a query may yet find a loaded replica.
func TestResidencyQuery_LoadsTooSlow_KeepsRequest(t *testing.T) {
	script := newHarness(t, testSettings(), 8)
	for range 3 {
		script.warm(7)
	}
	script.scheduler.latency.loadTime.Add(float64(5*time.Second), averageWindow) // loads take longer than any request may
	script.scheduler.breaker.lastLoadAt = script.now
	r := script.request(8, 0)
	if len(script.sentTo[r]) > 0 || !script.scheduler.awaitsResidency(script.scheduler.functions.byID[8]) {
		t.Fatalf("no worker was queried; actions %v", script.actions)
	}
	script.advance(tickInterval)
	if script.scheduler.requests[r] == nil {
		t.Errorf("rejected while queries are pending; actions %v", script.actions)
	}
}

func TestResidencyQuery_ManyWorkers_QueriesFirstInOrder(t *testing.T) {
	for _, workers := range []int{3, 60} {
		script := newHarness(t, testSettings(), workers)
		r := script.request(7, 0)
		if n := len(script.queries); n != min(workers, residencyQueryFanout) {
			t.Errorf("%d of %d workers queried, want %d", n, workers, min(workers, residencyQueryFanout))
		}
		for range script.queries {
			a := script.queries[0]
			script.queries = script.queries[1:]
			script.scheduler.LoadEnded(script.now, LoadResult{Worker: a.worker, Function: a.function, Status: OK, Latency: ms})
		}
		if first := script.scheduler.rendezvousOrder(script.scheduler.functions.byID[7], 1)[0].ID; len(script.queries) != 0 || script.workerOf(r) != first {
			t.Errorf("of %d workers %d more were queried, the request went to worker %d, not %d", workers, len(script.queries), script.workerOf(r), first)
		}
	}
}
