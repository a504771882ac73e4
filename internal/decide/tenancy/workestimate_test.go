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
		t.Errorf("%v, %v and %v expected of runs of 10, 200 and 30 ms", s, l, reported.Estimate())
	}
	for range 8 {
		reported.ObserveAbandoned(2 * time.Second)
	}
	if reported.Estimate() != 2*time.Second {
		t.Errorf("%v expected of a function that was given up after 2 s, eight times", reported.Estimate())
	}
}
