package reconnect

import "time"

const (
	// pingAfter is the silence after which the peer is pinged, and the least time between two pings.
	pingAfter = time.Second
	// deadAfter is the silence, or the time without progress of a write, after which the connection is closed.
	deadAfter = 4 * time.Second
)

// Verdict is what to do with a connection.
type Verdict int

const (
	// Wait means that nothing is to be done before the time of the next check.
	Wait Verdict = iota
	// Ping means that a ping is to be sent.
	Ping
	// Dead means that the connection is to be closed: the peer or the path to it is gone.
	Dead
)

// String returns the verdict's name, for logs.
func (v Verdict) String() string {
	switch v {
	case Wait:
		return "wait"
	case Ping:
		return "ping"
	case Dead:
		return "dead"
	}
	return "unknown verdict"
}

// Keepalive judges one connection by when something was last received on it. It guards against connections that are
// half open: the peer's machine died or a path was cut, and no packet says so. It is not safe for concurrent use.
type Keepalive struct {
	lastReceived time.Duration
	lastPing     time.Duration
}

// NewKeepalive returns the Keepalive of a connection that was established at now.
func NewKeepalive(now time.Duration) *Keepalive {
	return &Keepalive{lastReceived: now, lastPing: now - pingAfter}
}

// Received records that the peer sent something at now.
func (k *Keepalive) Received(now time.Duration) { k.lastReceived = max(k.lastReceived, now) }

// Check returns what to do at now, and the time of the next check.
func (k *Keepalive) Check(now time.Duration) (Verdict, time.Duration) {
	deadline := k.lastReceived + deadAfter
	switch {
	case now-k.lastReceived >= deadAfter:
		return Dead, now
	case now-k.lastReceived >= pingAfter && now-k.lastPing >= pingAfter:
		k.lastPing = now
		return Ping, min(now+pingAfter, deadline)
	}
	return Wait, min(max(k.lastReceived, k.lastPing)+pingAfter, deadline)
}

// WriteTimeout is how long a write may make no progress before the connection is closed.
func WriteTimeout() time.Duration { return deadAfter }
