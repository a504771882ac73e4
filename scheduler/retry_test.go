package scheduler

import (
	"testing"
	"time"
)

func TestRetry_OutcomeByIdempotency_RetriesOrFails(t *testing.T) {
	tests := []struct {
		name   string
		class  int
		status Status
		want   string // final response, or "" while the request is retried or queued
	}{
		{"idempotent is retried", 0, Error, ""},
		{"non-idempotent that may have executed fails", 2, Error, "failed"},
		{"non-idempotent reset fails", 2, Reset, "failed"},
		{"non-idempotent timeout fails", 2, Timeout, "failed"},
		{"non-idempotent that never executed is retried", 2, Overloaded, ""},
		{"idempotent by key is retried in its key scope", 1, Error, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			harness := newHarness(t, testSettings(), 4)
			harness.warm(7)
			r := harness.request(7, test.class)
			first := harness.workerOf(r)
			harness.now += 50 * ms
			harness.endAttempt(r, test.status, ColdStartUnknown)
			harness.answerQueries()
			harness.answerQueries()
			harness.advance(300 * ms)
			if harness.finalResponses[r] != test.want {
				t.Errorf("final response %q, want %q", harness.finalResponses[r], test.want)
			}
			if again := harness.sentTo[r][1:]; test.class == 1 && len(again) > 0 && (again[0]-first)%2 != 0 {
				t.Errorf("a request with an idempotency key was retried from worker %d to %d, outside its key scope", first, again[0])
			}
		})
	}
}

func TestRetry_KeyRetentionPassed_Fails(t *testing.T) {
	harness := newHarness(t, testSettings(), 2) // one worker per cell
	harness.warm(7)
	r := harness.request(7, 1)
	harness.changeWorker(WorkerInfo{ID: harness.workerOf(r), Cell: int(harness.workerOf(r)+1) % 2, Started: UnknownStart, State: Draining})
	harness.endAttempt(r, Error, ColdStartUnknown)
	harness.advance(1100 * ms)
	if harness.finalResponses[r] != "failed" || len(harness.sentTo[r]) != 1 {
		t.Errorf("final response %q after %d attempts, want failed after 1", harness.finalResponses[r], len(harness.sentTo[r]))
	}
}

// TestRetry_KeyKnownEverywhere_RejectsOnlyWhileKeyOutlivesTheRetry verifies that a request is rejected only if its
// idempotency key outlives the latest possible retry: the client may wait as long as it was told to, and the retry
// may be sent just before its timeout.
func TestRetry_KeyKnownEverywhere_RejectsOnlyWhileKeyOutlivesTheRetry(t *testing.T) {
	set := testSettings()
	set.MaxAttempts = 1
	class := &set.Classes[1]
	class.KeyScope, class.Timeout = ScopeAll, 3*time.Second
	longest := set.MaxRetryAfter + class.Timeout
	for retention, want := range map[time.Duration]string{longest + 200*ms: "rejected", longest + 50*ms: "failed", time.Second: "failed"} {
		class.KeyRetention = retention
		harness := newHarness(t, set, 2)
		harness.warm(7)
		r := harness.request(7, 1)
		harness.advance(100 * ms)
		harness.endAttempt(r, Error, ColdStartUnknown)
		if harness.finalResponses[r] != want {
			t.Errorf("key retention %v: %s, want %s", retention, harness.finalResponses[r], want)
		}
	}
}

func TestRetry_OverloadedWorker_GoesElsewhere(t *testing.T) {
	harness := newHarness(t, testSettings(), 4)
	w := harness.warm(7)
	r := harness.request(7, 0)
	harness.endAttemptWithQueueDepth(r, Overloaded, 20)
	harness.answerQueries()
	if sent := harness.sentTo[r]; len(sent) != 2 || sent[1] == w {
		t.Errorf("a request rejected as overloaded by worker %d was sent to %v, want one retry elsewhere", w, sent)
	}
}

func TestClientDisconnected_AttemptInFlight_IsCancelled(t *testing.T) {
	for _, mayCancel := range []bool{true, false} {
		set := testSettings()
		set.CancelAllowed = mayCancel
		harness := newHarness(t, set, 1)
		harness.warm(7)
		request := harness.request(7, 0)
		harness.scheduler.ClientDisconnected(harness.now, request)
		if cancelled := harness.count("cancel") == 1; cancelled != mayCancel {
			t.Errorf("cancelled after the client disconnected: %v, want %v", cancelled, mayCancel)
		}
		harness.advance(time.Second)
		harness.endAttempt(request, Cancelled, ColdStartUnknown)
		if worker := harness.scheduler.endpoints.byID[harness.workerOf(request)]; harness.scheduler.queueDelay(worker) < 400*ms {
			t.Errorf("the queue delay is %v after an attempt was cancelled after 1s, want at least 400ms", harness.scheduler.queueDelay(worker))
		}
		if harness.finalResponses[request] != "" || len(harness.sentTo[request]) != 1 {
			t.Errorf("a request of a disconnected client got response %q after %d attempts, want none after 1", harness.finalResponses[request], len(harness.sentTo[request]))
		}
	}
}

// TestRetry_KeyedInLargeFleet_LoadsWithinCell verifies that a request with an idempotency key that may have executed
// is retried only within its cell, even if the fleet or the cell has more workers than placementSearch.
func TestRetry_KeyedInLargeFleet_LoadsWithinCell(t *testing.T) {
	for name, cells := range map[string]int{"small cells": 150, "large cells": 2} {
		t.Run(name, func(t *testing.T) {
			const workers = 4 * placementSearch
			harness := newHarness(t, testSettings(), 0)
			var list []WorkerInfo
			for i := range workers {
				list = append(list, WorkerInfo{ID: WorkerID(i + 1), Cell: i % cells, Started: UnknownStart, State: Ready})
			}
			harness.scheduler.WorkersChanged(harness.now, list, true)
			r := harness.request(7, 1)
			harness.answerQueries()
			first := harness.workerOf(r)
			harness.advance(20 * ms)
			harness.changeWorker(WorkerInfo{ID: first, Cell: (int(first) - 1) % cells, Started: UnknownStart, State: Draining})
			harness.endAttempt(r, Reset, ColdStartUnknown)
			harness.answerQueries()
			second := harness.workerOf(r)
			if len(harness.sentTo[r]) != 2 || first == second || (int(first)-1)%cells != (int(second)-1)%cells {
				t.Errorf("sent to workers %v, want a second worker in the cell of the first", harness.sentTo[r])
			}
		})
	}
}

// TestRetry_CellChangesDuringAttempt_KeyScopeIsThatOfTheSend guards against a keyed request that is retried where its key
// is not known, because its worker was listed in another cell when the attempt ended than when it was sent.
func TestRetry_CellChangesDuringAttempt_KeyScopeIsThatOfTheSend(t *testing.T) {
	harness := newHarness(t, testSettings(), 4) // two workers per cell
	harness.warm(7)
	r := harness.request(7, 1)
	first := harness.workerOf(r)
	sentToCell := int(first-1) % 2
	harness.changeWorker(WorkerInfo{ID: first, Cell: 1 - sentToCell, Started: UnknownStart, State: Ready})
	harness.endAttempt(r, Error, ColdStartUnknown)
	for range 4 {
		harness.answerQueries()
		harness.advance(50 * ms)
	}
	again := harness.sentTo[r][1:]
	if len(again) == 0 || again[0] == first || int(again[0]-1)%2 != sentToCell {
		t.Errorf("sent again to %v after worker %d of cell %d, want the other worker of that cell", again, first, sentToCell)
	}
}
