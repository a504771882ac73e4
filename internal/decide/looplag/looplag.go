// Package looplag decides how much before its deadline a final answer is given, by how far the front end's own
// process has lagged recently. It is pure: times come in and go out as durations since the process's start.
package looplag

import "time"

const (
	// ignoredLag is the lag up to which there is no margin: so much is usual.
	ignoredLag = 5 * time.Millisecond
	// lagsPerRequest is how often a request waits for the process: to be read, for the event loop twice, to be written.
	lagsPerRequest = 4
	// maxMargin bounds the margin, however long a stall was.
	maxMargin = 250 * time.Millisecond
	// minWindow is the shortest time for which a lag counts.
	minWindow = time.Second
)

// Estimator remembers the worst recent lag of a front end: of its event loop behind its timers, and of its
// connections behind responses that were ready to be written. A lag counts for at least the longest time that a
// client waits, and for twice that at most: as long as a request is in flight that was there then.
//
// It guards against a process that shares its core with others or is limited to a part of one: it stands still for
// tens of milliseconds at a time, requests are read late, and answers that were in time by its own clock are written
// when their clients have given up. It would harm where one long stall is all there was: for a while requests are
// given up that could still have been served.
//
// It belongs to one goroutine.
type Estimator struct {
	window        time.Duration
	start         time.Duration // of the current window
	worst         time.Duration // lag in the current window
	previousWorst time.Duration // lag in the window before
}

// New returns an Estimator without observations, for a front end whose clients wait for longestTimeout at most.
func New(longestTimeout time.Duration) Estimator {
	return Estimator{window: max(longestTimeout, minWindow)}
}

// Observe takes the lag of something that was done at now and due that long before.
func (e *Estimator) Observe(now, lag time.Duration) {
	e.advance(now)
	e.worst = max(e.worst, lag)
}

// DeadlineMargin is how much earlier than without lag final answers are to be given at now.
func (e *Estimator) DeadlineMargin(now time.Duration) time.Duration {
	e.advance(now)
	lag := max(e.worst, e.previousWorst)
	if lag <= ignoredLag {
		return 0
	}
	return min(maxMargin, lagsPerRequest*lag)
}

// advance opens a new window where the current one is over.
func (e *Estimator) advance(now time.Duration) {
	switch age := now - e.start; {
	case age >= 2*e.window:
		e.previousWorst, e.worst, e.start = 0, 0, now
	case age >= e.window:
		e.previousWorst, e.worst, e.start = e.worst, 0, now
	}
}
