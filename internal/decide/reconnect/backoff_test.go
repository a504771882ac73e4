package reconnect

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestBackoff_RepeatedFailures_WaitGrowsWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		backoff, now := NewBackoff(rapid.Uint64().Draw(t, "seed")), time.Duration(0)
		if backoff.NextDial() > now {
			t.Fatal("the first attempt must wait")
		}
		longest := time.Duration(0)
		for range 200 {
			backoff.Failed(now)
			wait := backoff.NextDial() - now
			if wait < minBackoff || wait > maxBackoff {
				t.Fatalf("wait %v", wait)
			}
			longest, now = max(longest, wait), backoff.NextDial()
		}
		if longest < maxBackoff/4 {
			t.Fatalf("after 200 failures the longest wait was %v", longest)
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
		t.Errorf("50 front ends dial again at %d different times", len(seen))
	}
}

func TestBackoff_WaitingRequest_ShortensTheWait(t *testing.T) {
	backoff := NewBackoff(1)
	for range 20 {
		backoff.Failed(time.Minute)
	}
	backoff.Requested()
	if got := backoff.NextDial(); got != time.Minute+minBackoff {
		t.Errorf("dials at %v, want %v after the failure", got, minBackoff)
	}
}

func TestBackoff_AfterConnecting_StartsFromTheLeastWait(t *testing.T) {
	backoff := NewBackoff(1)
	for range 20 {
		backoff.Failed(0)
	}
	backoff.Connected()
	backoff.Failed(time.Minute)
	if wait := backoff.NextDial() - time.Minute; wait != minBackoff {
		t.Errorf("the first wait after a success is %v", wait)
	}
}
