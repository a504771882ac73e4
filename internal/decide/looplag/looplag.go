// Package looplag accounts for lag and stalls of the front end's own process. Estimator derives from recent lag how
// long before its deadline a final response is given; StallTracker decides what is still known after a stall. The
// package does no I/O and reads no clock: times are passed in and returned as durations since the start of the process.
package looplag

import "time"

const (
	// ignoredLag is the lag up to which the margin is zero, since a lag of this size is normal.
	ignoredLag = 5 * time.Millisecond
	// lagsPerRequest is the number of times that a request waits for the process: to be read, twice for the event loop,
	// and for its response to be written.
	lagsPerRequest = 4
	// maxMargin is the upper bound of the margin, regardless of the length of a stall.
	maxMargin = 250 * time.Millisecond
	// minWindow is the minimum time for which a lag counts.
	minWindow = time.Second
)

// Estimator keeps the longest recent lag of a front end: the lag of its event loop behind its timers, and the lag of
// its connections behind responses that were ready to be written. A lag counts for at least the longest timeout of a
// client and for at most twice that, so that it covers every request that was in flight when the lag occurred.
//
// The margin is needed where the process shares its core with others or is limited to a fraction of a core: the process
// stalls for tens of milliseconds at a time, requests are read late, and responses that are in time by its own clock
// are written after their clients have given up. Its drawback appears after a single long stall: for a while, the front
// end gives up requests that it could still have served.
//
// An Estimator belongs to a single goroutine.
type Estimator struct {
	window             time.Duration
	start              time.Duration // start of the current window
	longestLag         time.Duration // longest lag in the current window
	previousLongestLag time.Duration // longest lag in the previous window
}

// New returns an Estimator without observations for a front end whose clients wait for at most longestTimeout.
func New(longestTimeout time.Duration) Estimator {
	return Estimator{window: max(longestTimeout, minWindow)}
}

// Observe records an action that was performed at now, lag later than it was due.
func (e *Estimator) Observe(now, lag time.Duration) {
	e.advance(now)
	e.longestLag = max(e.longestLag, lag)
}

// DeadlineMargin returns how much earlier than without lag final responses are to be given at now.
func (e *Estimator) DeadlineMargin(now time.Duration) time.Duration {
	e.advance(now)
	lag := max(e.longestLag, e.previousLongestLag)
	if lag <= ignoredLag {
		return 0
	}
	return min(maxMargin, lagsPerRequest*lag)
}

// advance starts a new window if the current one has ended.
func (e *Estimator) advance(now time.Duration) {
	switch age := now - e.start; {
	case age >= 2*e.window:
		e.previousLongestLag, e.longestLag, e.start = 0, 0, now
	case age >= e.window:
		e.previousLongestLag, e.longestLag, e.start = e.longestLag, 0, now
	}
}
