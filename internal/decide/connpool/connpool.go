// Package connpool implements the policy for multiplexed connections to workers: which connection carries the next
// request, and when a connection is opened, redialled, drained or closed. The package does no I/O and reads no clock:
// times are passed in as durations since the start of the process, and the caller does the I/O.
package connpool

import "time"

const (
	// maxSilentResets is the number of consecutive connections opened for one request that may be reset before anything
	// is received on them.
	maxSilentResets = 3
	// idleFraction is the fraction of the worker's idle timeout for which the front end keeps an idle connection.
	idleFraction = 0.7
	// extraIdleTimeout is how long an idle connection is kept if there is another connection to the same worker.
	extraIdleTimeout = 5 * time.Second
	// frameTimeout is the maximum time between the header of a response and its end.
	frameTimeout = time.Second
	// writeTimeout is the maximum time without progress of a write.
	writeTimeout = 2 * time.Second
	// cancelledWriteTimeout is the maximum duration of a write after a request in it was cancelled. The platform's rules
	// allow an attempt to start at most 0.1 s after the cancellation.
	cancelledWriteTimeout = 50 * time.Millisecond
	// maxUnexpectedResponses is the maximum number of consecutive responses on a connection that nothing awaits. More than a
	// worker may owe for cancelled requests, and than come with a duplicate or early response now and then.
	maxUnexpectedResponses = 128
	// reservedDivisor is the divisor of the connection limit that gives the part (1/8) reserved for workers without a
	// connection.
	reservedDivisor = 8
)

// TooManyUnexpected reports whether a connection must be closed because that many consecutive responses were received on
// it that nothing awaits: a worker that sends them without end would take the processor time of all others.
func TooManyUnexpected(consecutive int) bool { return consecutive > maxUnexpectedResponses }

// Connection is the part of the state of a connection to a worker that Select depends on.
type Connection struct {
	InFlight int           // number of assigned requests and load orders, including those not yet written
	Draining bool          // whether the connection accepts no new requests
	LastUsed time.Duration // time of the last assignment of a request, since the start of the process
}

// Choice is the result of Select: the index of a connection, NoConnection or OpenConnection.
type Choice int

const (
	// NoConnection means that no connection has a free stream and none may be opened, so that the request waits.
	NoConnection Choice = -1 - iota
	// OpenConnection means that the request is sent on a new connection.
	OpenConnection
)

// Select chooses the connection to a worker for a request: the most recently used idle connection; otherwise a new one
// if mayOpen is set; otherwise the connection with the fewest requests in flight, provided that these are fewer than
// maxStreams.
//
// Carrying one request per connection while enough connections are available limits the effect of a malformed
// response or a reset, which ends everything in flight on its connection and makes non-idempotent requests fail. The
// drawback is the cost of connections: each one costs the worker a handshake.
func Select(all []Connection, maxStreams int, mayOpen bool) Choice {
	idle, leastLoaded := NoConnection, NoConnection
	for i, c := range all {
		switch {
		case c.Draining || c.InFlight >= maxStreams:
			// The connection accepts no request.
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

// MayOpen reports whether another connection may be opened to a worker that already has own connections. Of at most
// limit connections to all workers, used are open and idle of these are idle.
//
// The last eighth of the limit is reserved for workers without a connection, so that load on one worker does not make
// the others unreachable. At the limit, a worker without a connection may replace an idle connection: if there are
// more workers than connections, idle connections would otherwise make all other workers unreachable.
func MayOpen(own, used, idle, limit int) bool {
	if own > 0 {
		return used < limit-limit/reservedDivisor
	}
	return used < limit || idle > 0
}

// RetryAfterReset reports whether to redial for the requests that wait for a connection, after silentResets
// consecutive connections were reset before anything was received on them. It protects against connections that are
// reset soon after they are established.
func RetryAfterReset(silentResets int) bool { return silentResets < maxSilentResets }

// DrainOnCancel reports whether a connection is drained after the cancellation of a request that the worker had
// received. The response may have stopped halfway, in which case nothing after it on the connection would ever be
// read. The drawback is that each cancelled request costs a connection.
func DrainOnCancel() bool { return true }

// IdleTimeout returns how long an idle connection is kept. The parameter only tells whether it is the only connection
// to its worker, and workerTimeout is the time after which the worker closes an idle connection. The front end closes
// first, because it cannot tell whether a request sent while the worker closes the connection was executed.
func IdleTimeout(only bool, workerTimeout time.Duration) time.Duration {
	timeout := time.Duration(idleFraction * float64(workerTimeout))
	if only {
		return timeout
	}
	return min(timeout, extraIdleTimeout)
}

// FrameTimeout returns the time within which the rest of a response must follow its header. It protects against
// incomplete responses on a connection that stays open.
func FrameTimeout() time.Duration { return frameTimeout }

// CancelledWriteTimeout returns how long a write in progress may continue after a request in it was cancelled. It
// protects against a worker that stops reading for a while and receives the request long after the client
// disconnected. The drawback affects the other requests in that write: those not written completely are sent to
// another worker.
func CancelledWriteTimeout() time.Duration { return cancelledWriteTimeout }

// ReceiptTimeout returns within which time after the cancellation of an attempt the worker must be known to have received
// it, or else the connection is reset. limited is false if there is no such limit.
//
// The operating system may hold the attempt for a path that is interrupted, and deliver it when the path works again. If
// the connection carries nothing else it is reset at once anyway. Otherwise the reset also ends the other requests, so
// the worker is given time to confirm that it receives what is sent, provided that health checks are allowed. An attempt
// whose permit has ended must not arrive any more: the worker would execute the request a second time.
func ReceiptTimeout(permitEnded, healthChecksAllowed bool) (timeout time.Duration, limited bool) {
	switch {
	case permitEnded:
		return 0, true
	case healthChecksAllowed:
		return cancelledWriteTimeout, true
	}
	return 0, false
}

// WriteTimeout returns the time without progress of a write after which the connection is closed.
func WriteTimeout() time.Duration { return writeTimeout }
