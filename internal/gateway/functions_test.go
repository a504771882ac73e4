package gateway

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"havencart/internal/native/muxframe"
	"havencart/scheduler"
)

// flood submits count requests for new functions, one at a time. No worker knows any of the functions, and the client
// gives up the requests that wait.
func (harness *testHarness) flood(first, count int) {
	harness.Helper()
	for i := range count {
		request := NewRequest()
		request.StartedAt = harness.clock
		request.Timeout = 2 * time.Second
		request.Replica = muxframe.ReplicaSpec{Function: fmt.Sprintf("%016x", first+i), MemoryMB: 100, Concurrency: 2}
		harness.RequestReceived(harness.clock, request)
		for harness.hasAttempt(request) {
			harness.endWith(request, scheduler.Error)
		}
		harness.ClientDisconnected(harness.clock, request)
		harness.advance(ms)
	}
}

// heapBytes returns the bytes of live heap objects.
func heapBytes() int64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return int64(memory.HeapAlloc)
}

// TestFunctions_ClientsNameEverNewFunctions_MemoryStaysBounded guards against a front end that is killed for its memory
// because clients send requests for functions that no worker knows.
func TestFunctions_ClientsNameEverNewFunctions_MemoryStaysBounded(t *testing.T) {
	const limit = 200
	harness := newHarness(t, 64, func(s *Settings) { s.Scheduler.MaxFunctions = limit })
	harness.flood(0, 3*limit)
	before := heapBytes()
	const flood = 20 * limit
	harness.flood(1_000_000, flood)
	if size := harness.functions.size(); size > limit {
		t.Errorf("%d functions are remembered, want at most %d", size, limit)
	}
	if harness.functions.evicted < flood {
		t.Errorf("%d functions were evicted, want at least %d", harness.functions.evicted, flood)
	}
	const tolerance = 16 // bytes for each name, far less than any record of it
	if grown := heapBytes() - before; grown > flood*tolerance {
		t.Errorf("the heap grew by %d bytes with %d new names, want at most %d", grown, flood, flood*tolerance)
	}
	runtime.KeepAlive(harness)
}

// TestFunctions_RequestInFlight_FunctionIsKept checks that a flood of names does not evict the function of a request
// that is in flight, whose name the worker clients still need.
func TestFunctions_RequestInFlight_FunctionIsKept(t *testing.T) {
	harness := newHarness(t, 2, func(s *Settings) { s.Scheduler.MaxFunctions = 10 })
	request := harness.submit(idempotentClass)
	harness.flood(0, 50)
	known := harness.functions.find(FunctionID("f"))
	if known == nil || known.requests != 1 {
		t.Fatalf("the function of a request in flight is kept as %+v, want one request", known)
	}
	harness.endWith(request, scheduler.OK)
	if known.requests != 0 || harness.functions.find(FunctionID("f")) != known {
		t.Errorf("after the request the function has %d requests, want 0 and the function still known", known.requests)
	}
	harness.flood(100, 50)
	if harness.functions.find(FunctionID("f")) != nil {
		t.Error("an unused function outlasts 50 newer ones, want at most 10 unused functions")
	}
}

// TestFunctions_Unused_ExpireAfterRetention checks that a function is forgotten some time after its last request even
// if there is room.
func TestFunctions_Unused_ExpireAfterRetention(t *testing.T) {
	harness := newHarness(t, 1, nil)
	harness.endWith(harness.submit(idempotentClass), scheduler.OK)
	harness.advance(functionRetention - 2*sweepInterval)
	if harness.functions.size() != 1 {
		t.Fatal("the function was forgotten before its time")
	}
	harness.advance(4 * sweepInterval)
	if size := harness.functions.size(); size != 0 {
		t.Errorf("%d functions are remembered after their time, want 0", size)
	}
}
