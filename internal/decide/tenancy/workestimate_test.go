package tenancy

import (
	"testing"
	"time"
)

func TestWorkEstimator_QueuedRequests_EstimatesExecutionNotWait(t *testing.T) {
	var short, long, reported Cost
	for i := range 40 {
		wait := time.Duration(i%4) * 100 * ms
		short.Seen(10*ms + wait)
		long.Seen(200*ms + wait)
		reported.Told(30 * ms)
	}
	reported.AtLeast(20 * ms)
	if s, l := short.Expect(), long.Expect(); s != 10*ms || l != 200*ms || reported.Expect() != 30*ms {
		t.Errorf("%v, %v and %v expected of runs of 10, 200 and 30 ms", s, l, reported.Expect())
	}
	for range 8 {
		reported.AtLeast(2 * time.Second)
	}
	if reported.Expect() != 2*time.Second {
		t.Errorf("%v expected of a function that was given up after 2 s, eight times", reported.Expect())
	}
}
