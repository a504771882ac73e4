package tenancy

import (
	"testing"
	"time"
)

func TestShares_OtherTenantsBurst_LeavesSteadyTenantsGoodput(t *testing.T) {
	steady := offeredLoad{0, 20, 10 * ms, 0}
	burst := offeredLoad{1, 400, 10 * ms, 8 * time.Second}
	if off, _ := simulate(New(Settings{Shares: []float64{0, 0}}), steady, burst); off[0].goodput() > 0.2 {
		t.Fatalf("the steady tenant got %+v where nobody has a share: no overload", off[0])
	}
	for name, other := range map[string]offeredLoad{
		"many requests": burst,
		"long requests": {1, 20, 200 * ms, 8 * time.Second},
		"many and long": {1, 100, 100 * ms, 8 * time.Second},
	} {
		results, busy := simulate(newEvenlyShared(), steady, offeredLoad{1, 20, 10 * ms, 0}, other)
		if results[0].admitted != results[0].sent || results[0].goodput() < 0.8 {
			t.Errorf("%s: the steady tenant got %+v", name, results[0])
		}
		if busy < 0.5 {
			t.Errorf("%s: the server was busy for %.2f of the time, though more was demanded", name, busy)
		}
	}
}

func TestShares_ByRequestCount_IgnoresWork(t *testing.T) {
	results, _ := simulate(New(Settings{Shares: []float64{0.5, 0.5}, Basis: ByRequestCount}),
		offeredLoad{0, 20, 10 * ms, 0}, offeredLoad{1, 20, 200 * ms, 8 * time.Second})
	if results[0].goodput() > 0.5 {
		t.Errorf("%+v: the number of requests tells nothing of work; is the option still what it says?", results[0])
	}
}

func TestShares_IdleCapacity_IsLentWithoutLimit(t *testing.T) {
	results, _ := simulate(newEvenlyShared(), offeredLoad{0, 5, 10 * ms, 0}, offeredLoad{1, 80, 10 * ms, 0})
	if results[1].inTime != results[1].sent || results[0].inTime != results[0].sent {
		t.Errorf("%+v: rejected, though nobody lacked anything", results)
	}
	alone, _ := simulate(newEvenlyShared(), offeredLoad{1, 400, 10 * ms, 0})
	if alone[1].admitted != alone[1].sent {
		t.Errorf("%+v: a lone tenant was limited", alone[1])
	}
}

func TestShares_SeveralOverShare_DivideByShare(t *testing.T) {
	results, _ := simulate(New(Settings{Shares: []float64{0.2, 0.6, 0.2}}),
		offeredLoad{0, 10, 10 * ms, 0}, offeredLoad{1, 400, 10 * ms, 0}, offeredLoad{2, 400, 10 * ms, 0})
	if r := float64(results[1].admitted) / float64(results[2].admitted); r < 2.2 || r > 4 {
		t.Errorf("%+v: %.1f to 1, shares are 3 to 1", results, r)
	}
	if results[0].goodput() < 0.5 {
		t.Errorf("%+v: the third got less than it demanded within its share", results[0])
	}
}

func TestShares_LargeShare_CannotUseAllCapacity(t *testing.T) {
	results, _ := simulate(New(Settings{Shares: []float64{0.2, 0.8}}),
		offeredLoad{0, 5, 10 * ms, 0}, offeredLoad{1, 20, 200 * ms, 8 * time.Second})
	if results[0].goodput() < 0.6 {
		t.Errorf("%+v: the small tenant demands a quarter of its share", results[0])
	}
}

func TestShares_UnusualValues_StillAdmit(t *testing.T) {
	for _, shares := range [][]float64{{0, 0}, {0, 1}, {5, 5}, {1e-9, 1}} {
		results, _ := simulate(New(Settings{Shares: shares}), offeredLoad{0, 300, 10 * ms, 0}, offeredLoad{1, 300, 10 * ms, 0})
		if results[0].admitted+results[1].admitted == 0 {
			t.Errorf("shares %v: nothing is admitted at all", shares)
		}
	}
	if newEvenlyShared().RequestReceived(0, 7) != Admit {
		t.Error("a request of no known tenant was rejected")
	}
}
