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
			t.Errorf("%s: Select = %d, want %d", name, got, test.want)
		}
	}
}

func TestMayOpen_ManyToOneWorker_ReservesForOthers(t *testing.T) {
	own := 0
	for MayOpen(own, own, 0, 80) {
		own++
	}
	if own != 70 || !MayOpen(0, own, 0, 80) || MayOpen(0, 80, 0, 80) {
		t.Errorf("one worker may open %d of 80 connections, want 70; another worker may then open its first: %v, want true",
			own, MayOpen(0, own, 0, 80))
	}
}

// At the limit, a worker without a connection may replace an idle one; a worker that has a connection may not.
func TestMayOpen_LimitReachedWithIdleConnections_OnlyWorkersWithNone(t *testing.T) {
	if !MayOpen(0, 80, 1, 80) || MayOpen(1, 80, 80, 80) {
		t.Errorf("idle connections at the limit: worker without a connection may open one: %v, want true; worker with one: %v, want false",
			MayOpen(0, 80, 1, 80), MayOpen(1, 80, 80, 80))
	}
}

func TestIdleTimeout_AnyWorkerTimeout_ClosesFirst(t *testing.T) {
	for _, limit := range []time.Duration{time.Second, 30 * time.Second} {
		if only, more := IdleTimeout(true, limit), IdleTimeout(false, limit); only >= limit || more > only || more <= 0 {
			t.Errorf("worker timeout %v: the only connection is kept for %v, an additional one for %v; want both shorter", limit, only, more)
		}
	}
}

func TestReceiptTimeout(t *testing.T) {
	for name, test := range map[string]struct {
		permitEnded, healthChecksAllowed bool
		timeout                          time.Duration
		limited                          bool
	}{
		"health checks allowed":                   {false, true, CancelledWriteTimeout(), true},
		"health checks not allowed":               {false, false, 0, false},
		"permit ended":                            {true, true, 0, true},
		"permit ended, health checks not allowed": {true, false, 0, true},
	} {
		if timeout, limited := ReceiptTimeout(test.permitEnded, test.healthChecksAllowed); timeout != test.timeout || limited != test.limited {
			t.Errorf("%s: ReceiptTimeout = %v, %v, want %v, %v", name, timeout, limited, test.timeout, test.limited)
		}
	}
	if limit := 100 * time.Millisecond; CancelledWriteTimeout() >= limit {
		t.Errorf("a cancelled attempt may arrive up to %v after its cancellation, want less than %v", CancelledWriteTimeout(), limit)
	}
}
