package looplag

import (
	"testing"
	"time"
)

const (
	ms   = time.Millisecond
	span = 2 * time.Second
)

func TestAnswersAreGivenSoonerByAProcessThatIsLate(t *testing.T) {
	l := New(span)
	if l.DeadlineMargin(0) != 0 {
		t.Error("sooner before anything was seen")
	}
	l.Observe(time.Second, heed)
	if lead := l.DeadlineMargin(time.Second); lead != 0 {
		t.Errorf("sooner by %v for what is usual", lead)
	}
	l.Observe(time.Second, 40*ms)
	l.Observe(time.Second+ms, 10*ms) // less does not hide more
	if lead := l.DeadlineMargin(time.Second + ms); lead != passes*40*ms {
		t.Errorf("sooner by %v after 40 ms", lead)
	}
	l.Observe(time.Second+2*ms, 10*time.Second)
	if lead := l.DeadlineMargin(time.Second + 2*ms); lead != most {
		t.Errorf("sooner by %v after 10 s", lead)
	}
}

// TestLatenessIsRememberedAsLongAsACallThatWasThere, and no longer than twice that.
func TestLatenessIsRememberedAsLongAsACallThatWasThere(t *testing.T) {
	for _, asked := range []time.Duration{span / 10, span / 2, 10 * span} { // however often it is asked
		for _, when := range []time.Duration{0, span / 3, span - ms, span, 7 * span / 2} {
			l := New(span)
			l.Observe(when, 20*ms)
			for now := when; now <= when+5*span; now += asked {
				switch lead := l.DeadlineMargin(now); {
				case now <= when+span-ms && lead == 0:
					t.Errorf("seen at %v, forgotten at %v", when, now)
				case now >= when+2*span && lead != 0:
					t.Errorf("seen at %v, still %v at %v", when, lead, now)
				}
			}
		}
	}
}
