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
		b := newBench(t, 1, nil)
		c := NewRequest()
		c.StartedAt, c.Timeout = b.at, classes().Classes[safe].Timeout
		c.Replica.Function = "f"
		left, arrived := func() { b.ClientDisconnected(b.at, c) }, func() { b.RequestReceived(b.at, c) }
		if leftFirst {
			left()
			arrived()
		} else {
			arrived()
			left()
		}
		l := b.links["w0"]
		if n := len(l.left) + len(l.queued); n > 0 || b.isOut(c) || !b.Idle() {
			t.Errorf("left first %v: %d attempts are out for a client that left", leftFirst, n)
		}
		if counts := b.Counts(); leftFirst && counts.Attempts != 0 || counts.Disconnected != 1 || counts.Shed != 0 {
			t.Errorf("left first %v: counts %+v", leftFirst, counts)
		}
		select {
		case f := <-c.Response():
			t.Errorf("left first %v: answered %+v", leftFirst, f)
		default:
		}
	}
}

// TestWhatWaitsAtALinkIsTakenBackWhenItsClientLeaves also where calls that have left may not be called back.
func TestWhatWaitsAtALinkIsTakenBackWhenItsClientLeaves(t *testing.T) {
	for _, mayCancel := range []bool{true, false} {
		for _, hasLeft := range []bool{true, false} {
			b := newBench(t, 1, func(s *Settings) { s.Scheduler.CancelAllowed = mayCancel })
			l := b.links["w0"]
			l.holds = !hasLeft
			c := b.call(safe)
			b.out(c)
			b.ClientDisconnected(b.at, c)
			if got := len(l.left) + len(l.queued); got != 0 && !(hasLeft && !mayCancel) {
				t.Errorf("may cancel %v, has left %v: %d are with the link", mayCancel, hasLeft, got)
			}
			if called := len(l.canceled) > 0; called != (hasLeft && mayCancel) {
				t.Errorf("may cancel %v, has left %v: called back %v", mayCancel, hasLeft, called)
			}
			if hasLeft && !mayCancel {
				b.end(c, scheduler.OK) // nobody waits for it
			}
			if !b.Idle() {
				t.Errorf("may cancel %v, has left %v: not forgotten", mayCancel, hasLeft)
			}
		}
	}
}

// crossed plays two events in both orders.
func crossed(t *testing.T, first, second string, play func(t *testing.T, firstFirst bool)) {
	t.Run(first+", then "+second, func(t *testing.T) { play(t, true) })
	t.Run(second+", then "+first, func(t *testing.T) { play(t, false) })
}

// TestAClientThatLeavesBetweenAttemptsIsSentNowhere: its attempt was turned away, and the next one would go out.
func TestAClientThatLeavesBetweenAttemptsIsSentNowhere(t *testing.T) {
	for _, end := range []scheduler.Status{scheduler.Overloaded, scheduler.NotLoaded, scheduler.ConnectFailed, scheduler.Error, scheduler.Timeout, scheduler.Reset} {
		crossed(t, "left", "ended", func(t *testing.T, leftFirst bool) {
			b := newBench(t, 3, nil)
			c := b.call(safe)
			_, a := b.out(c)
			ended := func() { b.AttemptEnded(b.at, a, muxclient.Result{Status: end, QueueDepth: -1}) }
			if leftFirst {
				b.ClientDisconnected(b.at, c)
				before := b.Counts().Attempts
				ended()
				if n := b.Counts().Attempts; n != before {
					t.Errorf("after %v %d attempts more", end, n-before)
				}
			} else {
				ended()
				b.ClientDisconnected(b.at, c)
			}
			before := b.Counts().Attempts
			b.pass(3 * time.Second)
			if n := b.Counts().Attempts; n != before || !b.Idle() {
				t.Errorf("after %v %d attempts more, idle %v", end, n-before, b.Idle())
			}
			b.want(c, 0)
		})
	}
}

