// Package connadmission implements the admission policy for client connections: how many connections a front end may
// hold besides its connections to workers, which connection is evicted when the limit is exceeded, and when an idle
// connection is closed. The package does no I/O and reads no clock: times are passed in and returned as durations, and
// the caller closes the connections.
package connadmission

import "time"

const (
	// firstRequestTimeout is how long a new connection may stay open before its first request.
	firstRequestTimeout = 1500 * time.Millisecond
	// partialMessageTimeout is how long a client may take to finish a message after starting to send it.
	partialMessageTimeout = 1500 * time.Millisecond
	// partialMessageGrace is how long a partially received message protects its connection from eviction.
	partialMessageGrace = 100 * time.Millisecond
	// idleTimeout is how long an idle connection is kept after its last response.
	idleTimeout = 6 * time.Second

	// reservedDescriptors is the number of file descriptors that are set aside for everything except client and worker
	// connections: the listener, the endpoint watch, log files and the Go runtime.
	reservedDescriptors = 24
	// minConnectionDescriptors is the minimum number of descriptors that are divided between clients and workers, even
	// if the process limit is lower.
	minConnectionDescriptors = 8
	// clientFraction is the fraction of the unreserved descriptors that client connections may use.
	clientFraction = 0.55

	// noConnection is returned by SelectEviction when no connection may be evicted.
	noConnection = -1
)

// SplitDescriptors divides the file descriptors of a process between client connections and worker connections.
// Both results are at least 1. Client connections can never use the descriptors set aside for workers.
func SplitDescriptors(descriptors int) (clients, workers int) {
	available := max(minConnectionDescriptors, descriptors-reservedDescriptors)
	clients = int(clientFraction * float64(available))
	return clients, available - clients
}

// Connection is the part of a client connection's state that the admission policy depends on.
type Connection struct {
	InFlight       int           // number of requests that were received and have no final response yet
	HasSentRequest bool          // whether at least one complete request was received
	PartialMessage bool          // whether a message was received in part
	StateAge       time.Duration // time since the connection entered this state
}

// ShouldClose reports whether the connection has exceeded the timeout of its state.
//
// The timeouts protect against clients that send nothing, stop in the middle of a message, or never close an idle
// connection. Their drawback is that a request sent just before the client sees the close is lost.
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

// ShouldCloseInShutdown is the variant of ShouldClose for graceful shutdown: an idle connection is closed immediately,
// and a client that has sent part of a message may finish it within partialMessageTimeout.
func ShouldCloseInShutdown(c Connection) bool {
	if c.InFlight > 0 {
		return false
	}
	return !c.PartialMessage || ShouldClose(c)
}

// Evictable reports whether the connection may be closed to make room for another one: it has no request in flight,
// and no message began to arrive within the last partialMessageGrace.
func Evictable(c Connection) bool {
	messageArriving := c.PartialMessage && c.StateAge < partialMessageGrace
	return c.InFlight == 0 && !messageArriving
}

// SelectEviction returns the index of the connection to evict when a new connection exceeds the limit, or -1 if none
// is evictable. Connections that never sent a request are evicted before idle ones; within each group, the connection
// that has been in its state the longest is evicted first.
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

// evictedBefore reports whether c is evicted in preference to other.
func evictedBefore(c, other Connection) bool {
	if c.HasSentRequest != other.HasSentRequest {
		return other.HasSentRequest
	}
	return c.StateAge > other.StateAge
}
