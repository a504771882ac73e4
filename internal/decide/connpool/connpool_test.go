package connpool

import (
	"testing"
	"time"
)

func TestSelect(t *testing.T) {
	for name, test := range map[string]struct {
		all     []Connection
		mayOpen bool
		want    Choice
	}{
		"no connection, may open":       {nil, true, OpenConnection},
		"no connection, may not open":   {nil, false, NoConnection},
		"most recently used idle":       {[]Connection{{LastUsed: 1}, {LastUsed: 5}, {InFlight: 1, LastUsed: 9}}, true, 1},
		"open before sharing":           {[]Connection{{InFlight: 1}}, true, OpenConnection},
		"least loaded if none may open": {[]Connection{{InFlight: 3}, {InFlight: 2}}, false, 1},
		"all at the stream limit":       {[]Connection{{InFlight: 4}}, false, NoConnection},
		"draining is skipped":           {[]Connection{{Draining: true}, {InFlight: 3}}, false, 1},
	} {
		if got := Select(test.all, 4, test.mayOpen); got != test.want {
			t.Errorf("%s: %d, wanted %d", name, got, test.want)
		}
	}
}

func TestMayOpen_ManyToOneWorker_ReservesForOthers(t *testing.T) {
	own := 0
	for MayOpen(own, own, 0, 80) {
		own++
	}
	if own != 70 || !MayOpen(0, own, 0, 80) || MayOpen(0, 80, 0, 80) {
		t.Errorf("one worker may have %d of 80 connections, another then one: %v", own, MayOpen(0, own, 0, 80))
	}
}

// An idle connection makes room for a worker that has none, and for no second one.
func TestMayOpen_LimitReachedWithIdleConnections_OnlyWorkersWithNone(t *testing.T) {
	if !MayOpen(0, 80, 1, 80) || MayOpen(1, 80, 80, 80) {
		t.Errorf("with idle connections at the limit: a worker with none may open one: %v, one with a connection another: %v",
			MayOpen(0, 80, 1, 80), MayOpen(1, 80, 80, 80))
	}
}

func TestIdleTimeout_AnyWorkerTimeout_ClosesFirst(t *testing.T) {
	for _, limit := range []time.Duration{time.Second, 30 * time.Second} {
		if only, more := IdleTimeout(true, limit), IdleTimeout(false, limit); only >= limit || more > only || more <= 0 {
			t.Errorf("of %v the only one is kept %v, another %v", limit, only, more)
		}
	}
}
