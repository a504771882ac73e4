package gateway

import (
	"cmp"
	"reflect"
	"testing"
	"time"

	"havencart/internal/config/gatewayconfig"
	"havencart/internal/decide/tenancy"
	"havencart/internal/native/muxclient"
	"havencart/scheduler"
)

// TestTenantsPromisesReachTheFrontEnd: of a quota each front end has its part, of the shares all.
func TestTenantsPromisesReachTheFrontEnd(t *testing.T) {
	text := "directory file /nowhere\nfront-ends 4\nclass a\nend\ntenant t\n  share 0.7\n  quota 100\nend\ntenant u\n  share 0.3\nend\n"
	for add, by := range map[string]tenancy.ShareBasis{"": tenancy.NotEnforced, "shares work\n": tenancy.ByWork, "shares calls\n": tenancy.ByRequestCount} {
		set, err := gatewayconfig.Parse("f", add+text)
		if err != nil {
			t.Fatal(err)
		}
		want := tenancy.Settings{Shares: []float64{0.7, 0.3}, Quotas: []float64{25, 0}, Basis: by}
		if got := FrontEndSettings(set, 0, time.Time{}, 3).Tenancy; !reflect.DeepEqual(got, want) {
			t.Errorf("%q: %+v, want %+v", add, got, want)
		}
	}
}

// TestACallBeyondItsQuotaIsRefusedAtOnce: with advice, and without a word to the module.
func TestACallBeyondItsQuotaIsRefusedAtOnce(t *testing.T) {
	b := newBench(t, 1, func(s *Settings) { s.Tenancy = tenancy.Settings{Shares: []float64{1}, Quotas: []float64{1}} })
	b.call(safe)
	second := b.call(safe)
	select {
	case f := <-second.Response():
		if f.Kind != Rejected || f.RetryAfter != 500*ms || f.Reason != tenancy.OverQuota.String() {
			t.Errorf("%+v", f)
		}
	default:
		t.Error("the second call in a second is held")
	}
	if c := b.Counts(); c.Admitted != 1 || c.Shed != 1 {
		t.Errorf("%+v", c)
	}
}

// TestTheWorkersWordOfARunCounts: what a call waited at the worker is not its tenant's work.
func TestTheWorkersWordOfARunCounts(t *testing.T) {
	for _, ran := range []time.Duration{30 * ms, 0} {
		b := newBench(t, 1, nil)
		l, a := b.out(b.call(safe))
		l.drop(a)
		b.at += 400 * ms
		b.AttemptEnded(b.at, a, muxclient.Result{Status: scheduler.OK, ColdStart: scheduler.WarmStart, QueueDepth: -1, RunTime: ran, Response: &muxclient.Response{}})
		if got := b.functions[FunctionID("f")].cost.Estimate(); got != cmp.Or(ran, 400*ms) {
			t.Errorf("a run of %v within 400 ms counts as %v", ran, got)
		}
	}
}
