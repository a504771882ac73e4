// Package connpool decides on multiplexed connections to workers: which connection carries the next request, and
// when another one is opened, dialled again, drained or closed. It is pure: times come in as durations since the
// process's start, and the caller does the I/O.
package connpool

import "time"

const (
	// maxSilentResets is how many connections in a row may be reset before anything is received on them, for one
	// request.
	maxSilentResets = 3
	// idleFraction is the part of the worker's idle timeout for which we keep an idle connection.
	idleFraction = 0.7
	// extraIdleTimeout is how long an idle connection is kept beside another one to the same worker.
	extraIdleTimeout = 5 * time.Second
	// frameTimeout is the time allowed between the header of a response and its end.
	frameTimeout = time.Second
	// writeTimeout is how long a write may make no progress.
	writeTimeout = 2 * time.Second
	// cancelledWriteTimeout is the same once a request in the write was cancelled: by the platform's rules an attempt
	// starts at most 0.1 s after that.
	cancelledWriteTimeout = 50 * time.Millisecond
	// reservedDivisor gives the part of all connections (1/8) that is reserved for workers that have none.
	reservedDivisor = 8
)

// Connection is the state of one connection to a worker, as far as the choice depends on it.
type Connection struct {
	InFlight int           // requests and load orders assigned to it, those not yet written included
	Draining bool          // it accepts no new request
	LastUsed time.Duration // when a request was last assigned to it, since the process's start
}

// Choice is the result of Select: the index of a connection, NoConnection or OpenConnection.
type Choice int

const (
	// NoConnection means that no connection has room and none may be opened: the request waits.
	NoConnection Choice = -1 - iota
	// OpenConnection means that the request goes on a new connection.
	OpenConnection
)

// Select chooses the connection to a worker for a request: an idle one, the last one used first; else a new one if
// mayOpen; else the one with the fewest requests in flight, below maxStreams.
//
// One request a connection, as long as there are connections enough, limits what one malformed response or one
// reset takes with it: everything in flight on that connection, of which non-idempotent requests are lost. It would
// harm where connections are expensive: each costs the worker one handshake.
func Select(all []Connection, maxStreams int, mayOpen bool) Choice {
	idle, leastLoaded := NoConnection, NoConnection
	for i, c := range all {
		switch {
		case c.Draining || c.InFlight >= maxStreams:
			// accepts no request
		case c.InFlight == 0:
			if idle == NoConnection || c.LastUsed > all[idle].LastUsed {
				idle = Choice(i)
			}
		case leastLoaded == NoConnection || c.InFlight < all[leastLoaded].InFlight:
			leastLoaded = Choice(i)
		}
	}
	switch {
	case idle != NoConnection:
		return idle
	case mayOpen:
		return OpenConnection
	}
	return leastLoaded
}

// MayOpen reports whether another connection may be opened to a worker that has own connections, while used of at
// most limit connections to all workers exist, of which some are idle. The last eighth is reserved for workers that have
// none, so that load on one worker does not make the others unreachable; and such a worker may have the place of an idle
// connection: with more workers than connections, idle ones would else keep all other workers out of reach.
func MayOpen(own, used, idle, limit int) bool {
	if own > 0 {
		return used < limit-limit/reservedDivisor
	}
	return used < limit || idle > 0
}

// RetryAfterReset reports whether a connection is dialled again for the requests that wait for it, after so many
// connections in a row were reset before anything was received on them. It guards against connections that are
// reset while new.
func RetryAfterReset(silentResets int) bool { return silentResets < maxSilentResets }

// DrainOnCancel reports whether a connection is drained once a request was cancelled that the worker had received.
// The response may have stopped halfway, and what follows it would never be read. It would harm where many requests
// are cancelled: each costs a connection.
func DrainOnCancel() bool { return true }

// IdleTimeout is for how long an idle connection is kept; only says that it is the only one to its worker, and
// workerTimeout is when the worker closes it. We close first: a request that crosses the worker's close may have
// been executed for all we know.
func IdleTimeout(only bool, workerTimeout time.Duration) time.Duration {
	timeout := time.Duration(idleFraction * float64(workerTimeout))
	if only {
		return timeout
	}
	return min(timeout, extraIdleTimeout)
}

// FrameTimeout is the time within which the rest of a response must follow its header. It guards against responses
// that stop short on a connection that stays open.
func FrameTimeout() time.Duration { return frameTimeout }

// CancelledWriteTimeout is how long the write in progress may go on once a request in it was cancelled. It guards
// against a request that reaches a worker, which had stopped reading for a while, long after the client
// disconnected. It would harm the other requests of that write: those not written whole go to another worker.
func CancelledWriteTimeout() time.Duration { return cancelledWriteTimeout }

// WriteTimeout is how long a write may make no progress before the connection is closed.
func WriteTimeout() time.Duration { return writeTimeout }
