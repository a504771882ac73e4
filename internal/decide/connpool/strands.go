// Package connpool decides on the connections to workers that carry many calls each: on which one the next call
// goes, when another is opened, tried again or closed. It is pure: times come in as durations since the process's
// start.
package connpool

import "time"

const (
	dialTries  = 3                     // connections in a row that break before a word is heard on them, for one call
	idlePart   = 0.7                   // of the time after which the worker closes an idle connection, that we keep it
	spareFor   = 5 * time.Second       // that one beyond the first is kept idle
	frameLimit = time.Second           // between the head of an answer and its end
	writeLimit = 2 * time.Second       // that a write may stand still
	givenUp    = 50 * time.Millisecond // the same, once a call in it was given up; by the platform's page an attempt begins 0.1 s later at most
	kept       = 8                     // one part in so many of all connections is kept for workers that have none
)

// Strand is what counts of one connection.
type Connection struct {
	InFlight int           // calls and orders on it, waiting ones too
	Draining bool          // it takes nothing new
	LastUsed time.Duration // last
}

// Choice says where a call goes.
type Choice int

// None means that there is no room; New that another connection is to be opened.
const (
	NoConnection Choice = -1 - iota
	OpenConnection
)

// Place chooses the connection to a worker for a call: one that carries nothing, the last one used first; else a
// new one while spare says that one may be opened; else the one that carries least, up to streams.
//
// One call a connection, as long as there are connections enough, guards against what one spoilt answer, or one
// break, takes with it: all that is open on that connection, and calls that must not run twice are then lost. It
// would harm where connections are dear: each costs the worker a handshake, once.
func Select(all []Connection, streams int, spare bool) Choice {
	idle, least := NoConnection, NoConnection
	for i, s := range all {
		switch {
		case s.Draining || s.InFlight >= streams:
		case s.InFlight == 0 && (idle == NoConnection || s.LastUsed > all[idle].LastUsed):
			idle = Choice(i)
		case s.InFlight > 0 && (least == NoConnection || s.InFlight < all[least].InFlight):
			least = Choice(i)
		}
	}
	switch {
	case idle != NoConnection:
		return idle
	case spare:
		return OpenConnection
	}
	return least
}

// Spare says whether a worker that has own connections may be given one more, of most in all, where used are. The
// last ones are kept for workers that have none, so that a crowd at one leaves no other out of reach.
func MayOpen(own, used, most int) bool {
	if own > 0 {
		return used < most-most/kept
	}
	return used < most
}

// Again says whether a connection that broke after so many in a row on which nothing was heard is made anew for
// what waits for it. It guards against connections that are reset when new.
func RetryAfterReset(unheard int) bool { return unheard < dialTries }

// Retire says whether a connection on which a call was given up that the worker had seen takes nothing new. Its
// answer may have broken off halfway, and what follows it would never be read. It would harm where many calls are
// called back: each costs a connection.
func DrainOnCancel() bool { return true }

// Idle is for how long a connection that carries nothing is kept, the only one to its worker or not, where the
// worker closes it after limit: we are to be first, as a call that meets a close may have run for all we know.
func IdleTimeout(only bool, limit time.Duration) time.Duration {
	most := time.Duration(idlePart * float64(limit))
	if only {
		return most
	}
	return min(most, spareFor)
}

// FrameLimit is within what time the rest of an answer follows its head. It guards against answers that stop
// short on a connection that stays open.
func FrameTimeout() time.Duration { return frameLimit }

// GivenUpLimit is how long the write under way may go on once a call in it was given up. It guards against a call that
// reaches a worker long after its client left, as that worker reads nothing for a while. It would harm the other calls
// of that write: those that were not written whole go elsewhere.
func CancelledWriteTimeout() time.Duration { return givenUp }

// WriteLimit is how long a write may stand still before the connection is given up.
func WriteTimeout() time.Duration { return writeLimit }
