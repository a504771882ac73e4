// Package shed decides when a front end's loop refuses arrivals because it is behind: by how long they waited
// in its queue, not by how many wait. It is pure: times come in as durations since the process's start.
package shed

import "time"

const (
	target   = 5 * time.Millisecond   // a wait in the queue that is of no matter
	interval = 100 * time.Millisecond // a queue that was never shorter than target for so long is standing
)

// Shed tells a burst, which passes, from a queue that stands. The signal is that of CoDel (K. Nichols, V.
// Jacobson, "Controlling Queue Delay", 2012): the least wait in an interval. What it does about it is simpler
// than a router may: while the queue stands, each call that waited longer than target is refused at once. A
// refusal costs a small part of a decided call, so that the queue empties and what is taken is fresh.
//
// It guards against a loop that spends its time on calls whose clients have nearly given up. It could harm
// where the loop is stopped for longer than interval now and then, by the machine: one interval's calls are
// then refused though there is room.
type Shed struct {
	above    bool          // the queue has stood above target
	since    time.Duration // from this time on
	standing bool
}

// Arrived takes at now a call that waited so long in the queue, and says whether to refuse it.
func (s *Shed) Arrived(now, waited time.Duration) bool {
	if waited < target {
		*s = Shed{}
		return false
	}
	if !s.above {
		s.above, s.since = true, now
	}
	s.standing = s.standing || now-s.since >= interval
	return s.standing
}
