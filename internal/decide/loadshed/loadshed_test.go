package loadshed

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func TestShedder_BurstThatPasses_IsAdmitted(t *testing.T) {
	var shedder Shedder
	for i := range 90 {
		if shedder.ShouldReject(time.Duration(i)*ms, 90*ms-time.Duration(i)*ms) || shedder.QueueLimit() < 1e6 {
			t.Fatalf("rejected %d ms into a burst that passes", i)
		}
	}
}

func TestShedder_StandingQueue_IsShedUntilShort(t *testing.T) {
	var shedder Shedder
	rejected := 0
	for i := range 300 {
		if shedder.ShouldReject(time.Duration(i)*ms, 50*ms) {
			rejected++
		}
	}
	if rejected != 200 {
		t.Errorf("%d of 300 rejected, want all after the first interval", rejected)
	}
	if got := shedder.QueueLimit(); got < 2 || got > 10 {
		t.Errorf("room for %d at a millisecond each, want 10 ms of them, or less as none was decided lately", got)
	}
	if shedder.ShouldReject(300*ms, 4*ms) || shedder.QueueLimit() > 10 {
		t.Error("rejected a request that did not wait, or took the queue for one that does not stand after one short wait")
	}
	if shedder.ShouldReject(400*ms, 4*ms) || shedder.QueueLimit() < 1e6 {
		t.Error("still standing after a hundred milliseconds of short waits")
	}
	if shedder.ShouldReject(401*ms, 50*ms) {
		t.Error("rejected at once after the queue was short")
	}
}

func TestQueueEmptied_ForAnInterval_LiftsTheLimit(t *testing.T) {
	var shedder Shedder
	for i := range 300 {
		shedder.ShouldReject(time.Duration(i)*ms, 50*ms)
	}
	shedder.QueueEmptied(300 * ms)
	if shedder.QueueLimit() > 10 {
		t.Error("no limit after one moment without requests")
	}
	shedder.QueueEmptied(400 * ms)
	if shedder.QueueLimit() < 1e6 {
		t.Error("still limited after a hundred milliseconds without requests")
	}
}

// simulateLoop runs a loop that can decide 1,000 requests a second, and reject five times as many, against factor
// times that for ten seconds. It returns how many it decided and the longest wait of one, both after the first second.
func simulateLoop(factor float64, limited bool) (decided int, worst time.Duration) {
	const decide, reject = ms, ms / 5
	var shedder Shedder
	var queue []time.Duration // when each was received
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
		if shedder.ShouldReject(now, now-received) {
			now += reject
			continue
		}
		if now > time.Second {
			decided++
			worst = max(worst, now-received)
		}
		now += decide
	}
	return decided, worst
}

// At four times what it can do the loop decides nine tenths of what it can, and what it decides has waited little.
// Without a queue limit it spends its time on rejections.
func TestShedder_OverloadedLoop_DecidesFreshRequests(t *testing.T) {
	for _, factor := range []float64{1.05, 1.5, 2, 4, 10} {
		if decided, worst := simulateLoop(factor, true); decided < 8100 || worst > 150*ms {
			t.Errorf("at %v times: %d of 9000 decided, the oldest had waited %v", factor, decided, worst)
		}
	}
	if decided, _ := simulateLoop(4, false); decided > 6000 {
		t.Errorf("%d decided without a queue limit: the test shows nothing", decided)
	}
}
