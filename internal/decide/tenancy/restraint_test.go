package tenancy

import (
	"testing"
	"time"
)

func TestRestraint_DuringStartup_StaysZero(t *testing.T) {
	limiter := newEvenlyShared()
	// All functions are loaded, and requests are late for that; one tenant demands three times what the other does.
	for i := range 400 {
		now := time.Second + time.Duration(i)*10*ms
		if limiter.RequestReceived(now, min(1, i%4)) != Admit {
			t.Fatalf("rejected %v after the first request", now-time.Second)
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
		t.Errorf("restraint %.2f for a missed objective every four seconds", limiter.Restraint())
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
		t.Fatalf("restraint %.2f while all objectives are missed", limiter.Restraint())
	}
	if limiter.RequestReceived(time.Hour, 1); limiter.Restraint() != 0 {
		t.Errorf("restraint %.2f an hour later", limiter.Restraint())
	}
}

// The last requests of a tenant missed their objectives, and another tenant has all capacity since.
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
		t.Errorf("%d requests rejected of the only tenant that sends any", rejected)
	}
}
