package gateway

import (
	"fmt"
	"testing"
	"time"

	"havencart/internal/native/muxframe"
	"havencart/scheduler"
)

// resend abandons a request and submits it again, as its client does on a new connection.
func (harness *testHarness) resend(abandoned *Request) *Request {
	harness.RequestAbandoned(harness.clock, abandoned)
	again := NewRequest()
	again.ID, again.Class, again.Replica = abandoned.ID, abandoned.Class, abandoned.Replica
	again.Resent = true
	again.StartedAt, again.Timeout = harness.clock, abandoned.Timeout
	harness.RequestReceived(harness.clock, again)
	return again
}

// TestResent_AttemptWasCancelled_RepeatedOnlyIfIdempotent guards against an effect that happens twice because a request
// is sent again after its connection ended.
func TestResent_AttemptWasCancelled_RepeatedOnlyIfIdempotent(t *testing.T) {
	for class, want := range map[int]ResponseKind{idempotentClass: Served, keyedClass: Failed, nonIdempotentClass: Failed} {
		harness := newHarness(t, 1, nil)
		first := harness.submit(class)
		harness.sentAttempt(first)
		again := harness.resend(first)
		if class == idempotentClass {
			harness.endWith(again, scheduler.OK)
		}
		harness.wantResponse(again, want)
		harness.wantResponse(first, 0)
		if !harness.Idle() {
			t.Errorf("class %d: work is left", class)
		}
	}
}

// TestResent_NothingSent_Admitted checks that a request of any class is served if nothing of it has reached a worker.
func TestResent_NothingSent_Admitted(t *testing.T) {
	for class := idempotentClass; class <= nonIdempotentClass; class++ {
		for _, mayCancel := range []bool{true, false} {
			harness := newHarness(t, 1, func(s *Settings) { s.Scheduler.CancelAllowed = mayCancel })
			harness.clients["w0"].holdsWrites = true
			first := harness.submit(class)
			harness.sentAttempt(first)
			again := harness.resend(first)
			harness.endWith(again, scheduler.OK)
			harness.wantResponse(again, Served)
		}
	}
}

// TestResent_AttemptInFlight_WaitsForItsEnd checks requests whose attempt continues, because attempts may not be
// cancelled: no second attempt is in flight at any time, and the response of the first one is used.
func TestResent_AttemptInFlight_WaitsForItsEnd(t *testing.T) {
	for _, test := range []struct {
		class   int
		status  scheduler.Status
		retried bool
		want    ResponseKind
	}{
		{idempotentClass, scheduler.OK, false, Served},
		{keyedClass, scheduler.OK, false, Served},
		{nonIdempotentClass, scheduler.OK, false, Served},
		{idempotentClass, scheduler.Reset, true, Served},
		{keyedClass, scheduler.Reset, false, Failed},
		{nonIdempotentClass, scheduler.Reset, false, Failed},
		{nonIdempotentClass, scheduler.ConnectFailed, true, Served},
	} {
		t.Run(fmt.Sprintf("class %d, %v", test.class, test.status), func(t *testing.T) {
			harness := newHarness(t, 1, func(s *Settings) { s.Scheduler.CancelAllowed = false })
			first := harness.submit(test.class)
			worker, _ := harness.sentAttempt(first)
			again := harness.resend(harness.resend(first)) // its second connection ends, too
			if n := len(worker.sent); n != 1 {
				t.Fatalf("%d attempts are in flight, want 1", n)
			}
			harness.wantResponse(again, 0)
			harness.endWith(first, test.status)
			if test.retried {
				harness.advance(500 * ms) // the scheduler avoids the worker for a time
				harness.endWith(again, scheduler.OK)
			}
			harness.wantResponse(again, test.want)
			harness.wantResponse(first, 0)
			if !harness.Idle() || len(worker.sent) != 0 {
				t.Error("work is left")
			}
		})
	}
}

// TestResent_ExpiresWhileWaiting_NotSent checks that a request that got its final response from the expiry timer while it
// waited is not sent afterwards.
func TestResent_ExpiresWhileWaiting_NotSent(t *testing.T) {
	harness := newHarness(t, 1, func(s *Settings) { s.Scheduler.CancelAllowed = false })
	first := harness.submit(idempotentClass)
	worker, _ := harness.sentAttempt(first)
	again := harness.resend(first)
	if owed, owned := again.delivery.expire(); !owed || !owned {
		t.Fatalf("expiry owes a response: %v, of a request that the front end owns: %v; want both", owed, owned)
	}
	harness.RequestExpired(harness.clock, again)
	harness.endWith(first, scheduler.Reset)
	harness.advance(time.Second)
	if len(worker.sent) != 0 || !harness.Idle() {
		t.Error("an expired request was sent")
	}
}

// TestResent_HistoryForgotten_NonIdempotentFails checks that the memory of abandoned requests is bounded, and that a
// request whose history was forgotten counts as one that may have executed.
func TestResent_HistoryForgotten_NonIdempotentFails(t *testing.T) {
	harness := newHarness(t, 0, nil)
	abandon := func(id string, class int) *Request {
		request := NewRequest()
		request.ID, request.Class, request.Timeout, request.StartedAt = id, class, 2*time.Second, harness.clock
		request.Replica = muxframe.ReplicaSpec{Function: "f", MemoryMB: 100, Concurrency: 2}
		harness.RequestReceived(harness.clock, request)
		harness.RequestAbandoned(harness.clock, request)
		return request
	}
	oldest := abandon("oldest", nonIdempotentClass)
	for i := range 2 * maxAbandonedRequests {
		abandon(fmt.Sprint(i), idempotentClass)
	}
	if got := len(harness.abandoned.byID); got != maxAbandonedRequests || len(harness.abandoned.order) != got {
		t.Errorf("%d requests are remembered, %d in order, want %d", got, len(harness.abandoned.order), maxAbandonedRequests)
	}
	again := harness.resend(oldest)
	harness.wantResponse(again, Failed)
}

// TestResent_FrontEndStopsWhileWaiting_Fails checks that a request that waits for an attempt gets its final response when
// the front end stops before the attempt has ended.
func TestResent_FrontEndStopsWhileWaiting_Fails(t *testing.T) {
	harness := newHarness(t, 1, func(s *Settings) { s.Scheduler.CancelAllowed = false })
	first := harness.submit(nonIdempotentClass)
	harness.sentAttempt(first)
	again := harness.resend(first)
	harness.Abort(harness.clock)
	harness.wantResponse(again, Failed)
}
