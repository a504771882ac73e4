package gateway

import "testing"

// TestAbort_RequestsInFlight_EachGetsFinalResponse checks that Abort rejects requests that never executed, fails
// those that may have executed, and retries none.
func TestAbort_RequestsInFlight_EachGetsFinalResponse(t *testing.T) {
	harness := newHarness(t, 2, nil)
	sent := harness.submit(nonIdempotentClass)
	_, _ = harness.sentAttempt(sent)
	for _, worker := range harness.clients {
		worker.holdsWrites = true
	}
	queued := harness.submit(nonIdempotentClass)
	harness.StopAdmitting(harness.clock)
	late := harness.submit(idempotentClass)
	harness.wantResponse(late, Rejected)
	harness.Abort(harness.clock)
	harness.wantResponse(sent, Failed)
	harness.wantResponse(queued, Rejected)
	if !harness.Idle() || sent.attempts != 1 || queued.attempts > 1 {
		t.Errorf("idle %t, want true; %d attempts of the sent request, want 1; %d of the queued request, want at most 1", harness.Idle(), sent.attempts, queued.attempts)
	}
}
