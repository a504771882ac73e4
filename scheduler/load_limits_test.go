package scheduler

import (
	"testing"
	"time"
)

func TestLoadRateLimit_BurstUsed_AllowsNoMoreOrders(t *testing.T) {
	set := testSettings()
	set.AnswersNotLoaded, set.LoadRateWindow, set.LoadRateBurst, set.LoadRatePerRequest = true, 5*time.Second, 2, 0
	script := newHarness(t, set, 4)
	for f := range FunctionID(6) {
		script.request(f, 0)
		script.answerQueries()
		script.answerQueries()
	}
	script.advance(time.Second)
	if len(script.orders) != 2 {
		t.Errorf("%d orders, the load rate limit is 2", len(script.orders))
	}
}

func TestStartLoad_ManyColdFunctions_LimitsLoadsInFlight(t *testing.T) {
	script := newHarness(t, testSettings(), 20)
	script.scheduler.demand.runTime.Add(script.now, demandMemory, float64(time.Hour)) // of other functions
	for f := range FunctionID(3 * maxLoadsInFlight) {
		script.warm(f)
	}
	script.advance(2 * script.scheduler.settings.ReplicaIdleTimeout) // nothing is believed any more
	before := script.count("send")
	for f := range FunctionID(3 * maxLoadsInFlight) {
		script.request(f, 0)
		script.answerQueries()
		script.answerQueries()
	}
	if sent := script.count("send") - before; sent != maxLoadsInFlight {
		t.Errorf("%d loads in flight at once, want %d", sent, maxLoadsInFlight)
	}
}

// TestLoadBreaker_StoppedStore_OpensUntilALoadSucceeds: each load fails at once, and its request is sent to the next
// worker. After a few failures the breaker opens, then lets one load through at a time; the first success closes it.
func TestLoadBreaker_StoppedStore_OpensUntilALoadSucceeds(t *testing.T) {
	script := newHarness(t, testSettings(), 20)
	tried := func(as Status, coldStart ColdStart) (loads int) {
		for range 100 {
			r := script.request(7, 0)
			script.answerQueries()
			script.answerQueries()
			for id := RequestID(1); id <= r; id++ {
				for n := 0; script.answers[id] == "" && script.scheduler.requests[id] != nil && script.scheduler.requests[id].replica != nil && n < 50; n++ {
					loads++
					script.endAttempt(id, as, coldStart)
				}
			}
			script.advance(20 * ms)
		}
		return loads
	}
	if loads := tried(NotLoaded, ColdStartFailed); loads < 4 || loads > 12 {
		t.Errorf("%d loads were tried in 2 s of a stopped store", loads)
	}
	script.advance(2 * maxBreakerOpenTime)
	if loads := tried(OK, ColdStartTriggered); loads < 80 {
		t.Errorf("%d requests of 100 were sent once the store was back", loads)
	}
}

func TestLoadRateLimit_WindowEdge_CountsAgainstOrder(t *testing.T) {
	set := testSettings()
	set.LoadRateWindow, set.LoadRateBurst, set.LoadRatePerRequest = 5*time.Second, 0, 1
	script := newHarness(t, set, 4)
	for range 3 {
		script.scheduler.loadRate.requestTimes = append(script.scheduler.loadRate.requestTimes, script.now)
	}
	script.scheduler.loadRate.orderTimes = append(script.scheduler.loadRate.orderTimes, script.now)
	script.scheduler.now += 5 * time.Second // whether the requests still count is for the window's judge to say
	if script.scheduler.loadRate.allows(script.scheduler.now, &script.scheduler.settings) {
		t.Error("an order is allowed by requests at the very edge of the window")
	}
	script.scheduler.loadRate.requestTimes = append(script.scheduler.loadRate.requestTimes, script.scheduler.now)
	if script.scheduler.loadRate.allows(script.scheduler.now, &script.scheduler.settings) {
		t.Error("an order at the very edge of the window does not count")
	}
	script.scheduler.now += tickInterval + ms
	if !script.scheduler.loadRate.allows(script.scheduler.now, &script.scheduler.settings) {
		t.Error("no order is allowed though one request was taken and none ordered in the window")
	}
}
