package endpointlease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

var platformRules = Rules{
	NotifiedAfterSilence:      4 * time.Second,
	NotifiedAfterInterruption: 2 * time.Second,
	DrainGrace:                500 * ms,
}

// margin is half the sum of platformRules.DrainGrace and ruleSlack.
const margin = 275 * ms

func TestLease_EachEvent_ExpiresAfterNotification(t *testing.T) {
	const start = 10 * time.Second
	cases := map[string]struct {
		observe func(*Lease)
		want    time.Duration // notification time, relative to start
	}{
		"confirmed":                 {func(l *Lease) { l.Confirm(start + time.Second) }, 5 * time.Second},
		"confirmed, then silent":    {func(l *Lease) { l.Confirm(start); l.Confirm(start + time.Second) }, 5 * time.Second},
		"older confirmation":        {func(l *Lease) { l.Confirm(start + time.Second); l.Confirm(start) }, 5 * time.Second},
		"interrupted":               {func(l *Lease) { l.Confirm(start); l.Interrupt() }, 2 * time.Second},
		"interrupted twice":         {func(l *Lease) { l.Confirm(start); l.Interrupt(); l.Interrupt() }, 2 * time.Second},
		"requested again":           {func(l *Lease) { l.Confirm(start); l.Interrupt(); l.RequestUpdate(start + time.Second) }, time.Second},
		"requested after expiry":    {func(l *Lease) { l.Confirm(start); l.Interrupt(); l.RequestUpdate(start + time.Minute) }, 2 * time.Second},
		"confirmed after a request": {func(l *Lease) { l.RequestUpdate(start); l.Confirm(start + time.Second) }, 5 * time.Second},
	}
	for name, c := range cases {
		lease := New(platformRules, start)
		c.observe(&lease)
		if got, want := lease.ValidUntil(), start+c.want+margin; got != want {
			t.Errorf("%s: lease expires at %v, want %v", name, got, want)
		}
	}
}

// A process that starts during an outage may count as notified of a drain of before its start, so that its list is not
// valid at any time until the service confirms it.
func TestLease_NeverConfirmed_IsNotValid(t *testing.T) {
	for _, start := range []time.Duration{0, time.Millisecond, time.Minute} {
		for name, observe := range map[string]func(*Lease){
			"nothing":     func(*Lease) {},
			"interrupted": (*Lease).Interrupt,
			"requested":   func(l *Lease) { l.RequestUpdate(start + time.Second) },
		} {
			lease := New(platformRules, start)
			observe(&lease)
			if got := lease.ValidUntil(); got >= 0 {
				t.Errorf("start %v, %s: lease is valid until %v, want never", start, name, got)
			}
		}
	}
}

func TestLease_WithoutRules_NeverExpires(t *testing.T) {
	lease := New(Rules{DrainGrace: time.Second}, time.Minute)
	lease.Interrupt()
	lease.RequestUpdate(time.Minute)
	if lease.ValidUntil() != Unlimited || (Rules{}).AcceptanceValidUntil(time.Minute) != Unlimited {
		t.Errorf("lease expires at %v, acceptance at %v; want both Unlimited", lease.ValidUntil(), (Rules{}).AcceptanceValidUntil(time.Minute))
	}
}

func TestRecheckDelay_Doubles(t *testing.T) {
	for times, want := range map[int]time.Duration{0: time.Second, 1: time.Second, 2: 2 * time.Second, 4: 8 * time.Second, 100: 8 * time.Second} {
		if got := RecheckDelay(times); got != want {
			t.Errorf("RecheckDelay(%d) = %v, want %v", times, got, want)
		}
	}
}

func TestHealthCheckTimeout_IsTimeToConnectWithinBounds(t *testing.T) {
	for connect, want := range map[time.Duration]time.Duration{0: 50 * ms, 250 * ms: 250 * ms, time.Minute: time.Second} {
		if got := HealthCheckTimeout(connect); got != want {
			t.Errorf("HealthCheckTimeout(%v) = %v, want %v", connect, got, want)
		}
	}
}

// Regardless of when an outage begins after the last confirmation, and of when a worker begins to drain during it, no
// new work may start later than the rules allow.
func TestLease_AnyOutage_ExpiresWithinTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) time.Duration { return time.Duration(rapid.IntRange(0, 8000).Draw(t, name)) * ms }
		lease := New(platformRules, 0)
		confirmedAt := draw("confirmed")
		lease.Confirm(confirmedAt)
		outageAt := confirmedAt + draw("outage after")
		drainAt := outageAt + draw("drain after")
		notified := max(drainAt, outageAt+platformRules.NotifiedAfterSilence)
		if rapid.Bool().Draw(t, "interrupted") {
			lease.Interrupt()
			notified = max(drainAt, outageAt+platformRules.NotifiedAfterInterruption)
		}
		if rapid.Bool().Draw(t, "requested") {
			requestedAt := outageAt + draw("requested after")
			lease.RequestUpdate(requestedAt)
			notified = max(drainAt, min(notified, requestedAt))
		}
		if end := notified + platformRules.DrainGrace; lease.ValidUntil() > end {
			t.Fatalf("new work may start until %v, but the rules allow it only until %v", lease.ValidUntil(), end)
		}
		accepted := outageAt + draw("accepted after")
		if accepted <= drainAt && platformRules.AcceptanceValidUntil(accepted) > drainAt+platformRules.DrainGrace {
			t.Fatalf("worker that accepted work at %v and drained from %v may be sent new work until %v, after its grace period",
				accepted, drainAt, platformRules.AcceptanceValidUntil(accepted))
		}
	})
}
