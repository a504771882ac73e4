package gateway

import (
	"testing"
	"time"

	"havencart/internal/native/muxframe"
	"havencart/scheduler"
)

func TestWorkerConnected_NewIncarnation_ReportsRestart(t *testing.T) {
	harness := newHarness(t, 1, nil)
	id := WorkerID("w0")
	harness.WorkerConnected(harness.clock, id, muxframe.Welcome{Worker: "w0", Incarnation: 1, UptimeMillis: 3600_000})
	request := harness.submit(idempotentClass)
	harness.endWith(request, scheduler.OK)
	harness.WorkerConnected(harness.clock, id, muxframe.Welcome{Worker: "w0", Incarnation: 2, UptimeMillis: 5})
	if info, restarted := harness.incarnations.ObserveConnection(harness.clock, id, 2, 5*ms); restarted || info.Started < harness.clock-10*ms {
		t.Errorf("started at %v, restarted %t; want a recent start and no further restart", info.Started, restarted)
	}
}

func TestLoadOrder_NoResponse_TimesOut(t *testing.T) {
	harness := newHarness(t, 2, func(s *Settings) { s.Scheduler.ReportsNotLoaded, s.Scheduler.LoadOrdersAllowed = true, true })
	request := harness.submit(idempotentClass)
	orders := 0
	for _, worker := range harness.clients {
		orders += len(worker.orders)
	}
	if orders == 0 {
		t.Fatal("no worker got a load order or a residency query")
	}
	harness.advance(2 * time.Second)
	harness.wantResponse(request, Rejected)
	if len(harness.loadOrders) != 0 {
		t.Errorf("%d load orders are still in flight", len(harness.loadOrders))
	}
}

// TestActions_HealthCheckAndUnload_ReachWorker calls the actions directly, because the scheduler requests neither at
// present.
func TestActions_HealthCheckAndUnload_ReachWorker(t *testing.T) {
	harness := newHarness(t, 1, nil)
	request := harness.submit(idempotentClass)
	id, worker := WorkerID("w0"), harness.clients["w0"]
	harness.CheckHealth(id)
	harness.Unload(id, FunctionID("f"))
	if len(worker.healthChecks) != 1 || worker.unloads != 1 || harness.Counts().HealthChecks != 1 {
		t.Fatalf("%d health checks and %d unloads were sent, want one each", len(worker.healthChecks), worker.unloads)
	}
	harness.HealthChecked(harness.clock, worker.healthChecks[0], scheduler.OK, nil)
	// A second response to the same health check must be ignored.
	harness.HealthChecked(harness.clock, worker.healthChecks[0], scheduler.OK, nil)
	harness.endWith(request, scheduler.OK)
}
