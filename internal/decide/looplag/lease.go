package looplag

import "time"

const (
	// sendLease is how long worker clients write new work after the event loop last renewed their lease. By the
	// platform's rules an attempt starts at most 0.1 s after its client left; a write takes a part of that.
	sendLease = 60 * time.Millisecond
	// settleTime is for how long after a stall the lease is not renewed: until what was received meanwhile is handled.
	settleTime = 5 * time.Millisecond
)

// SendLease is how long a lease on sending new work lasts.
func SendLease() time.Duration { return sendLease }

// Lease decides when an event loop renews the lease on sending new work: at each pass, but after a stall only once the
// goroutines that read connections had time to tell what they received. It guards against work that is sent on what
// was known before the stall. It would harm where each pass of the loop takes longer than a lease: new work is then
// sent a little later. It belongs to one goroutine.
type Lease struct {
	lastPass  time.Duration
	settledAt time.Duration
}

// MayRenew takes a pass of the event loop at now, and reports whether the lease may be renewed.
func (l *Lease) MayRenew(now time.Duration) bool {
	if now-l.lastPass > sendLease {
		l.settledAt = now + settleTime
	}
	l.lastPass = now
	return now >= l.settledAt
}

// NextRenewal is when the lease may be renewed at the earliest.
func (l *Lease) NextRenewal() time.Duration { return l.settledAt }