// TestAClientThatLeavesWhileItsCallWaitsForAnOrderIsSentNowhere: the order goes on, it may serve others.
func TestAClientThatLeavesWhileItsCallWaitsForAnOrderIsSentNowhere(t *testing.T) {
	crossed(t, "left", "loaded", func(t *testing.T, leftFirst bool) {
		b := newBench(t, 1, func(s *Settings) { s.Scheduler.AnswersNotLoaded, s.Scheduler.LoadOrdersAllowed = true, true })
		c := b.call(safe)
		l := b.links["w0"]
		for len(l.orders) > 0 { // questions for standing copies, then the order
			o := l.orders[0]
			l.orders = l.orders[1:]
			if o.Load.Replicas == 0 {
				b.LoadEnded(b.at, o, scheduler.OK, 0)
				continue
			}
			if leftFirst {
				b.ClientDisconnected(b.at, c)
			}
			b.LoadEnded(b.at, o, scheduler.OK, 1)
			if !leftFirst {
				b.out(c)
				b.ClientDisconnected(b.at, c)
			}
		}
		if n := b.Counts().Attempts; leftFirst && n != 0 || len(l.left)+len(l.queued) > 0 || !b.Idle() {
			t.Errorf("%d attempts, %d out", n, len(l.left)+len(l.queued))
		}
		b.want(c, 0)
	})
}

// TestAnAnswerOfAWorkerThatWasJustRemovedCounts, whichever is heard first; one that comes back is used again.
func TestAnAnswerOfAWorkerThatWasJustRemovedCounts(t *testing.T) {
	crossed(t, "removed", "answered", func(t *testing.T, removedFirst bool) {
		b := newBench(t, 1, nil)
		c := b.call(unsafe)
		if removedFirst {
			b.list(0, nil)
			b.pass(2 * time.Second / 4) // the sweep keeps what is busy
			b.end(c, scheduler.OK)
		} else {
			b.end(c, scheduler.OK)
			b.list(0, nil)
		}
		b.want(c, Served)
		b.pass(2 * time.Second)
		b.list(1, nil)
		again := b.call(unsafe)
		b.end(again, scheduler.OK)
		b.want(again, Served)
	})
}

// TestAWholeListThatDropsAWorkerAndBringsItBack leaves its calls alone, and sends it nothing meanwhile.
func TestAWholeListThatDropsAWorkerAndBringsItBack(t *testing.T) {
	b := newBench(t, 1, nil)
	out := b.call(safe)
	l := b.links["w0"]
	b.list(0, nil)
	if !l.drained || b.isOut(b.call(unsafe)) {
		t.Error("a worker that the list lacks is sent something")
	}
	b.list(1, nil)
	if l.drained || b.opened != 1 {
		t.Errorf("drained %v, %d links opened for a worker that came back", l.drained, b.opened)
	}
	b.end(out, scheduler.OK)
	b.want(out, Served)
}

// TestAGiveUpAgainstTheAnswer: the time is up and the answer is there; one end counts, and it is told as it was.
func TestAGiveUpAgainstTheAnswer(t *testing.T) {
	crossed(t, "answer", "time-out", func(t *testing.T, answerFirst bool) {
		b := newBench(t, 1, nil)
		c := b.call(unsafe)
		l, a := b.out(c)
		answer := func() {
			l.drop(a)
			b.AttemptEnded(b.at, a, muxclient.Result{Status: scheduler.OK, QueueDepth: -1, Response: &muxclient.Response{Body: []byte("x")}})
		}
		if answerFirst {
			answer()
			b.pass(3 * time.Second)
			b.want(c, Served)
		} else {
			b.pass(2*time.Second - 20*ms) // until it is due
			answer()
			b.want(c, Failed) // it may have run
		}
		if n := b.Counts().Attempts; n != 1 || !b.Idle() {
			t.Errorf("%d attempts, idle %v", n, b.Idle())
		}
	})
}

// TestALoopThatIsLateAnswersSooner: it comes to what is due 50 ms late each time, as where it shares its core, and a
// final answer that it gives then is written later still.
func TestALoopThatIsLateAnswersSooner(t *testing.T) {
	for _, late := range []time.Duration{0, 50 * ms} {
		b := newBench(t, 1, nil)
		c := b.call(unsafe)
		b.out(c) // and is never answered
		began := b.at
		for kind := ResponseKind(0); kind == 0; kind = b.final(c) {
			b.at = max(b.at, b.NextTimer()) + late
			b.FireTimers(b.at)
		}
		left := began + c.Timeout - b.at
		if left < late || late == 0 && left > 30*ms {
			t.Errorf("late by %v it answered %v before its client gives up", late, left)
		}
	}
}
