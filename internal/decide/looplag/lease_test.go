package looplag

import "testing"

func TestLease_AfterStall_IsRenewedOnceSettled(t *testing.T) {
	var lease Lease
	lease.MayRenew(0)
	if !lease.MayRenew(settleTime) || !lease.MayRenew(settleTime+sendLease) {
		t.Error("not renewed by a loop that keeps up")
	}
	resumed := settleTime + 2*sendLease + ms
	if lease.MayRenew(resumed) || lease.MayRenew(resumed+settleTime-1) {
		t.Error("renewed at once after a stall")
	}
	if lease.NextRenewal() != resumed+settleTime || !lease.MayRenew(resumed+settleTime) {
		t.Errorf("next renewal at %v, want %v", lease.NextRenewal(), resumed+settleTime)
	}
}
