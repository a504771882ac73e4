// Package loadshed decides when a front end's loop refuses arrivals because it is behind: by how long they waited
// in its queue, not by how many wait. It is pure: times come in as durations since the process's start.
package loadshed

import (
	"math"
	"time"
)

const (
	target   = 5 * time.Millisecond   // a wait in the queue that is of no matter
	interval = 100 * time.Millisecond // a queue that was never shorter than target for so long is standing, never longer: not
	door     = 2 * target             // the wait that is let in while the queue stands
	stale    = 4 * door               // the wait beyond which what was let in before is refused
	span     = interval / 10          // over which the pace of the loop is counted
	fade     = 0.95                   // of the best pace seen, from span to span
)

// Shed tells a burst, which passes, from a queue that stands. The signal is that of CoDel (K. Nichols, V.
// Jacobson, "Controlling Queue Delay", 2012): the least wait in an interval. What it does about it is simpler
// than a router may: while the queue stands, a call is refused before it joins the queue if it would wait longer
// than door there, and what joined before and waited longer than stale is refused when its turn comes.
//
// A call that is refused before it joins costs the loop nothing. Where each refusal takes a fifth of what a
// decided call takes, a loop at four times what it can do has a quarter of its time left for calls that it takes.
//
// It guards against a loop that spends its time on calls whose clients have nearly given up. It could harm
// where the loop is stopped for longer than interval now and then, by the machine: one interval's calls are
// then refused though there is room.
type Shedder struct {
	above    bool          // the last wait was above target
	since    time.Duration // and so were all from this time on, or below it
	standing bool

	pace     float64       // calls that the loop decides in a second while some wait
	counting bool          // the queue was never empty
	from     time.Duration // since this time
	count    int           // and so many were decided
}

// Arrived takes at now a call that waited so long in the queue, and says whether to refuse it.
func (s *Shedder) ShouldReject(now, waited time.Duration) (refuse bool) {
	if above := waited >= target; above != s.above {
		s.above, s.since = above, now
	}
	if now-s.since >= interval {
		s.standing = s.above
	}
	refuse = s.standing && waited >= stale
	s.counted(now, refuse)
	return refuse
}

// counted counts the pace: the best one lately, so that a loop which stood still for another reason, say to
// collect garbage, does not shut the door.
func (s *Shedder) counted(now time.Duration, refused bool) {
	if !s.counting {
		s.counting, s.from, s.count = true, now, 0
	}
	if took := now - s.from; took >= span {
		s.pace = max(fade*s.pace, float64(s.count)/took.Seconds())
		s.from, s.count = now, 0
	}
	if !refused {
		s.count++
	}
}

// Empty takes the news that nothing waits at now. It guards against a door that is still narrow long after the
// overload, as no call came that could have shown it.
func (s *Shedder) QueueEmptied(now time.Duration) {
	if s.above {
		s.above, s.since = false, now
	}
	s.counting = false
	s.standing = s.standing && now-s.since < interval
}

// Room is how many calls may wait in the queue; one that finds as many there is refused at once.
func (s *Shedder) QueueLimit() int {
	if !s.standing {
		return math.MaxInt
	}
	return max(1, int(s.pace*door.Seconds()))
}
