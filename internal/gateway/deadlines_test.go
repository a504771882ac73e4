package gateway

import (
	"testing"
	"time"
)

// TestDeadline_WorkersSilent_RespondsBeforeClientTimeout checks every class when no worker responds.
func TestDeadline_WorkersSilent_RespondsBeforeClientTimeout(t *testing.T) {
	for class, want := range []ResponseKind{idempotentClass: Rejected, keyedClass: Failed, nonIdempotentClass: Failed} {
		harness := newHarness(t, 2, nil)
		request := harness.submit(class)
		end := harness.clock + request.Timeout
		for harness.clock < end && request.state == requestInFlight {
			harness.advance(ms)
		}
		if harness.clock >= end {
			t.Errorf("class %d: no response in time", class)
		}
		harness.wantResponse(request, want)
		if harness.Counts().PastDeadline != 0 {
			t.Errorf("class %d: the scheduler gave no final response before the deadline", class)
		}
	}
}

// TestDeadline_AttemptNeverSent_IsRejected checks a request whose attempt is still in the write buffer at the
// deadline. The request cannot have executed.
func TestDeadline_AttemptNeverSent_IsRejected(t *testing.T) {
	harness := newHarness(t, 1, nil)
	harness.clients["w0"].holdsWrites = true
	request := harness.submit(nonIdempotentClass)
	harness.advance(2 * time.Second)
	harness.wantResponse(request, Rejected)
}

// TestDeadline_LoopLags_RespondsSooner checks an event loop that handles every timer 50 ms late, as one that shares its
// core may. The final response must be given early enough, because writing it is delayed as well.
func TestDeadline_LoopLags_RespondsSooner(t *testing.T) {
	for _, lag := range []time.Duration{0, 50 * ms} {
		harness := newHarness(t, 1, nil)
		request := harness.submit(nonIdempotentClass)
		harness.sentAttempt(request) // the worker never responds
		submittedAt := harness.clock
		for kind := ResponseKind(0); kind == 0; kind = harness.responseKind(request) {
			harness.clock = max(harness.clock, harness.NextTimer()) + lag
			harness.FireTimers(harness.clock)
		}
		remaining := submittedAt + request.Timeout - harness.clock
		if remaining < lag || lag == 0 && remaining > 30*ms {
			t.Errorf("with a lag of %v it responded %v before its client gives up", lag, remaining)
		}
	}
}
