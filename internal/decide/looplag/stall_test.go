package looplag

import "testing"

func TestStallTracker_AfterStall_LeaseIsRenewedOnceCaughtUp(t *testing.T) {
	var tracker StallTracker
	tracker.MayRenewLease(0)
	if !tracker.MayRenewLease(catchUpTime) || !tracker.MayRenewLease(catchUpTime+sendLease) {
		t.Error("not renewed by a loop that keeps up")
	}
	resumed := catchUpTime + 2*sendLease + ms
	const stall = sendLease + ms
	caughtUp := resumed + catchUpTime + stall/catchUpPart
	if tracker.MayRenewLease(resumed) || tracker.MayRenewLease(caughtUp-1) {
		t.Error("renewed at once after a stall")
	}
	if tracker.NextRenewal() != caughtUp || !tracker.MayRenewLease(caughtUp) {
		t.Errorf("next renewal at %v, want %v", tracker.NextRenewal(), caughtUp)
	}
}

func TestStallTracker_RequestReadAfterStall_CountsFromItsBegin(t *testing.T) {
	var tracker StallTracker
	const before = 100 * ms
	for now := 0 * ms; now <= before; now += sendLease / 3 {
		tracker.MayRenewLease(now)
	}
	if got := tracker.EarliestArrival(before - ms); got != before-ms {
		t.Errorf("without a stall a request read at %v counts from %v", before-ms, got)
	}
	resumed := before + 10*sendLease
	tracker.MayRenewLease(resumed)
	if got := tracker.EarliestArrival(resumed + catchUpTime + sendLease/2); got != tracker.stalledAt || got > before {
		t.Errorf("read just after the stall counts from %v, want the last pass before it", got)
	}
	if late := resumed + maxCatchUpTime + ms; tracker.EarliestArrival(late) != late {
		t.Error("read once caughtUp, and does not count from then")
	}
	if early := tracker.stalledAt; tracker.EarliestArrival(early-ms) != early-ms {
		t.Error("read before the stall, and does not count from then")
	}
}

// A process that is stopped again before it has caught up still has requests to read that arrived during the first stop.
func TestStallTracker_StalledAgainBeforeCaughtUp_CountsFromTheFirstBegin(t *testing.T) {
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
		t.Error("renewed at once after the second stall")
	}
	if got := tracker.EarliestArrival(resumedAgain + ms); got != lastPass {
		t.Errorf("read after the second stall counts from %v, want %v, the last pass before the first one", got, lastPass)
	}
	caughtUp := tracker.NextRenewal()
	for now := resumedAgain; now < caughtUp; now += sendLease / 3 {
		tracker.MayRenewLease(now)
	}
	tracker.MayRenewLease(caughtUp)
	tracker.MayRenewLease(caughtUp + stall)
	if got := tracker.EarliestArrival(caughtUp + stall + ms); got != caughtUp {
		t.Errorf("read after a stall that began once it had caught up counts from %v, want %v", got, caughtUp)
	}
}
