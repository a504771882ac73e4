package loadshed

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func TestABurstIsTaken(t *testing.T) {
	var s Shedder
	for i := range 90 {
		if s.ShouldReject(time.Duration(i)*ms, 90*ms-time.Duration(i)*ms) || s.QueueLimit() < 1e6 {
			t.Fatalf("refused %d ms into a burst that passes", i)
		}
	}
}

func TestAStandingQueueIsShedUntilItIsShort(t *testing.T) {
	var s Shedder
	refused := 0
	for i := range 300 {
		if s.ShouldReject(time.Duration(i)*ms, 50*ms) {
			refused++
		}
	}
	if refused != 200 {
		t.Errorf("%d of 300 refused, want all after the first interval", refused)
	}
	if got := s.QueueLimit(); got < 2 || got > 10 {
		t.Errorf("room for %d at a millisecond each, want 10 ms of them, or less as none was decided lately", got)
	}
	if s.ShouldReject(300*ms, 4*ms) || s.QueueLimit() > 10 {
		t.Error("refused a call that did not wait, or took the queue for one that does not stand after one short wait")
	}
	if s.ShouldReject(400*ms, 4*ms) || s.QueueLimit() < 1e6 {
		t.Error("still standing after a hundred milliseconds of short waits")
	}
	if s.ShouldReject(401*ms, 50*ms) {
		t.Error("refused at once after the queue was short")
	}
}

func TestTheDoorOpensWhereNobodyComes(t *testing.T) {
	var s Shedder
	for i := range 300 {
		s.ShouldReject(time.Duration(i)*ms, 50*ms)
	}
	s.QueueEmptied(300 * ms)
	if s.QueueLimit() > 10 {
		t.Error("open after one moment without calls")
	}
	s.QueueEmptied(400 * ms)
	if s.QueueLimit() < 1e6 {
		t.Error("still narrow after a hundred milliseconds without calls")
	}
}

// loop plays a loop that can decide 1,000 calls a second, and refuse five times as many, against factor times that
// for ten seconds. It returns how many it decided and the longest wait of one, both after the first second.
func loop(factor float64, doors bool) (decided int, worst time.Duration) {
	const decide, refuse = ms, ms / 5
	var s Shedder
	var queue []time.Duration // when they came
	every := time.Duration(float64(ms) / factor)
	next, now := time.Duration(0), time.Duration(0)
	for now < 10*time.Second {
		for ; next <= now; next += every {
			if !doors || len(queue) < s.QueueLimit() {
				queue = append(queue, next)
			}
		}
		if len(queue) == 0 {
			now = next
			continue
		}
		due := queue[0]
		queue = queue[1:]
		if s.ShouldReject(now, now-due) {
			now += refuse
			continue
		}
		if now > time.Second {
			decided++
			worst = max(worst, now-due)
		}
		now += decide
	}
	return decided, worst
}

// TestALoopThatIsTooSlowServesFreshCalls: at four times what it can do the loop decides nine tenths of what it can,
// and what it decides has waited little. Without a door it spends its time on refusals.
func TestALoopThatIsTooSlowServesFreshCalls(t *testing.T) {
	for _, factor := range []float64{1.05, 1.5, 2, 4, 10} {
		if decided, worst := loop(factor, true); decided < 8100 || worst > 150*ms {
			t.Errorf("at %v times: %d of 9000 decided, the oldest had waited %v", factor, decided, worst)
		}
	}
	if decided, _ := loop(4, false); decided > 6000 {
		t.Errorf("%d decided without a door: the test shows nothing", decided)
	}
}
