package scheduler

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// verifyFunctions compares the function table with a scan of all functions.
func verifyFunctions(t *testing.T, s *Scheduler) {
	t.Helper()
	table := &s.functions
	if len(table.active)+len(table.idle) != len(table.byID) {
		t.Errorf("%d active and %d idle functions do not add up to %d", len(table.active), len(table.idle), len(table.byID))
	}
	for id, function := range table.byID {
		if function.id != id {
			t.Errorf("function %d has the key %d", function.id, id)
		}
		if function.isReferenced() && !function.active {
			t.Errorf("function %d is referenced but idle", id)
		}
		if isActive := slices.Contains(table.active, function); isActive != function.active {
			t.Errorf("function %d is in the active list: %t, its active field: %t", id, isActive, function.active)
		}
	}
	requests := map[*functionRecord]int{}
	for _, request := range s.requests {
		requests[request.function]++
	}
	for function, count := range requests {
		if table.byID[function.id] != function {
			t.Errorf("function %d has requests but is not in the table", function.id)
		}
		if function.requests != count {
			t.Errorf("function %d counts %d requests, want %d", function.id, function.requests, count)
		}
	}
	if !slices.IsSortedFunc(table.active, s.comparePriority) {
		t.Error("the active functions are not sorted by priority")
	}
	if !slices.IsSortedFunc(table.idle, compareLastUsed) {
		t.Error("the idle functions are not sorted by last request")
	}
}

// answerOrders reports every load order as successful.
func (h *harness) answerOrders() {
	for _, order := range h.orders {
		h.scheduler.LoadEnded(h.now, LoadResult{Worker: order.worker, Function: order.function, Status: OK, Latency: 100 * ms, Replicas: 1})
	}
	h.orders = nil
}

// TestFunctionTable_RandomRequests_EqualsScan compares the function table with a scan for recurring and one-time
// functions, and verifies that functions that are no longer requested are dropped.
func TestFunctionTable_RandomRequests_EqualsScan(t *testing.T) {
	harness := newHarness(t, testSettings(), 6)
	rng := rand.New(rand.NewPCG(1, 7))
	answered := map[RequestID]bool{}
	for range 2000 {
		id := FunctionID(rng.IntN(12))
		if rng.IntN(4) == 0 {
			id = FunctionID(1000 + rng.IntN(1_000_000))
		}
		harness.request(id, rng.IntN(3))
		harness.answerQueries(WorkerID(1 + rng.IntN(6)))
		harness.answerOrders()
		for _, request := range slices.Sorted(maps.Keys(harness.sentTo)) {
			if !answered[request] && rng.IntN(3) > 0 {
				answered[request] = true
				harness.endAttempt(request, OK, WarmStart)
			}
		}
		harness.advance(time.Duration(rng.IntN(200)) * ms)
		verifyFunctions(t, harness.scheduler)
	}
	for _, request := range slices.Sorted(maps.Keys(harness.sentTo)) {
		if !answered[request] {
			harness.endAttempt(request, OK, WarmStart)
		}
	}
	for end := harness.now + 2*functionIdleTime + harness.scheduler.settings.ReplicaIdleTimeout; harness.now < end; {
		harness.answerQueries() // answers those still pending when the requests ended
		harness.answerOrders()
		harness.advance(time.Second)
	}
	verifyFunctions(t, harness.scheduler)
	if left := len(harness.scheduler.functions.byID); left > 0 {
		t.Errorf("%d functions are kept long after their last request", left)
	}
}

// TestFunctionTable_Idle_IsForgottenAfterItsTime verifies that an idle function is kept for functionIdleTime after
// its last request.
func TestFunctionTable_Idle_IsForgottenAfterItsTime(t *testing.T) {
	harness := newHarness(t, testSettings(), 2)
	s := harness.scheduler
	request, requestedAt := harness.request(1, 0), harness.now
	harness.answerQueries()
	harness.endAttempt(request, OK, WarmStart)
	for s.functions.byID[1] != nil && harness.now < requestedAt+2*functionIdleTime {
		harness.advance(tickInterval)
	}
	if kept := harness.now - requestedAt; kept < functionIdleTime || kept > functionIdleTime+2*tickInterval {
		t.Errorf("function kept for %v, want %v", kept, functionIdleTime)
	}
}

// TestFunctionTable_RequestsForEverNewFunctions_StaysBounded guards against a front end that is killed for its memory
// because clients name functions that no worker knows. Some workers do not answer, so that queries stay unanswered.
func TestFunctionTable_RequestsForEverNewFunctions_StaysBounded(t *testing.T) {
	settings := testSettings()
	settings.MaxFunctions = 50
	harness := newHarness(t, settings, 6)
	s := harness.scheduler
	used := harness.warm(1)
	for i := range 2000 {
		request := harness.request(FunctionID(1000+i), i%3)
		if i%2 == 0 {
			harness.answerQueries()
		}
		if len(harness.sentTo[request]) > 0 {
			harness.endAttempt(request, Error, ColdStartFailed)
		}
		if i%20 == 0 {
			harness.endAttempt(harness.request(1, 0), OK, WarmStart)
			harness.advance(tickInterval)
		}
		verifyFunctions(t, s)
		busy := 0
		for _, function := range s.functions.byID {
			if function.isBusy() {
				busy++
			}
		}
		if kept := len(s.functions.byID); kept > max(settings.MaxFunctions, busy+1) {
			t.Fatalf("%d functions are remembered after %d new ones, %d of them busy; want at most %d", kept, i+1, busy, settings.MaxFunctions)
		}
	}
	function := s.functions.byID[1]
	if function == nil || function.replicaOn(s.endpoints.byID[used]) == nil {
		t.Error("the function in use was forgotten in favour of functions that never ran")
	}
}

// TestQueryResidency_WorkersSilent_UnansweredQueriesAreBounded guards against growth of the load orders in flight while
// workers are silent and each request names a new function.
func TestQueryResidency_WorkersSilent_UnansweredQueriesAreBounded(t *testing.T) {
	harness := newHarness(t, testSettings(), 6)
	for i := range 2 * maxLoadOrders {
		harness.request(FunctionID(1000+i), 0)
	}
	if unanswered := len(harness.scheduler.loadOrders); unanswered > maxLoadOrders || unanswered < maxLoadOrders/2 {
		t.Errorf("%d queries are unanswered, want at most %d, and at least half of that", unanswered, maxLoadOrders)
	}
	harness.answerQueries()
	before := len(harness.queries)
	harness.request(1, 0)
	if len(harness.queries) == before {
		t.Error("no query is sent after the others were answered")
	}
}

// BenchmarkManyFunctions measures single events after 12,000 functions were requested once within two minutes.
func BenchmarkManyFunctions(b *testing.B) {
	harness := newHarness(&testing.T{}, testSettings(), 3000)
	s := harness.scheduler
	for i := range 12000 {
		s.trackFunction(FunctionID(i), i%3).lastUsed = harness.now
	}
	s.TimerFired(harness.now, tickTimer) // the functions become idle
	next := FunctionID(1_000_000)
	for name, event := range map[string]func(){
		"new function":   func() { next++; s.trackFunction(next, 0); s.expireFunctions() },
		"tick":           func() { s.TimerFired(harness.now, tickTimer) },
		"response":       s.dispatchAll,
		"worker changed": func() { s.dropReplicasOn(s.endpoints.list[5]) },
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				event()
			}
		})
	}
}
