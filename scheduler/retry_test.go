package scheduler

import (
	"testing"
	"time"
)

func TestRetry_OutcomeByIdempotency_EndsOrGoesOn(t *testing.T) {
	tests := []struct {
		name   string
		class  int
		status Status
		want   string // the final answer, or "" for another attempt or queueing
	}{
		{"idempotent is retried", 0, Error, ""},
		{"non-idempotent that may have executed fails", 2, Error, "failed"},
		{"non-idempotent reset fails", 2, Reset, "failed"},
		{"non-idempotent timed out fails", 2, Timeout, "failed"},
		{"non-idempotent that never executed is retried", 2, Overloaded, ""},
		{"keyed is retried in its key scope", 1, Error, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			script := newHarness(t, testSettings(), 4)
			script.warm(7)
			r := script.request(7, test.class)
			first := script.workerOf(r)
			script.now += 50 * ms
			script.endAttempt(r, test.status, ColdStartUnknown)
			script.answerQueries()
			script.answerQueries()
			script.advance(300 * ms)
			if script.answers[r] != test.want {
				t.Errorf("final answer %q, want %q", script.answers[r], test.want)
			}
			if again := script.sentTo[r][1:]; test.class == 1 && len(again) > 0 && (again[0]-first)%2 != 0 {
				t.Errorf("a keyed request went from worker %d to %d, another key scope", first, again[0])
			}
		})
	}
}

func TestRetry_KeyRetentionPassed_Fails(t *testing.T) {
	script := newHarness(t, testSettings(), 2) // one worker a cell
	script.warm(7)
	r := script.request(7, 1)
	script.changeWorker(WorkerInfo{ID: script.workerOf(r), Cell: int(script.workerOf(r)+1) % 2, Started: UnknownStart, State: Draining})
	script.endAttempt(r, Error, ColdStartUnknown)
	script.advance(1100 * ms)
	if script.answers[r] != "failed" || len(script.sentTo[r]) != 1 {
		t.Errorf("answer %q after %d attempts, want failed after 1", script.answers[r], len(script.sentTo[r]))
	}
}

// A client that is rejected may come back when it was told to, and have its try sent at its own timeout: the key must still
// be known then.
func TestRetry_KeyKnownEverywhere_RejectsOnlyWhileKeyOutlivesTheRetry(t *testing.T) {
	set := testSettings()
	set.MaxAttempts = 1
	class := &set.Classes[1]
	class.KeyScope, class.Timeout = ScopeAll, 3*time.Second
	longest := set.MaxRetryAfter + class.Timeout
	for retention, want := range map[time.Duration]string{longest + 200*ms: "rejected", longest + 50*ms: "failed", time.Second: "failed"} {
		class.KeyRetention = retention
		script := newHarness(t, set, 2)
		script.warm(7)
		r := script.request(7, 1)
		script.advance(100 * ms)
		script.endAttempt(r, Error, ColdStartUnknown)
		if script.answers[r] != want {
			t.Errorf("key remembered for %v: %s, want %s", retention, script.answers[r], want)
		}
	}
}

func TestRetry_OverloadedWorker_GoesElsewhere(t *testing.T) {
	script := newHarness(t, testSettings(), 4)
	w := script.warm(7)
	r := script.request(7, 0)
	script.endAttemptWithQueueDepth(r, Overloaded, 20)
	script.answerQueries()
	if sent := script.sentTo[r]; len(sent) != 2 || sent[1] == w {
		t.Errorf("a request rejected as overloaded at worker %d went on to %v", w, sent)
	}
}

func TestClientDisconnected_AttemptInFlight_IsCancelled(t *testing.T) {
	for _, mayCancel := range []bool{true, false} {
		set := testSettings()
		set.CancelAllowed = mayCancel
		script := newHarness(t, set, 1)
		script.warm(7)
		r := script.request(7, 0)
		script.scheduler.ClientDisconnected(script.now, r)
		if cancelled := script.count("cancel") == 1; cancelled != mayCancel {
			t.Errorf("cancelled %v after its client left, allowed %v", cancelled, mayCancel)
		}
		script.advance(time.Second)
		script.endAttempt(r, Cancelled, ColdStartUnknown)
		if worker := script.scheduler.endpoints.byID[script.workerOf(r)]; script.scheduler.queueDelay(worker) < 400*ms {
			t.Errorf("a request cancelled after a second tells of a queue delay of %v", script.scheduler.queueDelay(worker))
		}
		if script.answers[r] != "" || len(script.sentTo[r]) != 1 {
			t.Errorf("a request whose client left got answer %q, sent %d times", script.answers[r], len(script.sentTo[r]))
		}
	}
}

// A keyed request that may have run is loaded elsewhere in its cell only, however many workers or members of the cell there
// are: more than are looked at for another request.
func TestRetry_KeyedInLargeFleet_LoadsWithinCell(t *testing.T) {
	for name, cells := range map[string]int{"small cells": 150, "large cells": 2} {
		t.Run(name, func(t *testing.T) {
			const workers = 4 * placementSearch
			script := newHarness(t, testSettings(), 0)
			var list []WorkerInfo
			for i := range workers {
				list = append(list, WorkerInfo{ID: WorkerID(i + 1), Cell: i % cells, Started: UnknownStart, State: Ready})
			}
			script.scheduler.WorkersChanged(script.now, list, true)
			r := script.request(7, 1)
			script.answerQueries()
			first := script.workerOf(r)
			script.advance(20 * ms)
			script.changeWorker(WorkerInfo{ID: first, Cell: (int(first) - 1) % cells, Started: UnknownStart, State: Draining})
			script.endAttempt(r, Reset, ColdStartUnknown)
			script.answerQueries()
			second := script.workerOf(r)
			if len(script.sentTo[r]) != 2 || first == second || (int(first)-1)%cells != (int(second)-1)%cells {
				t.Errorf("sent to workers %v, want a second one of the cell of the first", script.sentTo[r])
			}
		})
	}
}
