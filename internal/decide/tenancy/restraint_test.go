package tenancy

import (
	"testing"
	"time"
)

func TestRestraint_DuringStartup_StaysZero(t *testing.T) {
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

func TestRestraint_SingleMissedObjective_StaysZero(t *testing.T) {
	limiter := newEvenlyShared()
	for i := range 3000 {
		now := time.Second + time.Duration(i)*10*ms
		limiter.RequestReceived(now, min(1, i%4))
		limiter.RequestEnded(now, min(1, i%4), RequestEnd{Work: 10 * ms, Served: true, MissedObjective: i%400 == 0})
	}
	if limiter.Restraint() != 0 {
		t.Errorf("restraint %.2f for one missed objective every four seconds, want 0", limiter.Restraint())
	}
}

func TestRestraint_WithoutRequests_IsReset(t *testing.T) {
	limiter := newEvenlyShared()
	for i := range 3000 {
		now := time.Second + time.Duration(i)*5*ms
		limiter.RequestReceived(now, min(1, i%8))
		limiter.RequestEnded(now, min(1, i%8), RequestEnd{Work: 10 * ms, Served: true, MissedObjective: true})
	}
	if limiter.Restraint() < strictRestraint {
		t.Fatalf("restraint %.2f while all objectives are missed, want at least %.2f", limiter.Restraint(), strictRestraint)
	}
	if limiter.RequestReceived(time.Hour, 1); limiter.Restraint() != 0 {
		t.Errorf("restraint %.2f after an hour without requests, want 0", limiter.Restraint())
	}
}

// The last requests of a tenant miss their objectives, and the tenant stops sending. The other tenant must then get all
// capacity.
func TestRestraint_TenantThatStopped_NoLongerCounts(t *testing.T) {
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
