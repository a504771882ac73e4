package gateway

import (
	"testing"

	"havencart/control"
)

// TestAClientThatLeftBeforeItsArrivalIsSentNowhere: the loop takes events before arrivals, so that a client's leaving
// may be heard before the call that it sent.
func TestAClientThatLeftBeforeItsArrivalIsSentNowhere(t *testing.T) {
	for _, leftFirst := range []bool{true, false} {
		b := newBench(t, 1, nil)
		c := NewCall()
		c.Since, c.Patience = b.at, classes().Classes[safe].Deadline
		c.Copy.Function = "f"
		left, arrived := func() { b.Left(b.at, c) }, func() { b.Arrive(b.at, c) }
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
		if counts := b.Counts(); leftFirst && counts.Attempts != 0 || counts.Left != 1 || counts.TurnedAway != 0 {
			t.Errorf("left first %v: counts %+v", leftFirst, counts)
		}
		select {
		case f := <-c.Answer():
			t.Errorf("left first %v: answered %+v", leftFirst, f)
		default:
		}
	}
}

// TestWhatWaitsAtALinkIsTakenBackWhenItsClientLeaves also where calls that have left may not be called back.
func TestWhatWaitsAtALinkIsTakenBackWhenItsClientLeaves(t *testing.T) {
	for _, mayCancel := range []bool{true, false} {
		for _, hasLeft := range []bool{true, false} {
			b := newBench(t, 1, func(s *Settings) { s.Control.MayCancel = mayCancel })
			l := b.links["w0"]
			l.holds = !hasLeft
			c := b.call(safe)
			b.out(c)
			b.Left(b.at, c)
			if got := len(l.left) + len(l.queued); got != 0 && !(hasLeft && !mayCancel) {
				t.Errorf("may cancel %v, has left %v: %d are with the link", mayCancel, hasLeft, got)
			}
			if called := len(l.canceled) > 0; called != (hasLeft && mayCancel) {
				t.Errorf("may cancel %v, has left %v: called back %v", mayCancel, hasLeft, called)
			}
			if hasLeft && !mayCancel {
				b.end(c, control.OK) // nobody waits for it
			}
			if !b.Idle() {
				t.Errorf("may cancel %v, has left %v: not forgotten", mayCancel, hasLeft)
			}
		}
	}
}
