package reconnect

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestBackoff_RepeatedFailures_DelayGrowsWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		backoff, now := NewBackoff(rapid.Uint64().Draw(t, "seed")), time.Duration(0)
		if backoff.NextDial() > now {
			t.Fatal("the first attempt is not allowed immediately")
		}
		longest := time.Duration(0)
		for range 200 {
			backoff.Failed(now)
			delay := backoff.NextDial() - now
			if delay < minBackoff || delay > maxBackoff {
				t.Fatalf("delay %v, want %v to %v", delay, minBackoff, maxBackoff)
			}
			longest, now = max(longest, delay), backoff.NextDial()
		}
		if longest < maxBackoff/4 {
			t.Fatalf("the longest delay of 200 failures was %v, want at least %v", longest, maxBackoff/4)
		}
	})
}

func TestBackoff_ManyFrontEnds_DialAtDifferentTimes(t *testing.T) {
	seen := map[time.Duration]bool{}
	for seed := range uint64(50) {
		backoff := NewBackoff(seed)
		backoff.Failed(0)
		backoff.Failed(0)
		backoff.Failed(0)
		seen[backoff.NextDial().Round(time.Millisecond)] = true
	}
	if len(seen) < 25 {
		t.Errorf("50 front ends reconnect at %d different times, want at least 25", len(seen))
	}
}

func TestBackoff_WaitingRequest_ShortensDelay(t *testing.T) {
	backoff := NewBackoff(1)
	for range 20 {
		backoff.Failed(time.Minute)
	}
	backoff.Requested()
	if got := backoff.NextDial(); got != time.Minute+minBackoff {
		t.Errorf("next dial at %v, want %v", got, time.Minute+minBackoff)
	}
}

func TestBackoff_AfterConnecting_StartsFromMinimumDelay(t *testing.T) {
	backoff := NewBackoff(1)
	for range 20 {
		backoff.Failed(0)
	}
	backoff.Connected()
	backoff.Failed(time.Minute)
	if delay := backoff.NextDial() - time.Minute; delay != minBackoff {
		t.Errorf("the first delay after a success is %v, want %v", delay, minBackoff)
	}
}
