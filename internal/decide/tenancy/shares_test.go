package tenancy

import (
	"testing"
	"time"
)

func TestShares_OtherTenantsBurst_LeavesSteadyTenantsGoodput(t *testing.T) {
	steady := offeredLoad{0, 20, 10 * ms, 0}
	burst := offeredLoad{1, 400, 10 * ms, 8 * time.Second}
	if off, _ := simulate(New(Settings{Shares: []float64{0, 0}}), steady, burst); off[0].goodput() > 0.2 {
		t.Fatalf("without shares the steady tenant got %+v, want a goodput of at most 0.2; otherwise the test has no overload", off[0])
	}
	for name, other := range map[string]offeredLoad{
		"many requests": burst,
		"long requests": {1, 20, 200 * ms, 8 * time.Second},
		"many and long": {1, 100, 100 * ms, 8 * time.Second},
	} {
		results, busy := simulate(newEvenlyShared(), steady, offeredLoad{1, 20, 10 * ms, 0}, other)
		if results[0].admitted != results[0].sent || results[0].goodput() < 0.8 {
			t.Errorf("%s: the steady tenant got %+v, want all admitted and a goodput of at least 0.8", name, results[0])
		}
		if busy < 0.5 {
			t.Errorf("%s: the worker was busy for %.2f of the time despite the overload, want at least 0.5", name, busy)
		}
	}
}

func TestShares_ByRequestCount_IgnoresWork(t *testing.T) {
	results, _ := simulate(New(Settings{Shares: []float64{0.5, 0.5}, Basis: ByRequestCount}),
		offeredLoad{0, 20, 10 * ms, 0}, offeredLoad{1, 20, 200 * ms, 8 * time.Second})
	if results[0].goodput() > 0.5 {
		t.Errorf("%+v: goodput above 0.5 with long requests of another tenant; ByRequestCount seems to count work", results[0])
	}
}

func TestShares_IdleCapacity_IsLentWithoutLimit(t *testing.T) {
	results, _ := simulate(newEvenlyShared(), offeredLoad{0, 5, 10 * ms, 0}, offeredLoad{1, 80, 10 * ms, 0})
	if results[1].inTime != results[1].sent || results[0].inTime != results[0].sent {
		t.Errorf("%+v: requests rejected or late although capacity was idle", results)
	}
	alone, _ := simulate(newEvenlyShared(), offeredLoad{1, 400, 10 * ms, 0})
	if alone[1].admitted != alone[1].sent {
		t.Errorf("%+v: requests of the only sending tenant were rejected", alone[1])
	}
}

func TestShares_SeveralOverShare_DivideByShare(t *testing.T) {
	results, _ := simulate(New(Settings{Shares: []float64{0.2, 0.6, 0.2}}),
		offeredLoad{0, 10, 10 * ms, 0}, offeredLoad{1, 400, 10 * ms, 0}, offeredLoad{2, 400, 10 * ms, 0})
	if r := float64(results[1].admitted) / float64(results[2].admitted); r < 2.2 || r > 4 {
		t.Errorf("%+v: admitted requests are %.1f to 1, want 2.2 to 4 as the shares are 3 to 1", results, r)
	}
	if results[0].goodput() < 0.5 {
		t.Errorf("%+v: goodput of the tenant within its share is below 0.5", results[0])
	}
}

func TestShares_LargeShare_CannotUseAllCapacity(t *testing.T) {
	results, _ := simulate(New(Settings{Shares: []float64{0.2, 0.8}}),
		offeredLoad{0, 5, 10 * ms, 0}, offeredLoad{1, 20, 200 * ms, 8 * time.Second})
	if results[0].goodput() < 0.6 {
		t.Errorf("%+v: goodput below 0.6 for the small tenant, which demands a quarter of its share", results[0])
	}
}

func TestShares_UnusualValues_StillAdmit(t *testing.T) {
	for _, shares := range [][]float64{{0, 0}, {0, 1}, {5, 5}, {1e-9, 1}} {
		results, _ := simulate(New(Settings{Shares: shares}), offeredLoad{0, 300, 10 * ms, 0}, offeredLoad{1, 300, 10 * ms, 0})
		if results[0].admitted+results[1].admitted == 0 {
			t.Errorf("shares %v: no request is admitted", shares)
		}
	}
	if newEvenlyShared().RequestReceived(0, 7) != Admit {
		t.Error("a request of an unknown tenant was rejected")
	}
}
