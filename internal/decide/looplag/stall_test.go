package looplag

import (
	"testing"
	"time"
)

func TestStallTracker_AfterStall_LeaseIsRenewedOnceCaughtUp(t *testing.T) {
	var tracker StallTracker
	tracker.MayRenewLease(0)
	if !tracker.MayRenewLease(catchUpTime) || !tracker.MayRenewLease(catchUpTime+sendLease) {
		t.Error("lease not renewed by a loop that does not stall")
	}
	resumed := catchUpTime + 2*sendLease + ms
	const stall = sendLease + ms
	caughtUp := resumed + catchUpTime + stall/catchUpDivisor
	if tracker.MayRenewLease(resumed) || tracker.MayRenewLease(caughtUp-1) {
		t.Error("lease renewed immediately after a stall")
	}
	if tracker.NextRenewal() != caughtUp || !tracker.MayRenewLease(caughtUp) {
		t.Errorf("next renewal at %v, want %v", tracker.NextRenewal(), caughtUp)
	}
}

func TestStallTracker_RequestReadAfterStall_CountsFromStallStart(t *testing.T) {
	var tracker StallTracker
	const before = 100 * ms
	for now := 0 * ms; now <= before; now += sendLease / 3 {
		tracker.MayRenewLease(now)
	}
	if got := tracker.EarliestArrival(before-ms, UnknownArrival); got != before-ms {
		t.Errorf("without a stall, a request read at %v counts from %v", before-ms, got)
	}
	resumed := before + 10*sendLease
	tracker.MayRenewLease(resumed)
	if got := tracker.EarliestArrival(resumed+catchUpTime+sendLease/2, UnknownArrival); got != tracker.stalledAt || got > before {
		t.Errorf("request read just after the stall counts from %v, want the last pass before it", got)
	}
	if late := resumed + maxCatchUpTime + ms; tracker.EarliestArrival(late, UnknownArrival) != late {
		t.Error("a request read after catching up does not count from the time it was read")
	}
	if early := tracker.stalledAt; tracker.EarliestArrival(early-ms, UnknownArrival) != early-ms {
		t.Error("a request read before the stall does not count from the time it was read")
	}
}

// A process that stalls again before it has caught up still has unread requests that arrived during the first stall.
func TestStallTracker_StalledAgainBeforeCaughtUp_CountsFromFirstStallStart(t *testing.T) {
	var tracker StallTracker
	const began, stall, between = 100 * ms, 880 * ms, 15 * ms
	for now := 0 * ms; now <= began; now += sendLease / 3 {
		tracker.MayRenewLease(now)
	}
	lastPass := tracker.lastPass
	resumed := began + stall
	tracker.MayRenewLease(resumed)
	tracker.MayRenewLease(resumed + between)
	resumedAgain := resumed + between + stall
	if tracker.MayRenewLease(resumedAgain) {
		t.Error("lease renewed immediately after the second stall")
	}
	if got := tracker.EarliestArrival(resumedAgain+ms, UnknownArrival); got != lastPass {
		t.Errorf("request read after the second stall counts from %v, want %v, the last pass before the first stall", got, lastPass)
	}
	caughtUp := tracker.NextRenewal()
	for now := resumedAgain; now < caughtUp; now += sendLease / 3 {
		tracker.MayRenewLease(now)
	}
	tracker.MayRenewLease(caughtUp)
	tracker.MayRenewLease(caughtUp + stall)
	if got := tracker.EarliestArrival(caughtUp+stall+ms, UnknownArrival); got != caughtUp {
		t.Errorf("request read after a stall that began after catching up counts from %v, want %v", got, caughtUp)
	}
}

// A known time at which the connection was empty takes precedence over the time since the last stall.
func TestStallTracker_ConnectionSeenEmpty_RequestArrivedLater(t *testing.T) {
	var tracker StallTracker
	const began, length = 100 * ms, 900 * ms
	for now := 0 * ms; now <= began; now += 20 * ms {
		tracker.MayRenewLease(now)
	}
	resumed := began + length
	for now := resumed; now <= resumed+length; now += 20 * ms {
		tracker.MayRenewLease(now)
	}
	for name, c := range map[string]struct{ readAt, arrivedAfter, want time.Duration }{
		"last seen empty before the stall, read long after it": {resumed + length, 50 * ms, began},
		"first request on a connection":                        {resumed + length, AnyArrival, began},
		"seen empty shortly before the end of the stall":       {resumed + 30*ms, resumed - 10*ms, resumed - 10*ms},
		"seen empty after the stall":                           {resumed + 30*ms, resumed + 10*ms, resumed + 30*ms},
		"read after all connections were read":                 {resumed + length + ms, 50 * ms, resumed + length + ms},
		"read before the stall":                                {began - 10*ms, AnyArrival, began - 10*ms},
	} {
		if got := tracker.EarliestArrival(c.readAt, c.arrivedAfter); got != c.want {
			t.Errorf("%s: counts from %v, want %v", name, got, c.want)
		}
	}
}

// If a connection was not read since several stalls, the first of these counts, however far apart they are.
func TestStallTracker_SeveralStalls_CountsFromTheFirstNotRead(t *testing.T) {
	var tracker StallTracker
	const length, between = 400 * ms, 200 * ms
	now := 0 * ms
	var ends []time.Duration
	for range 2 * maxRecentStalls {
		for resumed := now; now <= resumed+between; now += 20 * ms {
			tracker.MayRenewLease(now)
		}
		now += length
		tracker.MayRenewLease(now)
		ends = append(ends, now)
	}
	last := len(ends) - 1
	if got, want := tracker.EarliestArrival(now+ms, ends[last-2]), ends[last-1]-length-20*ms; got != want {
		t.Errorf("connection not read since two stalls: request counts from %v, want %v", got, want)
	}
	if len(tracker.recentStalls) > maxRecentStalls {
		t.Errorf("%d stalls are kept, want at most %d", len(tracker.recentStalls), maxRecentStalls)
	}
}
