package tenancy

import (
	"testing"
	"time"
)

func TestLendingRestriction_DuringStartup_StaysZero(t *testing.T) {
	limiter := newEvenlyShared()
	// Requests are late because all functions are being loaded. One tenant demands three times as much as the other.
	for i := range 400 {
		now := time.Second + time.Duration(i)*10*ms
		if limiter.RequestReceived(now, min(1, i%4)) != Admit {
			t.Fatalf("request rejected %v after the first request, want none rejected during startup", now-time.Second)
		}
		limiter.RequestEnded(now, min(1, i%4), RequestEnd{Work: 10 * ms, Served: true, MissedObjective: true})
	}
}

func TestLendingRestriction_SingleMissedObjective_StaysZero(t *testing.T) {
	limiter := newEvenlyShared()
	for i := range 3000 {
		now := time.Second + time.Duration(i)*10*ms
		limiter.RequestReceived(now, min(1, i%4))
		limiter.RequestEnded(now, min(1, i%4), RequestEnd{Work: 10 * ms, Served: true, MissedObjective: i%400 == 0})
	}
	if limiter.LendingRestriction() != 0 {
		t.Errorf("lending restriction %.2f for one missed objective every four seconds, want 0", limiter.LendingRestriction())
	}
}

func TestLendingRestriction_WithoutRequests_IsReset(t *testing.T) {
	limiter := newEvenlyShared()
	for i := range 3000 {
		now := time.Second + time.Duration(i)*5*ms
		limiter.RequestReceived(now, min(1, i%8))
		limiter.RequestEnded(now, min(1, i%8), RequestEnd{Work: 10 * ms, Served: true, MissedObjective: true})
	}
	if limiter.LendingRestriction() < strictRestriction {
		t.Fatalf("lending restriction %.2f while all objectives are missed, want at least %.2f", limiter.LendingRestriction(), strictRestriction)
	}
	if limiter.RequestReceived(time.Hour, 1); limiter.LendingRestriction() != 0 {
		t.Errorf("lending restriction %.2f after an hour without requests, want 0", limiter.LendingRestriction())
	}
}

// The last requests of a tenant miss their objectives, and the tenant stops sending. The other tenant must then get all
// capacity.
func TestLendingRestriction_TenantThatStopped_NoLongerCounts(t *testing.T) {
	limiter := New(Settings{Shares: []float64{0.2, 0.8}})
	rejected := 0
	for i := range 4000 {
		now := time.Second + time.Duration(i)*5*ms
		n := i % 2
		if now > 8*time.Second {
			n = 0
		}
		if limiter.RequestReceived(now, n) != Admit && now > 12*time.Second {
			rejected++
		}
		limiter.RequestEnded(now, n, RequestEnd{Work: 10 * ms, Served: true, MissedObjective: n == 1})
	}
	if rejected > 0 {
		t.Errorf("%d requests of the only sending tenant rejected, want 0", rejected)
	}
}
