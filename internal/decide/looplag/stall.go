package looplag

import "time"

const (
	// sendLease is how long worker clients may write new work after the event loop last renewed their lease. The
	// platform's rules allow an attempt to start at most 0.1 s after its client disconnected, and the write takes part of
	// that time. An event loop that makes no pass for longer than the lease counts as stalled.
	sendLease = 60 * time.Millisecond
	// catchUpTime is the minimum time after a stall in which the lease is not renewed, so that the event loop can handle
	// what was received during the stall. The time is extended by 1/catchUpDivisor of the stall, because more is received
	// during a longer stall.
	catchUpTime    = 5 * time.Millisecond
	catchUpDivisor = 10
	// maxCatchUpTime is the upper bound of the catch-up time. After that time, most requests of clients are new ones.
	maxCatchUpTime = 100 * time.Millisecond
	// maxReadDelay is the upper bound of the time after a stall within which every connection is read for the first time.
	// Below the bound, this time equals the length of the stall, during which data may have arrived on all connections.
	maxReadDelay = time.Second
	// maxRecentStalls is the maximum number of stalls that a StallTracker keeps.
	maxRecentStalls = 16
)

// Values that are passed to EarliestArrival if it is not known when the connection was last seen empty.
const (
	UnknownArrival time.Duration = iota // connection was not checked for data before the request was read
	AnyArrival                          // request is the first on its connection and may have arrived at any time
)

// stall is a period in which the process did not run.
type stall struct {
	began, ended time.Duration
	readBy       time.Duration // time by which all connections that received data during the stall have been read
}

// SendLease returns the duration of a lease on sending new work.
func SendLease() time.Duration { return sendLease }

// StallTracker detects stalls of the event loop, and most likely of the whole process, from long gaps between passes of
// the loop. It decides which information is still valid after a stall. It belongs to the goroutine of the event loop.
type StallTracker struct {
	lastPass     time.Duration
	stalledAt    time.Duration // start of the last stall, or of the first in a series without complete catch-up in between
	caughtUpAt   time.Duration // time from which everything received during the stall counts as handled
	recentStalls []stall       // most recent stalls in chronological order, at most maxRecentStalls
}

// MayRenewLease records a pass of the event loop at now, and reports whether the lease on sending new work may be
// renewed. This is so at each pass, except after a stall: the goroutines that read connections must first have had time
// to pass on what they received.
//
// It prevents work from being sent on the basis of information from before the stall. Its drawback appears where each
// pass of the loop takes longer than the lease: new work is then sent slightly later.
func (t *StallTracker) MayRenewLease(now time.Duration) bool {
	if now-t.lastPass > sendLease {
		t.recordStall(t.lastPass, now)
		if t.lastPass >= t.caughtUpAt {
			t.stalledAt = t.lastPass
		}
		t.caughtUpAt = now + min(maxCatchUpTime, catchUpTime+(now-t.stalledAt)/catchUpDivisor)
	}
	t.lastPass = now
	return now >= t.caughtUpAt
}

// recordStall adds a stall to the recent ones. Nothing was read during the stall, so the readBy times of earlier stalls
// that had not yet been reached are postponed by its length.
func (t *StallTracker) recordStall(began, ended time.Duration) {
	length := ended - began
	for i := range t.recentStalls {
		if t.recentStalls[i].readBy >= began {
			t.recentStalls[i].readBy += length
		}
	}
	oldest := max(0, len(t.recentStalls)+1-maxRecentStalls)
	t.recentStalls = append(t.recentStalls[oldest:], stall{began, ended, ended + min(maxReadDelay, length)})
}

// NextRenewal returns the earliest time at which the lease may be renewed.
func (t *StallTracker) NextRenewal() time.Duration { return t.caughtUpAt }

// EarliestArrival returns the earliest time at which a request that was read at readAt may have arrived. The parameter
// arrivedAfter is the last time before readAt at which its connection was seen empty, so that the request arrived
// later; it is UnknownArrival or AnyArrival if no such time is known.
//
// A request that is read after a stall may have arrived when the stall began. If its timeout were counted from readAt,
// the client would get its response too late, and the worker would be given more time than the client has left. The
// drawback affects requests that did arrive after the stall, if they are the first on their connection or nothing is
// known about their arrival: they are given up earlier than necessary.
func (t *StallTracker) EarliestArrival(readAt, arrivedAfter time.Duration) time.Duration {
	if arrivedAfter == UnknownArrival {
		if readAt > t.stalledAt && readAt <= t.caughtUpAt {
			return t.stalledAt
		}
		return readAt
	}
	for _, stall := range t.recentStalls {
		if arrivedAfter < stall.ended && readAt > stall.began && readAt <= stall.readBy {
			return max(stall.began, arrivedAfter)
		}
	}
	return readAt
}
