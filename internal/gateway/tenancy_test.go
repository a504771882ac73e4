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
	for add, by := range map[string]tenancy.By{"": tenancy.Nothing, "shares work\n": tenancy.Work, "shares calls\n": tenancy.Calls} {
		set, err := gatewayconfig.Parse("f", add+text)
		if err != nil {
			t.Fatal(err)
		}
		want := tenancy.Settings{Shares: []float64{0.7, 0.3}, Quotas: []float64{25, 0}, By: by}
		if got := FrontEndSettings(set, 0, time.Time{}, 3).Tenancy; !reflect.DeepEqual(got, want) {
			t.Errorf("%q: %+v, want %+v", add, got, want)
		}
	}
}

// TestACallBeyondItsQuotaIsRefusedAtOnce: with advice, and without a word to the module.
func TestACallBeyondItsQuotaIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, 1, func(s *Settings) { s.Tenancy = tenancy.Settings{Shares: []float64{1}, Quotas: []float64{1}} })
	h.submit(idempotentClass)
	second := h.submit(idempotentClass)
	select {
	case f := <-second.Response():
		if f.Kind != Rejected || f.RetryAfter != 500*ms || f.Reason != tenancy.OverQuota.String() {
			t.Errorf("%+v", f)
		}
	default:
		t.Error("the second call in a second is held")
	}
	if c := h.Counts(); c.Admitted != 1 || c.Shed != 1 {
		t.Errorf("%+v", c)
	}
}

// TestTheWorkersWordOfARunCounts: what a call waited at the worker is not its tenant's work.
func TestTheWorkersWordOfARunCounts(t *testing.T) {
	for _, ran := range []time.Duration{30 * ms, 0} {
		h := newHarness(t, 1, nil)
		worker, a := h.sentAttempt(h.submit(idempotentClass))
		worker.remove(a)
		h.now += 400 * ms
		h.AttemptEnded(h.now, a, muxclient.Result{Status: scheduler.OK, ColdStart: scheduler.WarmStart, QueueDepth: -1, RunTime: ran, Response: &muxclient.Response{}})
		if got := h.functions[FunctionID("f")].cost.Expect(); got != cmp.Or(ran, 400*ms) {
			t.Errorf("a run of %v within 400 ms counts as %v", ran, got)
		}
	}
}
