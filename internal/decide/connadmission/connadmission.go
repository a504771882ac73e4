// Package connadmission decides on client connections: how many a front end may hold next to its connections to
// workers, which one is evicted when there are too many, and when an idle one is closed. It is pure: times come in
// and go out as durations, and the caller closes the connections.
package connadmission

import "time"

const (
	// firstRequestTimeout is how long a new connection may stay open without sending anything.
	firstRequestTimeout = 1500 * time.Millisecond
	// partialMessageTimeout is how long a client may take to finish a message that it has begun.
	partialMessageTimeout = 1500 * time.Millisecond
	// partialMessageGrace is how long a message in transit protects its connection from eviction.
	partialMessageGrace = 100 * time.Millisecond
	// idleTimeout is how long a connection is kept after its last answer.
	idleTimeout = 6 * time.Second

	// reservedDescriptors are set aside for all else: listener, endpoint watch, logs, the runtime.
	reservedDescriptors = 24
	// minConnectionDescriptors is the least that is divided, however small the process's limit.
	minConnectionDescriptors = 8
	// clientFraction is the part of the descriptors not reserved that clients may hold.
	clientFraction = 0.55

	// noConnection is what SelectEviction returns when no connection may be evicted.
	noConnection = -1
)

// SplitDescriptors divides the file descriptors of a process between client connections and worker connections.
// Both parts are at least 1. Clients can never use up the workers' part.
func SplitDescriptors(descriptors int) (clients, workers int) {
	available := max(minConnectionDescriptors, descriptors-reservedDescriptors)
	clients = int(clientFraction * float64(available))
	return clients, available - clients
}

// Connection is the state of one client connection, as far as admission depends on it.
type Connection struct {
	InFlight       int           // requests that were received and not yet answered
	HasSentRequest bool          // at least one whole request was received
	PartialMessage bool          // a message was received in part
	StateAge       time.Duration // time since the connection entered this state
}

// ShouldClose reports whether the connection has exceeded the timeout of its state.
//
// It guards against clients that send nothing, stop in the middle of a message, or keep a connection open for good.
// It would harm a client whose next request crosses the close on its way.
func ShouldClose(c Connection) bool {
	switch {
	case c.InFlight > 0:
		return false
	case c.PartialMessage:
		return c.StateAge >= partialMessageTimeout
	case !c.HasSentRequest:
		return c.StateAge >= firstRequestTimeout
	}
	return c.StateAge >= idleTimeout
}

// ShouldCloseInShutdown is ShouldClose during graceful shutdown: an idle connection is closed at once, and one that
// has sent a part of a message may finish it within the usual timeout.
func ShouldCloseInShutdown(c Connection) bool {
	if c.InFlight > 0 {
		return false
	}
	return !c.PartialMessage || ShouldClose(c)
}

// Evictable reports whether the connection may be closed to make room for another: nothing is in flight on it, and
// no message has just begun to arrive.
func Evictable(c Connection) bool {
	messageArriving := c.PartialMessage && c.StateAge < partialMessageGrace
	return c.InFlight == 0 && !messageArriving
}

// SelectEviction returns the index of the connection to evict when a new one exceeds the limit, or -1 if none is
// evictable. Connections that never sent a request go first, then idle ones; among equals the one that has been in
// its state for longest.
func SelectEviction(all []Connection) int {
	selected := noConnection
	for i, c := range all {
		if !Evictable(c) {
			continue
		}
		if selected == noConnection || evictedBefore(c, all[selected]) {
			selected = i
		}
	}
	return selected
}

// evictedBefore reports whether c is a better candidate for eviction than other.
func evictedBefore(c, other Connection) bool {
	if c.HasSentRequest != other.HasSentRequest {
		return other.HasSentRequest
	}
	return c.StateAge > other.StateAge
}
