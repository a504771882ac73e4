package gateway

import (
	"testing"
	"time"

	"havencart/internal/workerconn"
	"havencart/scheduler"
)

func TestClientDisconnected_AnyStage_NoResponse(t *testing.T) {
	t.Run("attempt in flight", func(t *testing.T) {
		harness := newHarness(t, 1, nil)
		request := harness.submit(idempotentClass)
		worker, _ := harness.sentAttempt(request)
		harness.ClientDisconnected(harness.clock, request)
		if len(worker.canceled) != 1 || !harness.Idle() {
			t.Errorf("cancelled %d, idle %t", len(worker.canceled), harness.Idle())
		}
		harness.wantResponse(request, 0)
	})
	t.Run("request queued", func(t *testing.T) {
		harness := newHarness(t, 0, nil)
		request := harness.submit(idempotentClass)
		harness.ClientDisconnected(harness.clock, request)
		if !harness.Idle() {
			t.Error("the request was not removed")
		}
		harness.advance(3 * time.Second)
		harness.wantResponse(request, 0)
	})
	t.Run("response streamed", func(t *testing.T) {
		harness := newHarness(t, 1, nil)
		request := harness.submit(nonIdempotentClass)
		worker, attempt := harness.sentAttempt(request)
		harness.ResponseStarted(harness.clock, attempt, workerconn.Result{Status: scheduler.OK, QueueDepth: -1, Response: &workerconn.Response{Stream: &workerconn.Stream{}}})
		harness.wantResponse(request, Served)
		harness.advance(3 * time.Second) // neither the response timeout nor the deadline applies to a stream
		if len(worker.canceled) != 0 {
			t.Fatal("a streamed response was cut off")
		}
		harness.ClientDisconnected(harness.clock, request)
		if len(worker.canceled) != 1 || !harness.Idle() {
			t.Errorf("cancelled %d, idle %t", len(worker.canceled), harness.Idle())
		}
	})
}

// TestClientDisconnected_BeforeOrAfterReceipt_NothingInFlight checks both orders of receipt and disconnect. The event
// loop handles events before requests, so a disconnect may be handled before the request that it refers to.
func TestClientDisconnected_BeforeOrAfterReceipt_NothingInFlight(t *testing.T) {
	for _, disconnectFirst := range []bool{true, false} {
		harness := newHarness(t, 1, nil)
		request := NewRequest()
		request.StartedAt = harness.clock
		request.Timeout = testScheduler().Classes[idempotentClass].Timeout
		request.Replica.Function = "f"
		disconnect, receive := func() { harness.ClientDisconnected(harness.clock, request) }, func() { harness.RequestReceived(harness.clock, request) }
		if disconnectFirst {
			disconnect()
			receive()
		} else {
			receive()
			disconnect()
		}
		worker := harness.clients["w0"]
		if n := len(worker.sent) + len(worker.queued); n > 0 || harness.hasAttempt(request) || !harness.Idle() {
			t.Errorf("disconnect first %v: %d attempts in flight for a client that disconnected", disconnectFirst, n)
		}
		if counts := harness.Counts(); disconnectFirst && counts.Attempts != 0 || counts.Disconnected != 1 || counts.Shed != 0 {
			t.Errorf("disconnect first %v: counts %+v", disconnectFirst, counts)
		}
		select {
		case f := <-request.Response():
			t.Errorf("disconnect first %v: response %+v", disconnectFirst, f)
		default:
		}
	}
}

