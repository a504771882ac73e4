package gateway

import (
	"testing"
	"time"

	"havencart/internal/native/muxclient"
	"havencart/scheduler"
)

func TestClientDisconnected_AnyStage_NoResponse(t *testing.T) {
	t.Run("attempt in flight", func(t *testing.T) {
		h := newHarness(t, 1, nil)
		request := h.submit(idempotentClass)
		worker, _ := h.sentAttempt(request)
		h.ClientDisconnected(h.clock, request)
		if len(worker.canceled) != 1 || !h.Idle() {
			t.Errorf("cancelled %d, idle %t", len(worker.canceled), h.Idle())
		}
		h.wantResponse(request, 0)
	})
	t.Run("request queued", func(t *testing.T) {
		h := newHarness(t, 0, nil)
		request := h.submit(idempotentClass)
		h.ClientDisconnected(h.clock, request)
		if !h.Idle() {
			t.Error("the request is kept")
		}
		h.advance(3 * time.Second)
		h.wantResponse(request, 0)
	})
	t.Run("response streamed", func(t *testing.T) {
		h := newHarness(t, 1, nil)
		request := h.submit(nonIdempotentClass)
		worker, a := h.sentAttempt(request)
		h.ResponseStarted(h.clock, a, muxclient.Result{Status: scheduler.OK, QueueDepth: -1, Response: &muxclient.Response{Stream: &muxclient.Stream{}}})
		h.wantResponse(request, Served)
		h.advance(3 * time.Second) // neither timeout nor deadline applies to it
		if len(worker.canceled) != 0 {
			t.Fatal("a streamed response was cut off")
		}
		h.ClientDisconnected(h.clock, request)
		if len(worker.canceled) != 1 || !h.Idle() {
			t.Errorf("cancelled %d, idle %t", len(worker.canceled), h.Idle())
		}
	})
}

// TestClientDisconnected_BeforeOrAfterReceipt_NothingInFlight covers both orders: the event loop takes events before requests, so
// that a disconnect may be handled before the request that it is about.
func TestClientDisconnected_BeforeOrAfterReceipt_NothingInFlight(t *testing.T) {
	for _, disconnectFirst := range []bool{true, false} {
		h := newHarness(t, 1, nil)
		request := NewRequest()
		request.StartedAt, request.Timeout = h.clock, testScheduler().Classes[idempotentClass].Timeout
		request.Replica.Function = "f"
		disconnect, receive := func() { h.ClientDisconnected(h.clock, request) }, func() { h.RequestReceived(h.clock, request) }
		if disconnectFirst {
			disconnect()
			receive()
		} else {
			receive()
			disconnect()
		}
		worker := h.clients["w0"]
		if n := len(worker.sent) + len(worker.queued); n > 0 || h.hasAttempt(request) || !h.Idle() {
			t.Errorf("disconnect first %v: %d attempts in flight for a client that disconnected", disconnectFirst, n)
		}
		if counts := h.Counts(); disconnectFirst && counts.Attempts != 0 || counts.Disconnected != 1 || counts.Shed != 0 {
			t.Errorf("disconnect first %v: counts %+v", disconnectFirst, counts)
		}
		select {
		case f := <-request.Response():
			t.Errorf("disconnect first %v: response %+v", disconnectFirst, f)
		default:
		}
	}
}

// TestClientDisconnected_UnsentAttempt_IsTakenBack holds also where sent attempts may not be cancelled.
func TestClientDisconnected_UnsentAttempt_IsTakenBack(t *testing.T) {
	for _, mayCancel := range []bool{true, false} {
		for _, sent := range []bool{true, false} {
			h := newHarness(t, 1, func(s *Settings) { s.Scheduler.CancelAllowed = mayCancel })
			staysSent := sent && !mayCancel
			worker := h.clients["w0"]
			worker.holdsWrites = !sent
			request := h.submit(idempotentClass)
			h.sentAttempt(request)
			h.ClientDisconnected(h.clock, request)
			if got := len(worker.sent) + len(worker.queued); got != 0 && !staysSent {
				t.Errorf("may cancel %v, sent %v: %d are with the worker client", mayCancel, sent, got)
			}
			if cancelled := len(worker.canceled) > 0; cancelled != (sent && mayCancel) {
				t.Errorf("may cancel %v, sent %v: cancelled %v", mayCancel, sent, cancelled)
			}
			if staysSent {
				h.endWith(request, scheduler.OK) // nothing waits for it
			}
			if !h.Idle() {
				t.Errorf("may cancel %v, sent %v: not forgotten", mayCancel, sent)
			}
		}
	}
}

// TestClientDisconnected_BetweenAttempts_NothingSent has an attempt end with each status that would be retried.
func TestClientDisconnected_BetweenAttempts_NothingSent(t *testing.T) {
	for _, end := range []scheduler.Status{scheduler.Overloaded, scheduler.NotLoaded, scheduler.ConnectFailed, scheduler.Error, scheduler.Timeout, scheduler.Reset} {
		inBothOrders(t, "disconnected", "ended", func(t *testing.T, disconnectFirst bool) {
			h := newHarness(t, 3, nil)
			request := h.submit(idempotentClass)
			_, a := h.sentAttempt(request)
			endAttempt := func() { h.AttemptEnded(h.clock, a, muxclient.Result{Status: end, QueueDepth: -1}) }
			if disconnectFirst {
				h.ClientDisconnected(h.clock, request)
				before := h.Counts().Attempts
				endAttempt()
				if n := h.Counts().Attempts; n != before {
					t.Errorf("after status %v %d more attempts", end, n-before)
				}
			} else {
				endAttempt()
				h.ClientDisconnected(h.clock, request)
			}
			before := h.Counts().Attempts
			h.advance(3 * time.Second)
			if n := h.Counts().Attempts; n != before || !h.Idle() {
				t.Errorf("after status %v %d more attempts, idle %v", end, n-before, h.Idle())
			}
			h.wantResponse(request, 0)
		})
	}
}

// TestClientDisconnected_AwaitingLoadOrder_NothingSent leaves the load order: it may serve other requests.
func TestClientDisconnected_AwaitingLoadOrder_NothingSent(t *testing.T) {
	inBothOrders(t, "disconnected", "loaded", func(t *testing.T, disconnectFirst bool) {
		h := newHarness(t, 1, func(s *Settings) { s.Scheduler.AnswersNotLoaded, s.Scheduler.LoadOrdersAllowed = true, true })
		request := h.submit(idempotentClass)
		worker := h.clients["w0"]
		for len(worker.orders) > 0 { // residency queries, then the order
			o := worker.orders[0]
			worker.orders = worker.orders[1:]
			if o.Load.Replicas == 0 {
				h.LoadEnded(h.clock, o, scheduler.OK, 0)
				continue
			}
			if disconnectFirst {
				h.ClientDisconnected(h.clock, request)
			}
			h.LoadEnded(h.clock, o, scheduler.OK, 1)
			if !disconnectFirst {
				h.sentAttempt(request)
				h.ClientDisconnected(h.clock, request)
			}
		}
		if n := h.Counts().Attempts; disconnectFirst && n != 0 || len(worker.sent)+len(worker.queued) > 0 || !h.Idle() {
			t.Errorf("%d attempts, %d in flight", n, len(worker.sent)+len(worker.queued))
		}
		h.wantResponse(request, 0)
	})
}
