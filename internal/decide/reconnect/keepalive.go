package reconnect

import "time"

const (
	// pingAfter is the time without received data after which the peer is pinged, and the minimum time between two pings.
	pingAfter = time.Second
	// deadAfter is the time without received data, or without progress of a write, after which the connection is closed.
	deadAfter = 4 * time.Second
)

// Verdict is the action to take on a connection.
type Verdict int

const (
	// Wait means that no action is needed before the next check.
	Wait Verdict = iota
	// Ping means that a ping is to be sent.
	Ping
	// Dead means that the connection is to be closed because the peer or the path to it has failed.
	Dead
)

// String returns the verdict's name for logs.
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

// Keepalive checks one connection by the time at which data was last received on it. It detects half-open connections,
// whose peer has crashed or whose path was cut without any packet that reports it. A Keepalive is not safe for
// concurrent use.
type Keepalive struct {
	lastReceived time.Duration
	lastPing     time.Duration
}

// NewKeepalive returns a Keepalive for a connection that was established at now.
func NewKeepalive(now time.Duration) *Keepalive {
	return &Keepalive{lastReceived: now, lastPing: now - pingAfter}
}

// Received records that data from the peer was received at now.
func (k *Keepalive) Received(now time.Duration) { k.lastReceived = max(k.lastReceived, now) }

// Check returns the action to take at now and the time of the next check.
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

// WriteTimeout returns the time without progress of a write after which the connection is closed.
func WriteTimeout() time.Duration { return deadAfter }