// TestClientDisconnected_UnsentAttempt_IsCancelled checks that an unsent attempt is cancelled even if sent attempts
// may not be cancelled.
func TestClientDisconnected_UnsentAttempt_IsCancelled(t *testing.T) {
	for _, mayCancel := range []bool{true, false} {
		for _, sent := range []bool{true, false} {
			harness := newHarness(t, 1, func(s *Settings) { s.Scheduler.CancelAllowed = mayCancel })
			staysSent := sent && !mayCancel
			worker := harness.clients["w0"]
			worker.holdsWrites = !sent
			request := harness.submit(idempotentClass)
			harness.sentAttempt(request)
			harness.ClientDisconnected(harness.clock, request)
			if got := len(worker.sent) + len(worker.queued); got != 0 && !staysSent {
				t.Errorf("may cancel %v, sent %v: the worker client still has %d attempts", mayCancel, sent, got)
			}
			if cancelled := len(worker.canceled) > 0; cancelled != (sent && mayCancel) {
				t.Errorf("may cancel %v, sent %v: cancelled %v", mayCancel, sent, cancelled)
			}
			if staysSent {
				harness.endWith(request, scheduler.OK) // no client waits for this response
			}
			if !harness.Idle() {
				t.Errorf("may cancel %v, sent %v: the request was not removed", mayCancel, sent)
			}
		}
	}
}

// TestClientDisconnected_BetweenAttempts_NothingSent checks each attempt status that would otherwise cause a retry.
func TestClientDisconnected_BetweenAttempts_NothingSent(t *testing.T) {
	for _, end := range []scheduler.Status{scheduler.Overloaded, scheduler.NotLoaded, scheduler.ConnectFailed, scheduler.Error, scheduler.Timeout, scheduler.Reset} {
		inBothOrders(t, "disconnected", "ended", func(t *testing.T, disconnectFirst bool) {
			harness := newHarness(t, 3, nil)
			request := harness.submit(idempotentClass)
			_, attempt := harness.sentAttempt(request)
			endAttempt := func() { harness.AttemptEnded(harness.clock, attempt, workerconn.Result{Status: end, QueueDepth: -1}) }
			if disconnectFirst {
				harness.ClientDisconnected(harness.clock, request)
				before := harness.Counts().Attempts
				endAttempt()
				if n := harness.Counts().Attempts; n != before {
					t.Errorf("after status %v %d more attempts", end, n-before)
				}
			} else {
				endAttempt()
				harness.ClientDisconnected(harness.clock, request)
			}
			before := harness.Counts().Attempts
			harness.advance(3 * time.Second)
			if n := harness.Counts().Attempts; n != before || !harness.Idle() {
				t.Errorf("after status %v %d more attempts, idle %v", end, n-before, harness.Idle())
			}
			harness.wantResponse(request, 0)
		})
	}
}

// TestClientDisconnected_AwaitingLoadOrder_NothingSent checks that no attempt is made after the load order ends. The
// load order itself is not cancelled, because other requests may use the replica.
func TestClientDisconnected_AwaitingLoadOrder_NothingSent(t *testing.T) {
	inBothOrders(t, "disconnected", "loaded", func(t *testing.T, disconnectFirst bool) {
		harness := newHarness(t, 1, func(s *Settings) { s.Scheduler.ReportsNotLoaded, s.Scheduler.LoadOrdersAllowed = true, true })
		request := harness.submit(idempotentClass)
		worker := harness.clients["w0"]
		for len(worker.orders) > 0 { // residency queries, followed by the load order
			order := worker.orders[0]
			worker.orders = worker.orders[1:]
			if order.Load.Replicas == 0 {
				harness.LoadEnded(harness.clock, order, scheduler.OK, 0)
				continue
			}
			if disconnectFirst {
				harness.ClientDisconnected(harness.clock, request)
			}
			harness.LoadEnded(harness.clock, order, scheduler.OK, 1)
			if !disconnectFirst {
				harness.sentAttempt(request)
				harness.ClientDisconnected(harness.clock, request)
			}
		}
		if n := harness.Counts().Attempts; disconnectFirst && n != 0 || len(worker.sent)+len(worker.queued) > 0 || !harness.Idle() {
			t.Errorf("%d attempts, %d in flight", n, len(worker.sent)+len(worker.queued))
		}
		harness.wantResponse(request, 0)
	})
}
