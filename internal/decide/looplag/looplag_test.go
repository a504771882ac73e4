package looplag

import (
	"testing"
	"time"
)

const (
	ms     = time.Millisecond
	window = 2 * time.Second
)

func TestDeadlineMargin_WorstLag_ScalesUpToTheBound(t *testing.T) {
	estimator := New(window)
	if estimator.DeadlineMargin(0) != 0 {
		t.Error("a margin before anything was observed")
	}
	estimator.Observe(time.Second, ignoredLag)
	if margin := estimator.DeadlineMargin(time.Second); margin != 0 {
		t.Errorf("margin %v for an ordinary lag", margin)
	}
	estimator.Observe(time.Second, 40*ms)
	estimator.Observe(time.Second+ms, 10*ms) // less does not hide more
	if margin := estimator.DeadlineMargin(time.Second + ms); margin != lagsPerRequest*40*ms {
		t.Errorf("margin %v after 40 ms", margin)
	}
	estimator.Observe(time.Second+2*ms, 10*time.Second)
	if margin := estimator.DeadlineMargin(time.Second + 2*ms); margin != maxMargin {
		t.Errorf("margin %v after 10 s", margin)
	}
}

// A lag counts for one window at least and for two at most.
func TestDeadlineMargin_AfterALag_LastsOneToTwoWindows(t *testing.T) {
	for _, readEvery := range []time.Duration{window / 10, window / 2, 10 * window} { // however often the margin is read
		for _, when := range []time.Duration{0, window / 3, window - ms, window, 7 * window / 2} {
			estimator := New(window)
			estimator.Observe(when, 20*ms)
			for now := when; now <= when+5*window; now += readEvery {
				switch margin := estimator.DeadlineMargin(now); {
				case now <= when+window-ms && margin == 0:
					t.Errorf("observed at %v, forgotten at %v", when, now)
				case now >= when+2*window && margin != 0:
					t.Errorf("observed at %v, still %v at %v", when, margin, now)
				}
			}
		}
	}
}
