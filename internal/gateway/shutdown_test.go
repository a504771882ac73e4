package gateway

import "testing"

// TestAbort_RequestsInFlight_EachGetsFinalResponse rejects what never executed, fails what may have, and retries nothing.
func TestAbort_RequestsInFlight_EachGetsFinalResponse(t *testing.T) {
	h := newHarness(t, 2, nil)
	sent := h.submit(nonIdempotentClass)
	_, _ = h.sentAttempt(sent)
	for _, worker := range h.clients {
		worker.holdsWrites = true
	}
	queued := h.submit(nonIdempotentClass)
	h.StopAdmitting(h.clock)
	late := h.submit(idempotentClass)
	h.wantResponse(late, Rejected)
	h.Abort(h.clock)
	h.wantResponse(sent, Failed)
	h.wantResponse(queued, Rejected)
	if !h.Idle() || sent.attempts != 1 || queued.attempts > 1 {
		t.Errorf("idle %t, attempts %d and %d", h.Idle(), sent.attempts, queued.attempts)
	}
}
