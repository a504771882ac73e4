// Package loadshed decides when a front end's event loop sheds requests because it is overloaded. The decision depends
// on the delay of requests in the loop's queue, not on the queue length. The package does no I/O and reads no clock:
// times are passed in as durations since the start of the process.
package loadshed

import (
	"math"
	"time"
)

const (
	// target is the acceptable queue delay (CoDel's TARGET).
	target = 5 * time.Millisecond
	// interval is how long the delay must stay at or above target before the queue counts as a standing queue, and below
	// target before it no longer does (CoDel's INTERVAL).
	interval = 100 * time.Millisecond
	// admittedDelay is the expected queue delay up to which requests are admitted during a standing queue.
	admittedDelay = 2 * target
	// maxDelay is the queue delay from which an already queued request is rejected during a standing queue.
	maxDelay = 4 * admittedDelay
	// rateWindow is the minimum length of a window over which the decision rate is measured.
	rateWindow = interval / 10
	// rateDecay is the factor by which the best decision rate decays with each window.
	rateDecay = 0.95
	// preferredFactor is the ratio of the queue limit for preferred requests to that for others, so that others never
	// fill the queue for preferred requests.
	preferredFactor = 4
	// minPreferredLimit is the minimum queue limit for preferred requests. Where other work of the process delays the
	// event loop, the measured rate of its decisions is too low to derive the limit from it.
	minPreferredLimit = 16
	// maxPreferredDelay is maxDelay for preferred requests. It is long, because the delay is mostly caused by other
	// requests.
	maxPreferredDelay = 500 * time.Millisecond
)

// Priority is the priority of a request among those that may have to be shed.
type Priority int

// The priorities.
const (
	Normal    Priority = iota
	Preferred          // shed later than normal requests
)

// Shedder distinguishes a short burst from a standing queue. Its signal is that of CoDel (K. Nichols, V. Jacobson,
// "Controlling Queue Delay", 2012): the minimum delay within an interval. Its reaction is simpler than CoDel's in a
// router: during a standing queue, a request is rejected before it is queued if its delay would exceed admittedDelay
// (QueueLimit), and a request that was queued earlier and has waited for maxDelay is rejected when it leaves the queue
// (ShouldReject).
//
// Rejecting a request before it is queued costs the loop nothing. If every rejection took a fifth of the time of a
// decision, a loop at four times its capacity would have only a quarter of its time left for the requests it admits.
//
// Shedding keeps the loop from spending its time on requests whose clients are about to give up. Its drawback appears
// where the machine occasionally stops the loop for longer than interval: requests are then rejected for one interval
// although there is capacity.
//
// The zero value is ready to use. A Shedder belongs to a single goroutine, the event loop.
type Shedder struct {
	aboveTarget bool          // whether the last delay was at or above target
	since       time.Duration // time since which all delays have been on the same side of target
	standing    bool          // whether the queue counts as a standing queue
	decisions   rateMeter
}

// ShouldReject records that a request left the queue at now after it had waited for delay, and reports whether the
// event loop must reject it. During a standing queue, a preferred request may have waited longer than others.
func (s *Shedder) ShouldReject(now, delay time.Duration, priority Priority) bool {
	if aboveTarget := delay >= target; aboveTarget != s.aboveTarget {
		s.aboveTarget, s.since = aboveTarget, now
	}
	if now-s.since >= interval {
		s.standing = s.aboveTarget
	}
	longest := maxDelay
	if priority == Preferred {
		longest = maxPreferredDelay
	}
	reject := s.standing && delay >= longest
	s.decisions.observe(now, !reject)
	return reject
}

// QueueEmptied records that the queue is empty at now. Without it, the limit would stay low long after an overload if
// no request arrived whose delay could show that the overload is over.
func (s *Shedder) QueueEmptied(now time.Duration) {
	if s.aboveTarget {
		s.aboveTarget, s.since = false, now
	}
	s.decisions.stop()
	s.standing = s.standing && now-s.since < interval
}

// QueueLimit returns the maximum number of requests in the queue; a request that arrives at a full queue is to be
// rejected immediately. The limit is math.MaxInt if there is no standing queue, and is always at least 1.
func (s *Shedder) QueueLimit() int {
	if !s.standing {
		return math.MaxInt
	}
	return max(1, int(s.decisions.bestRate*admittedDelay.Seconds()))
}

// LimitFor returns the queue limit for a request of the given priority, where limit is the result of QueueLimit.
func LimitFor(limit int, priority Priority) int {
	isUnlimited := limit > math.MaxInt/preferredFactor
	if priority == Normal || isUnlimited {
		return limit
	}
	return max(minPreferredLimit, preferredFactor*limit)
}

// rateMeter measures the number of decisions per second that the event loop makes while its queue is not empty.
type rateMeter struct {
	bestRate float64       // decayed maximum of the rates of recent windows, in decisions per second
	running  bool          // whether a window is open, which requires that the queue was not empty since its start
	start    time.Duration // start of the open window
	count    int           // number of decisions in the open window
}

// observe records that a request left the queue at now, and counts it unless it was rejected. The meter keeps the best
// recent rate, so that a pause of the loop for another reason, such as garbage collection, does not lower the limit.
func (m *rateMeter) observe(now time.Duration, decided bool) {
	if !m.running {
		m.running, m.start, m.count = true, now, 0
	}
	if elapsed := now - m.start; elapsed >= rateWindow {
		m.bestRate = max(rateDecay*m.bestRate, float64(m.count)/elapsed.Seconds())
		m.start, m.count = now, 0
	}
	if decided {
		m.count++
	}
}

// stop discards the open window.
func (m *rateMeter) stop() { m.running = false }
