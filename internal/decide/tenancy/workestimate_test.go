package tenancy

import (
	"testing"
	"time"
)

func TestWorkEstimator_QueuedRequests_EstimatesExecutionNotWait(t *testing.T) {
	var short, long, reported WorkEstimator
	for i := range 40 {
		wait := time.Duration(i%4) * 100 * ms
		short.ObserveElapsed(10*ms + wait)
		long.ObserveElapsed(200*ms + wait)
		reported.ObserveReported(30 * ms)
	}
	reported.ObserveAbandoned(20 * ms)
	if s, l := short.Estimate(), long.Estimate(); s != 10*ms || l != 200*ms || reported.Estimate() != 30*ms {
		t.Errorf("estimates %v, %v and %v for executions of 10, 200 and 30 ms", s, l, reported.Estimate())
	}
	for range 8 {
		reported.ObserveAbandoned(2 * time.Second)
	}
	if reported.Estimate() != 2*time.Second {
		t.Errorf("estimate %v after eight requests given up after 2 s, want 2s", reported.Estimate())
	}
}
