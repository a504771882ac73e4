package shed

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func TestABurstIsTaken(t *testing.T) {
	var s Shed
	for i := range 90 {
		if s.Arrived(time.Duration(i)*ms, 90*ms-time.Duration(i)*ms) {
			t.Fatalf("refused %d ms into a burst that passes", i)
		}
	}
}

func TestAStandingQueueIsShedUntilItIsShort(t *testing.T) {
	var s Shed
	refused := 0
	for i := range 300 {
		if s.Arrived(time.Duration(i)*ms, 50*ms) {
			refused++
		}
	}
	if refused != 200 {
		t.Errorf("%d of 300 refused, want all after the first interval", refused)
	}
	if s.Arrived(300*ms, 4*ms) {
		t.Error("refused a call that did not wait")
	}
	if s.Arrived(301*ms, 50*ms) {
		t.Error("refused at once after the queue was short")
	}
}

// TestALoopThatIsTooSlowServesFreshCalls plays a loop that can decide 1,000 calls a second, and refuse ten times
// as many, against 4,000 a second: what it takes must have waited little, and it must stay busy with it.
func TestALoopThatIsTooSlowServesFreshCalls(t *testing.T) {
	const decide, refuse = time.Millisecond, time.Millisecond / 10
	var s Shed
	now, taken, worst := time.Duration(0), 0, time.Duration(0)
	for i := 0; ; i++ {
		due := time.Duration(i) * time.Second / 4000
		if due > 10*time.Second {
			break
		}
		now = max(now, due)
		waited := now - due
		if s.Arrived(now, waited) {
			now += refuse
			continue
		}
		now += decide
		taken++
		if due > time.Second {
			worst = max(worst, waited)
		}
	}
	if taken < 5000 || worst > 250*ms {
		t.Errorf("%d taken in 10 s, the oldest after the first second waited %v", taken, worst)
	}
}
