// Package looplag decides how much sooner than it must be a final answer is given, by how late a front end's own
// process has been lately. It is pure: times come in and go out as durations since the process's start.
package looplag

import "time"

const (
	heed   = 5 * time.Millisecond   // lateness up to which nothing is done
	passes = 4                      // times that a call waits for the process: to be read, for the loop twice, to be written
	most   = 250 * time.Millisecond // that answers are ever given sooner
)

// Lateness remembers how late a front end came to what was due: its loop to timers, its connections to answers that were
// to be written. The worst counts for at least the longest time that a client waits, and twice that at most: as long as
// a call is in hand that was there then.
//
// It guards against a process that shares its core with others, or is held to a part of one: it stands still for tens of
// milliseconds at a time, requests are read late, and answers that were given in time by its own clock are written when
// their clients have given up. It would harm where one long stall is all there was: for a while calls are given up
// that could still have been served.
type Estimator struct {
	span          time.Duration
	since         time.Duration // when the present span began
	worst, before time.Duration // in the present span, and in the one before
}

// New returns a Lateness that has seen nothing, of a front end whose clients wait for so long at most.
func New(longest time.Duration) Estimator { return Estimator{span: max(longest, time.Second)} }

// Came takes the news that what was due so long ago is done at now.
func (l *Estimator) Observe(now, late time.Duration) {
	l.pass(now)
	l.worst = max(l.worst, late)
}

func (l *Estimator) pass(now time.Duration) {
	switch age := now - l.since; {
	case age >= 2*l.span:
		l.before, l.worst, l.since = 0, 0, now
	case age >= l.span:
		l.before, l.worst, l.since = l.worst, 0, now
	}
}

// Lead is how much sooner than usual final answers are given at now.
func (l *Estimator) DeadlineMargin(now time.Duration) time.Duration {
	l.pass(now)
	late := max(l.worst, l.before)
	if late <= heed {
		return 0
	}
	return min(most, passes*late)
}
