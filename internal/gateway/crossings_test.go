package gateway

import (
	"testing"
	"time"

	"havencart/internal/native/muxclient"
	"havencart/scheduler"
)

// TestAClientThatLeftBeforeItsArrivalIsSentNowhere: the loop takes events before arrivals, so that a client's leaving
// may be heard before the call that it sent.
func TestAClientThatLeftBeforeItsArrivalIsSentNowhere(t *testing.T) {
	for _, leftFirst := range []bool{true, false} {
		h := newHarness(t, 1, nil)
		request := NewRequest()
		request.StartedAt, request.Timeout = h.now, testScheduler().Classes[idempotentClass].Timeout
		request.Replica.Function = "f"
		left, arrived := func() { h.ClientDisconnected(h.now, request) }, func() { h.RequestReceived(h.now, request) }
		if leftFirst {
			left()
			arrived()
		} else {
			arrived()
			left()
		}
		worker := h.workers["w0"]
		if n := len(worker.sent) + len(worker.queued); n > 0 || h.inFlight(request) || !h.Idle() {
			t.Errorf("left first %v: %d attempts are out for a client that left", leftFirst, n)
		}
		if counts := h.Counts(); leftFirst && counts.Attempts != 0 || counts.Disconnected != 1 || counts.Shed != 0 {
			t.Errorf("left first %v: counts %+v", leftFirst, counts)
		}
		select {
		case f := <-request.Response():
			t.Errorf("left first %v: answered %+v", leftFirst, f)
		default:
		}
	}
}

// TestWhatWaitsAtALinkIsTakenBackWhenItsClientLeaves also where calls that have left may not be called back.
func TestWhatWaitsAtALinkIsTakenBackWhenItsClientLeaves(t *testing.T) {
	for _, mayCancel := range []bool{true, false} {
		for _, hasLeft := range []bool{true, false} {
			h := newHarness(t, 1, func(s *Settings) { s.Scheduler.CancelAllowed = mayCancel })
			worker := h.workers["w0"]
			worker.holdsWrites = !hasLeft
			request := h.submit(idempotentClass)
			h.sentAttempt(request)
			h.ClientDisconnected(h.now, request)
			if got := len(worker.sent) + len(worker.queued); got != 0 && !(hasLeft && !mayCancel) {
				t.Errorf("may cancel %v, has left %v: %d are with the link", mayCancel, hasLeft, got)
			}
			if called := len(worker.canceled) > 0; called != (hasLeft && mayCancel) {
				t.Errorf("may cancel %v, has left %v: called back %v", mayCancel, hasLeft, called)
			}
			if hasLeft && !mayCancel {
				h.endWith(request, scheduler.OK) // nobody waits for it
			}
			if !h.Idle() {
				t.Errorf("may cancel %v, has left %v: not forgotten", mayCancel, hasLeft)
			}
		}
	}
}

// crossed plays two events in both orders.
func inBothOrders(t *testing.T, first, second string, play func(t *testing.T, firstFirst bool)) {
	t.Run(first+", then "+second, func(t *testing.T) { play(t, true) })
	t.Run(second+", then "+first, func(t *testing.T) { play(t, false) })
}

// TestAClientThatLeavesBetweenAttemptsIsSentNowhere: its attempt was turned away, and the next one would go out.
func TestAClientThatLeavesBetweenAttemptsIsSentNowhere(t *testing.T) {
	for _, end := range []scheduler.Status{scheduler.Overloaded, scheduler.NotLoaded, scheduler.ConnectFailed, scheduler.Error, scheduler.Timeout, scheduler.Reset} {
		inBothOrders(t, "left", "ended", func(t *testing.T, leftFirst bool) {
			h := newHarness(t, 3, nil)
			request := h.submit(idempotentClass)
			_, a := h.sentAttempt(request)
			ended := func() { h.AttemptEnded(h.now, a, muxclient.Result{Status: end, QueueDepth: -1}) }
			if leftFirst {
				h.ClientDisconnected(h.now, request)
				before := h.Counts().Attempts
				ended()
				if n := h.Counts().Attempts; n != before {
					t.Errorf("after %v %d attempts more", end, n-before)
				}
			} else {
				ended()
				h.ClientDisconnected(h.now, request)
			}
			before := h.Counts().Attempts
			h.advance(3 * time.Second)
			if n := h.Counts().Attempts; n != before || !h.Idle() {
				t.Errorf("after %v %d attempts more, idle %v", end, n-before, h.Idle())
			}
			h.wantResponse(request, 0)
		})
	}
}

