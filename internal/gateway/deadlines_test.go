package gateway

import (
	"testing"
	"time"
)

// TestDeadline_WorkersSilent_RespondsBeforeClientTimeout covers every class, with no response of any worker.
func TestDeadline_WorkersSilent_RespondsBeforeClientTimeout(t *testing.T) {
	for class, want := range []ResponseKind{idempotentClass: Rejected, keyedClass: Failed, nonIdempotentClass: Failed} {
		h := newHarness(t, 2, nil)
		request := h.submit(class)
		end := h.clock + request.Timeout
		for h.clock < end && request.state == requestInFlight {
			h.advance(ms)
		}
		if h.clock >= end {
			t.Errorf("class %d: no response in time", class)
		}
		h.wantResponse(request, want)
		if h.Counts().PastDeadline != 0 {
			t.Errorf("class %d: the scheduler gave none", class)
		}
	}
}

// TestDeadline_AttemptNeverSent_IsRejected has the time pass while the attempt is in the write buffer: it cannot have executed.
func TestDeadline_AttemptNeverSent_IsRejected(t *testing.T) {
	h := newHarness(t, 1, nil)
	h.clients["w0"].holdsWrites = true
	request := h.submit(nonIdempotentClass)
	h.advance(2 * time.Second)
	h.wantResponse(request, Rejected)
}

// TestDeadline_LoopLags_RespondsSooner has the event loop handle timers 50 ms late each time, as where it shares its core;
// the final response is then written later still.
func TestDeadline_LoopLags_RespondsSooner(t *testing.T) {
	for _, lag := range []time.Duration{0, 50 * ms} {
		h := newHarness(t, 1, nil)
		request := h.submit(nonIdempotentClass)
		h.sentAttempt(request) // its worker never responds
		submittedAt := h.clock
		for kind := ResponseKind(0); kind == 0; kind = h.responseKind(request) {
			h.clock = max(h.clock, h.NextTimer()) + lag
			h.FireTimers(h.clock)
		}
		remaining := submittedAt + request.Timeout - h.clock
		if remaining < lag || lag == 0 && remaining > 30*ms {
			t.Errorf("with a lag of %v it responded %v before its client gives up", lag, remaining)
		}
	}
}
