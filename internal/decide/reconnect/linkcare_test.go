package reconnect

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestWaitsGrowAndStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := NewBackoff(rapid.Uint64().Draw(t, "seed")), time.Duration(0)
		if r.NextDial() > now {
			t.Fatal("the first attempt must wait")
		}
		longest := time.Duration(0)
		for range 200 {
			r.Failed(now)
			wait := r.NextDial() - now
			if wait < redialLeast || wait > redialMost {
				t.Fatalf("wait %v", wait)
			}
			longest, now = max(longest, wait), r.NextDial()
		}
		if longest < redialMost/4 {
			t.Fatalf("after 200 failures the longest wait was %v", longest)
		}
	})
}

func TestFrontEndsDoNotComeBackTogether(t *testing.T) {
	seen := map[time.Duration]bool{}
	for seed := range uint64(50) {
		r := NewBackoff(seed)
		r.Failed(0)
		r.Failed(0)
		r.Failed(0)
		seen[r.NextDial().Round(time.Millisecond)] = true
	}
	if len(seen) < 25 {
		t.Errorf("50 front ends dial again at %d different times", len(seen))
	}
}

func TestAWaitingCallCutsTheWaitShort(t *testing.T) {
	r := NewBackoff(1)
	for range 20 {
		r.Failed(time.Minute)
	}
	r.Requested()
	if got := r.NextDial(); got != time.Minute+redialLeast {
		t.Errorf("dials at %v, want %v after the failure", got, redialLeast)
	}
}

func TestASuccessForgetsTheFailures(t *testing.T) {
	r := NewBackoff(1)
	for range 20 {
		r.Failed(0)
	}
	r.Connected()
	r.Failed(time.Minute)
	if wait := r.NextDial() - time.Minute; wait != redialLeast {
		t.Errorf("the first wait after a success is %v", wait)
	}
}

func TestSilenceIsAskedThenGivenUp(t *testing.T) {
	p, now := NewKeepalive(0), time.Duration(0)
	pings := 0
	for {
		v, next := p.Check(now)
		if v == Dead {
			break
		}
		if v == Ping {
			pings++
		}
		if next <= now {
			t.Fatalf("%v at %v says to check again at %v", v, now, next)
		}
		now = next
	}
	if now != deadAfter || pings != 3 {
		t.Errorf("given up at %v after %d pings", now, pings)
	}
}

func TestASignOfLifeKeepsTheConnection(t *testing.T) {
	p := NewKeepalive(0)
	for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
		p.Received(now)
		if v, _ := p.Check(now); v != Wait {
			t.Fatalf("verdict %d at %v for a peer that talks", v, now)
		}
	}
}

func TestListIsAskedForAgainSpreadAndThenMoreSeldom(t *testing.T) {
	for failures, want := range map[int][2]time.Duration{0: {0, listFirst}, 1: {0, listFirst}, 2: {listFirst, 2 * listFirst},
		3: {listMost / 2, listMost}, 60: {listMost / 2, listMost}} {
		if least, most := WatchRetryDelay(failures, 0), WatchRetryDelay(failures, 0.9999); least != want[0] || most >= want[1] ||
			most < want[1]*9/10 {
			t.Errorf("after %d failures waits go from %v to %v; wanted %v", failures, least, most, want)
		}
	}
}

// TestSilenceOfTheListIsNoticedInTime: an empty event comes each second, and what is told in a silence counts as told
// after 4 s: a connection is made anew before that, and not for two events that come late.
func TestSilenceOfTheListIsNoticedInTime(t *testing.T) {
	if least, most := WatchSilenceTimeout(0), WatchSilenceTimeout(1); least <= 2*time.Second || most+WatchDialTimeout() > 4*time.Second || most-least < 500*time.Millisecond {
		t.Errorf("noticed after %v to %v", least, most)
	}
}
