package scheduler

import (
	"testing"
	"time"
)

func TestLoadRateLimit_BurstUsed_AllowsNoMoreOrders(t *testing.T) {
	set := testSettings()
	set.ReportsNotLoaded, set.LoadRateWindow, set.LoadRateBurst, set.LoadRatePerRequest = true, 5*time.Second, 2, 0
	harness := newHarness(t, set, 4)
	for f := range FunctionID(6) {
		harness.request(f, 0)
		harness.answerQueries()
		harness.answerQueries()
	}
	harness.advance(time.Second)
	if len(harness.orders) != 2 {
		t.Errorf("%d load orders, want 2, the load rate limit", len(harness.orders))
	}
}

func TestStartLoad_ManyColdFunctions_LimitsLoadsInFlight(t *testing.T) {
	harness := newHarness(t, testSettings(), 20)
	harness.scheduler.demand.runTime.Add(harness.now, demandMemory, float64(time.Hour)) // demand for other functions
	for f := range FunctionID(3 * maxLoadsInFlight) {
		harness.warm(f)
	}
	harness.advance(2 * harness.scheduler.settings.ReplicaIdleTimeout) // all replicas expire
	before := harness.count("send")
	for f := range FunctionID(3 * maxLoadsInFlight) {
		harness.request(f, 0)
		harness.answerQueries()
		harness.answerQueries()
	}
	if sent := harness.count("send") - before; sent != maxLoadsInFlight {
		t.Errorf("%d loads in flight at once, want %d", sent, maxLoadsInFlight)
	}
}

// TestLoadBreaker_StoppedStore_OpensUntilALoadSucceeds guards against continued loads during an outage of the
// function store, in which each load fails at once and its request is sent to the next worker. The breaker must open
// after a few failures, then allow one load at a time, and close after the first success.
func TestLoadBreaker_StoppedStore_OpensUntilALoadSucceeds(t *testing.T) {
	harness := newHarness(t, testSettings(), 20)
	attemptLoads := func(status Status, coldStart ColdStart) (loads int) {
		for range 100 {
			r := harness.request(7, 0)
			harness.answerQueries()
			harness.answerQueries()
			for id := RequestID(1); id <= r; id++ {
				for n := 0; harness.finalResponses[id] == "" && harness.scheduler.requests[id] != nil && harness.scheduler.requests[id].replica != nil && n < 50; n++ {
					loads++
					harness.endAttempt(id, status, coldStart)
				}
			}
			harness.advance(20 * ms)
		}
		return loads
	}
	if loads := attemptLoads(NotLoaded, ColdStartFailed); loads < 4 || loads > 12 {
		t.Errorf("%d loads attempted while the store was down for 2 s, want 4 to 12", loads)
	}
	harness.advance(2 * maxBreakerOpenTime)
	if loads := attemptLoads(OK, ColdStartTriggered); loads < 80 {
		t.Errorf("%d of 100 requests sent after the store recovered, want at least 80", loads)
	}
}

func TestLoadRateLimit_WindowEdge_CountsAgainstOrder(t *testing.T) {
	set := testSettings()
	set.LoadRateWindow, set.LoadRateBurst, set.LoadRatePerRequest = 5*time.Second, 0, 1
	harness := newHarness(t, set, 4)
	for range 3 {
		harness.scheduler.loadRate.requestTimes = append(harness.scheduler.loadRate.requestTimes, harness.now)
	}
	harness.scheduler.loadRate.orderTimes = append(harness.scheduler.loadRate.orderTimes, harness.now)
	harness.scheduler.now += 5 * time.Second // whoever checks the limit may or may not count the requests now
	if harness.scheduler.loadRate.allows(harness.scheduler.now, &harness.scheduler.settings) {
		t.Error("requests at the edge of the window allowed an order")
	}
	harness.scheduler.loadRate.requestTimes = append(harness.scheduler.loadRate.requestTimes, harness.scheduler.now)
	if harness.scheduler.loadRate.allows(harness.scheduler.now, &harness.scheduler.settings) {
		t.Error("an order at the edge of the window was not counted")
	}
	harness.scheduler.now += tickInterval + ms
	if !harness.scheduler.loadRate.allows(harness.scheduler.now, &harness.scheduler.settings) {
		t.Error("no order allowed although one request was received and no load ordered in the window")
	}
}
