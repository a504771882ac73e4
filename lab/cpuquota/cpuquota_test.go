package cpuquota

import (
	"testing"
	"time"
)

func TestTokenBucket_ProcessUsesMoreThanItsShare_IsOverdrawnUntilRefilled(t *testing.T) {
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	bucket := tokenBucket{share: 0.1, updatedAt: start}
	steps := []struct {
		used, now time.Duration
		overdrawn bool
	}{
		{1 * time.Millisecond, 10 * time.Millisecond, false}, // exactly its share
		{3 * time.Millisecond, 20 * time.Millisecond, true},  // 1 ms above its share
		{3 * time.Millisecond, 29 * time.Millisecond, true},
		{3 * time.Millisecond, 30 * time.Millisecond, false},
		{3 * time.Millisecond, 10 * time.Second, false}, // accumulates maxTokens and no more
		{3*time.Millisecond + maxTokens, 10 * time.Second, false},
		{3*time.Millisecond + maxTokens + 1, 10 * time.Second, true},
	}
	for _, step := range steps {
		if overdrawn := bucket.update(step.used, at(step.now)); overdrawn != step.overdrawn {
			t.Errorf("after %v of processor time at %v: overdrawn %v", step.used, step.now, overdrawn)
		}
	}
}
