package scheduler

import (
	"testing"
	"time"
)

func TestLoadRateLimit_BurstUsed_AllowsNoMoreOrders(t *testing.T) {
	set := testSettings()
	set.AnswersNotLoaded, set.LoadRateWindow, set.LoadRateBurst, set.LoadRatePerRequest = true, 5*time.Second, 2, 0
	h := newHarness(t, set, 4)
	for f := range FunctionID(6) {
		h.request(f, 0)
		h.answerQueries()
		h.answerQueries()
	}
	h.advance(time.Second)
	if len(h.orders) != 2 {
		t.Errorf("%d orders, the load rate limit is 2", len(h.orders))
	}
}

func TestStartLoad_ManyColdFunctions_LimitsLoadsInFlight(t *testing.T) {
	h := newHarness(t, testSettings(), 20)
	h.scheduler.demand.runTime.Add(h.now, demandMemory, float64(time.Hour)) // of other functions
	for f := range FunctionID(3 * maxLoadsInFlight) {
		h.warm(f)
	}
	h.advance(2 * h.scheduler.settings.ReplicaIdleTimeout) // nothing is believed any more
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

// TestLoadBreaker_StoppedStore_OpensUntilALoadSucceeds: each load fails at once, and its request is sent to the next
// worker. After a few failures the breaker opens, then lets one load through at a time; the first success closes it.
func TestLoadBreaker_StoppedStore_OpensUntilALoadSucceeds(t *testing.T) {
	h := newHarness(t, testSettings(), 20)
	tried := func(as Status, coldStart ColdStart) (loads int) {
		for range 100 {
			r := h.request(7, 0)
			h.answerQueries()
			h.answerQueries()
			for id := RequestID(1); id <= r; id++ {
				for n := 0; h.answers[id] == "" && h.scheduler.requests[id] != nil && h.scheduler.requests[id].replica != nil && n < 50; n++ {
					loads++
					h.endAttempt(id, as, coldStart)
				}
			}
			h.advance(20 * ms)
		}
		return loads
	}
	if loads := tried(NotLoaded, ColdStartFailed); loads < 4 || loads > 12 {
		t.Errorf("%d loads were tried in 2 s of a stopped store", loads)
	}
	h.advance(2 * maxBreakerOpenTime)
	if loads := tried(OK, ColdStartTriggered); loads < 80 {
		t.Errorf("%d requests of 100 were sent once the store was back", loads)
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
	h.scheduler.now += 5 * time.Second // whether the requests still count is for the window's judge to say
	if h.scheduler.loadRate.allows(h.scheduler.now, &h.scheduler.settings) {
		t.Error("an order is allowed by requests at the very edge of the window")
	}
	h.scheduler.loadRate.requestTimes = append(h.scheduler.loadRate.requestTimes, h.scheduler.now)
	if h.scheduler.loadRate.allows(h.scheduler.now, &h.scheduler.settings) {
		t.Error("an order at the very edge of the window does not count")
	}
	h.scheduler.now += tickInterval + ms
	if !h.scheduler.loadRate.allows(h.scheduler.now, &h.scheduler.settings) {
		t.Error("no order is allowed though one request was taken and none ordered in the window")
	}
}
