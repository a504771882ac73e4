// Package lateness decides how much sooner than it must be a final answer is given, by how late a front end's own loop
// has been lately. It is pure: times come in and go out as durations since the process's start.
package lateness

import "time"

const (
	heed   = 5 * time.Millisecond   // lateness up to which nothing is done
	passes = 2                      // times that a call waits for the process: to be read, and for its answer to be written
	most   = 250 * time.Millisecond // that answers are ever given sooner
)

// Lateness remembers how late a front end came to what was due: its loop to timers, its connections to answers that were
// to be written. What was seen fades to nothing within the longest time that a client waits: it counts as long as a
// call is in hand that was there then.
//
// It guards against a process that shares its core with others, or is held to a part of one: it stands still for tens of
// milliseconds at a time, requests are read late, and answers that were given in time by its own clock are written when
// their clients have given up. It would harm where one long stall is all there was: for a while calls are given up
// that could still have been served.
type Lateness struct {
	memory time.Duration
	worst  time.Duration
	at     time.Duration
}

// New returns a Lateness that has seen nothing, of a front end whose clients wait for so long at most.
func New(longest time.Duration) Lateness { return Lateness{memory: max(longest, time.Second)} }

// Came takes the news that what was due so long ago is done at now.
func (l *Lateness) Came(now, late time.Duration) {
	if late >= l.faded(now) {
		l.worst, l.at = late, now
	}
}

// faded is the worst that was seen, less as it ages.
func (l *Lateness) faded(now time.Duration) time.Duration {
	left := max(0, 1-float64(now-l.at)/float64(l.memory))
	return time.Duration(left * float64(l.worst))
}

// Lead is how much sooner than usual final answers are given at now.
func (l *Lateness) Lead(now time.Duration) time.Duration {
	late := l.faded(now)
	if late <= heed {
		return 0
	}
	return min(most, passes*late)
}
