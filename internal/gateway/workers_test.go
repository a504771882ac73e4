package gateway

import (
	"testing"
	"time"

	"havencart/internal/native/muxframe"
	"havencart/scheduler"
)

func TestWorkerConnected_NewIncarnation_ReportsRestart(t *testing.T) {
	h := newHarness(t, 1, nil)
	id := WorkerID("w0")
	h.WorkerConnected(h.clock, id, muxframe.Welcome{Worker: "w0", Incarnation: 1, UptimeMillis: 3600_000})
	request := h.submit(idempotentClass)
	h.endWith(request, scheduler.OK)
	h.WorkerConnected(h.clock, id, muxframe.Welcome{Worker: "w0", Incarnation: 2, UptimeMillis: 5})
	if info, restarted := h.incarnations.ObserveConnection(h.clock, id, 2, 5*ms); restarted || info.Started < h.clock-10*ms {
		t.Errorf("started %v, restarted %t", info.Started, restarted)
	}
}

func TestLoadOrder_NoResponse_TimesOut(t *testing.T) {
	h := newHarness(t, 2, func(s *Settings) { s.Scheduler.AnswersNotLoaded, s.Scheduler.LoadOrdersAllowed = true, true })
	request := h.submit(idempotentClass)
	orders := 0
	for _, worker := range h.clients {
		orders += len(worker.orders)
	}
	if orders == 0 {
		t.Fatal("no worker got a load order or a residency query")
	}
	h.advance(2 * time.Second)
	h.wantResponse(request, Rejected)
	if len(h.loadOrders) != 0 {
		t.Errorf("%d load orders are still in flight", len(h.loadOrders))
	}
}

// TestActions_HealthCheckAndUnload_ReachWorker calls the actions itself, as the scheduler asks for neither today.
func TestActions_HealthCheckAndUnload_ReachWorker(t *testing.T) {
	h := newHarness(t, 1, nil)
	request := h.submit(idempotentClass)
	id, worker := WorkerID("w0"), h.clients["w0"]
	h.CheckHealth(id)
	h.Unload(id, FunctionID("f"))
	if worker.healthChecks != 1 || worker.unloads != 1 || h.Counts().HealthChecks != 1 {
		t.Errorf("%d health checks, %d unloads", worker.healthChecks, worker.unloads)
	}
	h.HealthChecked(h.clock, id, scheduler.OK, nil)
	h.HealthChecked(h.clock, id, scheduler.OK, nil) // a response without a health check
	h.endWith(request, scheduler.OK)
}
