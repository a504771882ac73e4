package loadshed

import (
	"math"
	"testing"
	"time"
)

const ms = time.Millisecond

func TestShedder_BurstThatPasses_IsAdmitted(t *testing.T) {
	var shedder Shedder
	for i := range 90 {
		if shedder.ShouldReject(time.Duration(i)*ms, 90*ms-time.Duration(i)*ms, Normal) || shedder.QueueLimit() < 1e6 {
			t.Fatalf("request rejected or queue limited %d ms into a short burst", i)
		}
	}
}

func TestShedder_StandingQueue_IsShedUntilShort(t *testing.T) {
	var shedder Shedder
	rejected := 0
	for i := range 300 {
		if shedder.ShouldReject(time.Duration(i)*ms, 50*ms, Normal) {
			rejected++
		}
	}
	if rejected != 200 {
		t.Errorf("%d of 300 requests rejected, want 200: all after the first interval", rejected)
	}
	if got := shedder.QueueLimit(); got < 2 || got > 10 {
		t.Errorf("queue limit %d at 1 ms per request, want 2 to 10: 10 ms of requests, or fewer after the recent rejections", got)
	}
	if shedder.ShouldReject(300*ms, 4*ms, Normal) || shedder.QueueLimit() > 10 {
		t.Error("request with a short delay rejected, or limit lifted after a single short delay")
	}
	if shedder.ShouldReject(400*ms, 4*ms, Normal) || shedder.QueueLimit() < 1e6 {
		t.Error("still a standing queue after 100 ms of short delays")
	}
	if shedder.ShouldReject(401*ms, 50*ms, Normal) {
		t.Error("request rejected at the first long delay after the standing queue ended")
	}
}

func TestQueueEmptied_ForAnInterval_LiftsTheLimit(t *testing.T) {
	var shedder Shedder
	for i := range 300 {
		shedder.ShouldReject(time.Duration(i)*ms, 50*ms, Normal)
	}
	shedder.QueueEmptied(300 * ms)
	if shedder.QueueLimit() > 10 {
		t.Error("limit lifted as soon as the queue was empty")
	}
	shedder.QueueEmptied(400 * ms)
	if shedder.QueueLimit() < 1e6 {
		t.Error("still limited after 100 ms without requests")
	}
}

// simulateLoop simulates for 10 s a loop that can decide 1,000 requests per second, or reject 5,000, and receives
// factor times 1,000 requests per second. It returns the number of decided requests and their longest delay, both
// counted after the first second.
func simulateLoop(factor float64, limited bool) (decided int, longestDelay time.Duration) {
	const decide, reject = ms, ms / 5
	var shedder Shedder
	var queue []time.Duration // times at which the queued requests were received
	every := time.Duration(float64(ms) / factor)
	next, now := time.Duration(0), time.Duration(0)
	for now < 10*time.Second {
		for ; next <= now; next += every {
			if !limited || len(queue) < shedder.QueueLimit() {
				queue = append(queue, next)
			}
		}
		if len(queue) == 0 {
			now = next
			continue
		}
		received := queue[0]
		queue = queue[1:]
		if shedder.ShouldReject(now, now-received, Normal) {
			now += reject
			continue
		}
		if now > time.Second {
			decided++
			longestDelay = max(longestDelay, now-received)
		}
		now += decide
	}
	return decided, longestDelay
}

// Up to ten times its capacity, the loop still decides nine tenths of its capacity, and the decided requests had short
// delays. Without the queue limit it would spend its time on rejections.
func TestShedder_OverloadedLoop_DecidesFreshRequests(t *testing.T) {
	for _, factor := range []float64{1.05, 1.5, 2, 4, 10} {
		if decided, longestDelay := simulateLoop(factor, true); decided < 8100 || longestDelay > 150*ms {
			t.Errorf("at %v times the capacity: %d of 9000 requests decided, longest delay %v; want at least 8100 and at most 150ms",
				factor, decided, longestDelay)
		}
	}
	if decided, _ := simulateLoop(4, false); decided > 6000 {
		t.Errorf("%d requests decided without a queue limit, want at most 6000; otherwise the test shows no effect of the limit", decided)
	}
}

// TestShedder_PreferredRequests_ShedLast guards against clients that send more than they are allowed, and make the event
// loop shed the requests of others.
func TestShedder_PreferredRequests_ShedLast(t *testing.T) {
	var shedder Shedder
	for i := range 200 {
		shedder.ShouldReject(time.Duration(i)*ms, 50*ms, Normal)
	}
	if !shedder.ShouldReject(200*ms, 50*ms, Normal) || shedder.ShouldReject(201*ms, 50*ms, Preferred) {
		t.Error("in a standing queue, want a request with a delay of 50 ms rejected, and admitted if it is preferred")
	}
	if !shedder.ShouldReject(202*ms, maxPreferredDelay, Preferred) {
		t.Error("in a standing queue, want a preferred request with a long delay rejected")
	}
	limit := shedder.QueueLimit()
	if normal, preferred := LimitFor(limit, Normal), LimitFor(limit, Preferred); normal != limit || preferred != max(minPreferredLimit, preferredFactor*limit) {
		t.Errorf("the limits are %d and %d for preferred requests, want %d and more for preferred ones", normal, preferred, limit)
	}
	if got := LimitFor(math.MaxInt, Preferred); got != math.MaxInt {
		t.Errorf("without a standing queue, the limit for preferred requests is %d, want none", got)
	}
}
