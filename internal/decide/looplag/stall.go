package looplag

import "time"

const (
	// sendLease is how long worker clients write new work after the event loop last renewed their lease. By the
	// platform's rules an attempt starts at most 0.1 s after its client left; a write takes a part of that. An event loop
	// that made no pass for longer has stalled.
	sendLease = 60 * time.Millisecond
	// catchUpTime is for how long after a stall the lease is not renewed, until what was received meanwhile is handled: so
	// long at least, and catchUpPart of the stall in addition, as more was received in a longer one.
	catchUpTime = 5 * time.Millisecond
	catchUpPart = 10
	// maxCatchUpTime bounds it: after so long most clients' requests are new ones.
	maxCatchUpTime = 100 * time.Millisecond
	// maxReadDelay bounds how long after a stall a connection may be read for the first time: for as long as the stall
	// lasted, as that much may have been received on all of them.
	maxReadDelay = time.Second
	// maxRecentStalls bounds the stalls that are remembered.
	maxRecentStalls = 16
)

// What is passed to EarliestArrival where it is not known after what a request arrived.
const (
	UnknownArrival time.Duration = iota // nobody looked at its connection
	AnyArrival                          // it is the first on its connection, and may have arrived at any time
)

// stall is a time in which the process did not run.
type stall struct {
	began, ended time.Duration
	readBy       time.Duration // when all connections have been read that something was received on meanwhile
}

// SendLease is how long a lease on sending new work lasts.
func SendLease() time.Duration { return sendLease }

// StallTracker notices that the event loop, and most likely its process, stood still, by passes of the loop that are far
// apart. It decides what is still known after that: it belongs to the loop's goroutine.
type StallTracker struct {
	lastPass   time.Duration
	stalledAt  time.Duration // when the last stall began, or the first of several that followed before it had caught up
	caughtUpAt time.Duration // from when on what was received during the stall is handled
	recent     []stall       // the last ones, in their order; at most maxRecentStalls
}

// MayRenewLease takes a pass of the event loop at now, and reports whether the lease on sending new work may be renewed:
// at each pass, but after a stall only once the goroutines that read connections had time to tell what they received. It
// guards against work that is sent on what was known before the stall. It would harm where each pass of the loop takes
// longer than a lease: new work is then sent a little later.
func (t *StallTracker) MayRenewLease(now time.Duration) bool {
	if now-t.lastPass > sendLease {
		t.remember(t.lastPass, now)
		if t.lastPass >= t.caughtUpAt {
			t.stalledAt = t.lastPass
		}
		t.caughtUpAt = now + min(maxCatchUpTime, catchUpTime+(now-t.stalledAt)/catchUpPart)
	}
	t.lastPass = now
	return now >= t.caughtUpAt
}

// remember notes a stall. Nothing was read during it, so that what came in earlier ones is read later by as much.
func (t *StallTracker) remember(began, ended time.Duration) {
	length := ended - began
	for i := range t.recent {
		if t.recent[i].readBy >= began {
			t.recent[i].readBy += length
		}
	}
	oldest := max(0, len(t.recent)+1-maxRecentStalls)
	t.recent = append(t.recent[oldest:], stall{began, ended, ended + min(maxReadDelay, length)})
}

// NextRenewal is when the lease may be renewed at the earliest.
func (t *StallTracker) NextRenewal() time.Duration { return t.caughtUpAt }

// EarliestArrival is since when a request may have waited to be read that was read at a time. arrivedAfter is when its
// connection was last seen without anything to read before that, so that it arrived later; else UnknownArrival or
// AnyArrival. What is read after a stall may have arrived when it began: counted from when it was read, its client would get
// its response too late, and a worker be told more time than the client has left.
//
// It would harm requests that did arrive after the stall, as the first on a connection or where nothing is known: they are
// given up sooner than they need be.
func (t *StallTracker) EarliestArrival(readAt, arrivedAfter time.Duration) time.Duration {
	if arrivedAfter == UnknownArrival {
		if readAt > t.stalledAt && readAt <= t.caughtUpAt {
			return t.stalledAt
		}
		return readAt
	}
	for _, stall := range t.recent {
		if arrivedAfter < stall.ended && readAt > stall.began && readAt <= stall.readBy {
			return max(stall.began, arrivedAfter)
		}
	}
	return readAt
}