// TestAClientThatLeavesWhileItsCallWaitsForAnOrderIsSentNowhere: the order goes on, it may serve others.
func TestAClientThatLeavesWhileItsCallWaitsForAnOrderIsSentNowhere(t *testing.T) {
	inBothOrders(t, "left", "loaded", func(t *testing.T, leftFirst bool) {
		h := newHarness(t, 1, func(s *Settings) { s.Scheduler.AnswersNotLoaded, s.Scheduler.LoadOrdersAllowed = true, true })
		request := h.submit(idempotentClass)
		worker := h.workers["w0"]
		for len(worker.orders) > 0 { // questions for standing copies, then the order
			o := worker.orders[0]
			worker.orders = worker.orders[1:]
			if o.Load.Replicas == 0 {
				h.LoadEnded(h.now, o, scheduler.OK, 0)
				continue
			}
			if leftFirst {
				h.ClientDisconnected(h.now, request)
			}
			h.LoadEnded(h.now, o, scheduler.OK, 1)
			if !leftFirst {
				h.sentAttempt(request)
				h.ClientDisconnected(h.now, request)
			}
		}
		if n := h.Counts().Attempts; leftFirst && n != 0 || len(worker.sent)+len(worker.queued) > 0 || !h.Idle() {
			t.Errorf("%d attempts, %d out", n, len(worker.sent)+len(worker.queued))
		}
		h.wantResponse(request, 0)
	})
}

// TestAnAnswerOfAWorkerThatWasJustRemovedCounts, whichever is heard first; one that comes back is used again.
func TestAnAnswerOfAWorkerThatWasJustRemovedCounts(t *testing.T) {
	inBothOrders(t, "removed", "answered", func(t *testing.T, removedFirst bool) {
		h := newHarness(t, 1, nil)
		request := h.submit(nonIdempotentClass)
		if removedFirst {
			h.listWorkers(0, nil)
			h.advance(2 * time.Second / 4) // the sweep keeps what is busy
			h.endWith(request, scheduler.OK)
		} else {
			h.endWith(request, scheduler.OK)
			h.listWorkers(0, nil)
		}
		h.wantResponse(request, Served)
		h.advance(2 * time.Second)
		h.listWorkers(1, nil)
		again := h.submit(nonIdempotentClass)
		h.endWith(again, scheduler.OK)
		h.wantResponse(again, Served)
	})
}

// TestAWholeListThatDropsAWorkerAndBringsItBack leaves its calls alone, and sends it nothing meanwhile.
func TestAWholeListThatDropsAWorkerAndBringsItBack(t *testing.T) {
	h := newHarness(t, 1, nil)
	out := h.submit(idempotentClass)
	worker := h.workers["w0"]
	h.listWorkers(0, nil)
	if !worker.drained || h.inFlight(h.submit(nonIdempotentClass)) {
		t.Error("a worker that the list lacks is sent something")
	}
	h.listWorkers(1, nil)
	if worker.drained || h.opened != 1 {
		t.Errorf("drained %v, %d links opened for a worker that came back", worker.drained, h.opened)
	}
	h.endWith(out, scheduler.OK)
	h.wantResponse(out, Served)
}

// TestAGiveUpAgainstTheAnswer: the time is up and the answer is there; one end counts, and it is told as it was.
func TestAGiveUpAgainstTheAnswer(t *testing.T) {
	inBothOrders(t, "answer", "time-out", func(t *testing.T, answerFirst bool) {
		h := newHarness(t, 1, nil)
		request := h.submit(nonIdempotentClass)
		worker, a := h.sentAttempt(request)
		answer := func() {
			worker.remove(a)
			h.AttemptEnded(h.now, a, muxclient.Result{Status: scheduler.OK, QueueDepth: -1, Response: &muxclient.Response{Body: []byte("x")}})
		}
		if answerFirst {
			answer()
			h.advance(3 * time.Second)
			h.wantResponse(request, Served)
		} else {
			h.advance(2*time.Second - 20*ms) // until it is due
			answer()
			h.wantResponse(request, Failed) // it may have run
		}
		if n := h.Counts().Attempts; n != 1 || !h.Idle() {
			t.Errorf("%d attempts, idle %v", n, h.Idle())
		}
	})
}

// TestALoopThatIsLateAnswersSooner: it comes to what is due 50 ms late each time, as where it shares its core, and a
// final answer that it gives then is written later still.
func TestALoopThatIsLateAnswersSooner(t *testing.T) {
	for _, late := range []time.Duration{0, 50 * ms} {
		h := newHarness(t, 1, nil)
		request := h.submit(nonIdempotentClass)
		h.sentAttempt(request) // and is never answered
		began := h.now
		for kind := ResponseKind(0); kind == 0; kind = h.responseKind(request) {
			h.now = max(h.now, h.NextTimer()) + late
			h.FireTimers(h.now)
		}
		left := began + request.Timeout - h.now
		if left < late || late == 0 && left > 30*ms {
			t.Errorf("late by %v it answered %v before its client gives up", late, left)
		}
	}
}
