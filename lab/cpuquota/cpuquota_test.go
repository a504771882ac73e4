package cpuquota

import (
	"testing"
	"time"
)

func TestAccount_ProcessUsesMoreThanItsPart_IsStoppedUntilItHasEarnedIt(t *testing.T) {
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	account := account{part: 0.1, lookedAt: start}
	steps := []struct {
		used, now time.Duration
		exceeded  bool
	}{
		{1 * time.Millisecond, 10 * time.Millisecond, false}, // just its part
		{3 * time.Millisecond, 20 * time.Millisecond, true},  // one too much
		{3 * time.Millisecond, 29 * time.Millisecond, true},
		{3 * time.Millisecond, 30 * time.Millisecond, false},
		{3 * time.Millisecond, 10 * time.Second, false}, // saves up maxCredit and no more
		{3*time.Millisecond + maxCredit, 10 * time.Second, false},
		{3*time.Millisecond + maxCredit + 1, 10 * time.Second, true},
	}
	for _, step := range steps {
		if exceeded := account.update(step.used, at(step.now)); exceeded != step.exceeded {
			t.Errorf("after %v of use at %v: exceeded %v", step.used, step.now, exceeded)
		}
	}
}
