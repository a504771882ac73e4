package scheduler

import (
	"testing"
	"time"
)

func TestLoadRateLimit_BurstUsed_AllowsNoMoreOrders(t *testing.T) {
	set := testSettings()
	set.ReportsNotLoaded, set.LoadRateWindow, set.LoadRateBurst, set.LoadRatePerRequest = true, 5*time.Second, 2, 0
	h := newHarness(t, set, 4)
	for f := range FunctionID(6) {
		h.request(f, 0)
		h.answerQueries()
		h.answerQueries()
	}
	h.advance(time.Second)
	if len(h.orders) != 2 {
		t.Errorf("%d load orders, want 2, the load rate limit", len(h.orders))
	}
}

func TestStartLoad_ManyColdFunctions_LimitsLoadsInFlight(t *testing.T) {
	h := newHarness(t, testSettings(), 20)
	h.scheduler.demand.runTime.Add(h.now, demandMemory, float64(time.Hour)) // demand for other functions
	for f := range FunctionID(3 * maxLoadsInFlight) {
		h.warm(f)
	}
	h.advance(2 * h.scheduler.settings.ReplicaIdleTimeout) // all replicas expire
	before := h.count("send")
	for f := range FunctionID(3 * maxLoadsInFlight) {
		h.request(f, 0)
		h.answerQueries()
		h.answerQueries()
	}
	if sent := h.count("send") - before; sent != maxLoadsInFlight {
		t.Errorf("%d loads in flight at once, want %d", sent, maxLoadsInFlight)
	}
}

// TestLoadBreaker_StoppedStore_OpensUntilALoadSucceeds guards against continued loads during an outage of the
// function store, in which each load fails at once and its request is sent to the next worker. The breaker must open
// after a few failures, then allow one load at a time, and close after the first success.
func TestLoadBreaker_StoppedStore_OpensUntilALoadSucceeds(t *testing.T) {
	h := newHarness(t, testSettings(), 20)
	attemptLoads := func(status Status, coldStart ColdStart) (loads int) {
		for range 100 {
			r := h.request(7, 0)
			h.answerQueries()
			h.answerQueries()
			for id := RequestID(1); id <= r; id++ {
				for n := 0; h.answers[id] == "" && h.scheduler.requests[id] != nil && h.scheduler.requests[id].replica != nil && n < 50; n++ {
					loads++
					h.endAttempt(id, status, coldStart)
				}
			}
			h.advance(20 * ms)
		}
		return loads
	}
	if loads := attemptLoads(NotLoaded, ColdStartFailed); loads < 4 || loads > 12 {
		t.Errorf("%d loads attempted while the store was down for 2 s, want 4 to 12", loads)
	}
	h.advance(2 * maxBreakerOpenTime)
	if loads := attemptLoads(OK, ColdStartTriggered); loads < 80 {
		t.Errorf("%d of 100 requests sent after the store recovered, want at least 80", loads)
	}
}

func TestLoadRateLimit_WindowEdge_CountsAgainstOrder(t *testing.T) {
	set := testSettings()
	set.LoadRateWindow, set.LoadRateBurst, set.LoadRatePerRequest = 5*time.Second, 0, 1
	h := newHarness(t, set, 4)
	for range 3 {
		h.scheduler.loadRate.requestTimes = append(h.scheduler.loadRate.requestTimes, h.now)
	}
	h.scheduler.loadRate.orderTimes = append(h.scheduler.loadRate.orderTimes, h.now)
	h.scheduler.now += 5 * time.Second // an outside observer may or may not count the requests now
	if h.scheduler.loadRate.allows(h.scheduler.now, &h.scheduler.settings) {
		t.Error("requests at the edge of the window allowed an order")
	}
	h.scheduler.loadRate.requestTimes = append(h.scheduler.loadRate.requestTimes, h.scheduler.now)
	if h.scheduler.loadRate.allows(h.scheduler.now, &h.scheduler.settings) {
		t.Error("an order at the edge of the window was not counted")
	}
	h.scheduler.now += tickInterval + ms
	if !h.scheduler.loadRate.allows(h.scheduler.now, &h.scheduler.settings) {
		t.Error("no order allowed although one request was received and no load ordered in the window")
	}
}
