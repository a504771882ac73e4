// Package loadshed decides when a front end's event loop rejects requests because it lags behind: by how long they
// waited in its queue, not by how many wait. It is pure: times come in as durations since the process's start.
package loadshed

import (
	"math"
	"time"
)

const (
	// target is the queue delay that does not matter (CoDel's TARGET).
	target = 5 * time.Millisecond
	// interval is how long the delay must stay on one side of target before the queue counts as standing, or no
	// longer as standing (CoDel's INTERVAL).
	interval = 100 * time.Millisecond
	// admittedDelay is the expected queue delay up to which requests are admitted while the queue stands.
	admittedDelay = 2 * target
	// maxDelay is the queue delay from which a request that was admitted before is rejected while the queue stands.
	maxDelay = 4 * admittedDelay
	// rateWindow is the least time over which the decision rate is counted.
	rateWindow = interval / 10
	// rateDecay is applied to the best decision rate from window to window.
	rateDecay = 0.95
)

// Shedder tells a burst, which passes, from a standing queue. The signal is that of CoDel (K. Nichols, V. Jacobson,
// "Controlling Queue Delay", 2012): the least delay in an interval. The reaction is simpler than a router's may be:
// while the queue stands, a request is rejected before it joins the queue if it would wait longer than admittedDelay
// there (QueueLimit), and one that joined earlier and waited for maxDelay is rejected when it leaves the queue
// (ShouldReject).
//
// A request rejected before it joins costs the loop nothing. Where each rejection costs a fifth of a decision, a
// loop at four times its capacity has a quarter of its time left for the requests that it admits.
//
// It guards against a loop that spends its time on requests whose clients have nearly given up. It could harm where
// the machine stops the loop for longer than interval now and then: one interval's requests are then rejected
// although there is room.
//
// The zero value is ready to use. It belongs to one goroutine, the event loop.
type Shedder struct {
	aboveTarget bool          // the last delay was target or more
	since       time.Duration // from when on all delays were on that side of target
	standing    bool          // the queue counts as standing
	decisions   rateMeter
}

// ShouldReject takes a request that left the queue at now after it waited there for delay, and reports whether the
// event loop must reject it.
func (s *Shedder) ShouldReject(now, delay time.Duration) bool {
	if aboveTarget := delay >= target; aboveTarget != s.aboveTarget {
		s.aboveTarget, s.since = aboveTarget, now
	}
	if now-s.since >= interval {
		s.standing = s.aboveTarget
	}
	reject := s.standing && delay >= maxDelay
	s.decisions.observe(now, !reject)
	return reject
}

// QueueEmptied reports to the shedder that the queue is empty at now. It guards against a limit that stays low long
// after the overload, as no request arrived that could have shown the end of it.
func (s *Shedder) QueueEmptied(now time.Duration) {
	if s.aboveTarget {
		s.aboveTarget, s.since = false, now
	}
	s.decisions.stop()
	s.standing = s.standing && now-s.since < interval
}

// QueueLimit is how many requests may wait in the queue; one that finds as many there is to be rejected at once. It
// is math.MaxInt unless the queue stands, and at least 1.
func (s *Shedder) QueueLimit() int {
	if !s.standing {
		return math.MaxInt
	}
	return max(1, int(s.decisions.best*admittedDelay.Seconds()))
}

// rateMeter measures how many requests a second the event loop decides while its queue is never empty.
type rateMeter struct {
	best    float64       // decisions a second: the best window lately, decayed
	running bool          // a window is open: the queue was not empty since its start
	start   time.Duration // of the open window
	count   int           // decisions in it
}

// observe counts a request that left the queue at now, if it was decided and not rejected. The best recent rate
// counts, so that a loop that stood still for another reason, say to collect garbage, does not lower the limit.
func (m *rateMeter) observe(now time.Duration, decided bool) {
	if !m.running {
		m.running, m.start, m.count = true, now, 0
	}
	if elapsed := now - m.start; elapsed >= rateWindow {
		m.best = max(rateDecay*m.best, float64(m.count)/elapsed.Seconds())
		m.start, m.count = now, 0
	}
	if decided {
		m.count++
	}
}

// stop drops the open window.
func (m *rateMeter) stop() { m.running = false }
