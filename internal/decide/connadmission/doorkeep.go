// Package connadmission decides about clients' connections: how many there may be beside those to workers, which one
// goes when there are too many, and when one that asks nothing is closed. It is pure: times come in and go out as
// durations.
package connadmission

import "time"

const (
	silentFor = 1500 * time.Millisecond // that a client may say nothing from its connecting on
	halfFor   = 1500 * time.Millisecond // that a message may take to come
	comingFor = 100 * time.Millisecond  // that a message which comes is not cut off to make room
	idleFor   = 6 * time.Second         // after an answer
	apart     = 24                      // descriptors for all else: listener, list of workers, logs, the runtime
	part      = 0.55                    // of the rest, that clients may have
)

// Parts divides the descriptors of a process between connections of clients and of workers. What clients do never
// takes the workers' part.
func SplitDescriptors(descriptors int) (clients, workers int) {
	rest := max(8, descriptors-apart)
	clients = int(part * float64(rest))
	return clients, rest - clients
}

// Conn is what counts of one client's connection.
type Connection struct {
	InFlight       int           // requests owed an answer
	HasSentRequest bool          // it has sent a whole request
	PartialMessage bool          // it has sent a part of a message, and not the rest
	StateAge       time.Duration // how long it stands so
}

// Over says whether a connection that stands so is to be closed. It guards against clients that say nothing, stop
// in the middle, or keep a connection for good. It would harm a client whose next request meets the close.
func ShouldClose(c Connection) bool {
	switch {
	case c.InFlight > 0:
		return false
	case c.PartialMessage:
		return c.StateAge >= halfFor
	case !c.HasSentRequest:
		return c.StateAge >= silentFor
	}
	return c.StateAge >= idleFor
}

// OverAtStop says the same while the front end stops: what is idle goes, what is in the middle of a message may end it.
func ShouldCloseInShutdown(c Connection) bool {
	return c.InFlight == 0 && (!c.PartialMessage || ShouldClose(c))
}

// MayEvict says whether a connection may go to make room.
func Evictable(c Connection) bool {
	return c.InFlight == 0 && !(c.PartialMessage && c.StateAge < comingFor)
}

// Evict chooses the connection that goes where one more is wanted than there may be, -1 if none may go: those that
// have asked nothing first, then those that ask nothing now, the longest so of each first.
func SelectEviction(all []Connection) int {
	best := -1
	for i, c := range all {
		if !Evictable(c) {
			continue
		}
		if best < 0 || all[best].HasSentRequest && !c.HasSentRequest || all[best].HasSentRequest == c.HasSentRequest && c.StateAge > all[best].StateAge {
			best = i
		}
	}
	return best
}
