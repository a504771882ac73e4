package looplag

import (
	"testing"
	"time"
)

const (
	ms     = time.Millisecond
	window = 2 * time.Second
)

func TestDeadlineMargin_LongestLag_ScalesUpToTheBound(t *testing.T) {
	estimator := New(window)
	if estimator.DeadlineMargin(0) != 0 {
		t.Error("the margin before any observation is not 0")
	}
	estimator.Observe(time.Second, ignoredLag)
	if margin := estimator.DeadlineMargin(time.Second); margin != 0 {
		t.Errorf("margin %v for a normal lag, want 0", margin)
	}
	estimator.Observe(time.Second, 40*ms)
	estimator.Observe(time.Second+ms, 10*ms) // a shorter lag does not replace a longer one
	if margin := estimator.DeadlineMargin(time.Second + ms); margin != lagsPerRequest*40*ms {
		t.Errorf("margin %v after a lag of 40 ms, want %v", margin, lagsPerRequest*40*ms)
	}
	estimator.Observe(time.Second+2*ms, 10*time.Second)
	if margin := estimator.DeadlineMargin(time.Second + 2*ms); margin != maxMargin {
		t.Errorf("margin %v after a lag of 10 s, want %v", margin, maxMargin)
	}
}

// A lag counts for at least one window and at most two, regardless of how often the margin is read.
func TestDeadlineMargin_AfterALag_LastsOneToTwoWindows(t *testing.T) {
	for _, readEvery := range []time.Duration{window / 10, window / 2, 10 * window} {
		for _, when := range []time.Duration{0, window / 3, window - ms, window, 7 * window / 2} {
			estimator := New(window)
			estimator.Observe(when, 20*ms)
			for now := when; now <= when+5*window; now += readEvery {
				switch margin := estimator.DeadlineMargin(now); {
				case now <= when+window-ms && margin == 0:
					t.Errorf("lag observed at %v no longer counts at %v", when, now)
				case now >= when+2*window && margin != 0:
					t.Errorf("lag observed at %v still gives a margin of %v at %v", when, margin, now)
				}
			}
		}
	}
}
