package gateway

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"havencart/internal/discovery"
	"havencart/internal/native/muxframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// BenchmarkFrontEnd measures the event loop's work for a request from its receipt to its final response, including the
// scheduler.
func BenchmarkFrontEnd(b *testing.B) {
	t := &testing.T{}
	harness := newHarness(t, 8, nil)
	response := &workerconn.Response{}
	b.ReportAllocs()
	for b.Loop() {
		request := NewRequest()
		request.StartedAt = harness.clock
		request.Timeout = 2e9
		request.Replica = muxframe.ReplicaSpec{Function: "f", MemoryMB: 100, Concurrency: 64}
		harness.clock += 20000 // 50,000 requests a second
		harness.FireTimers(harness.clock)
		harness.RequestReceived(harness.clock, request)
		for _, worker := range harness.clients {
			if len(worker.sent) > 0 {
				attempt := worker.sent[0]
				worker.sent = worker.sent[:0]
				harness.AttemptEnded(harness.clock, attempt, workerconn.Result{Status: scheduler.OK, ColdStart: scheduler.WarmStart, QueueDepth: -1, Response: response})
			}
		}
	}
}

// BenchmarkEndpointsUpdated measures the largest possible step for changes of the endpoint list with 3,000 workers:
// every worker in the step changes its cell.
func BenchmarkEndpointsUpdated(b *testing.B) {
	harness := newHarness(&testing.T{}, 3000, nil)
	changed := make([]discovery.Worker, maxEndpointChanges)
	round := 0
	b.ReportAllocs()
	for b.Loop() {
		round++
		for i := range changed {
			changed[i] = discovery.Worker{
				Name: fmt.Sprint("w", i), Address: fmt.Sprint("h:", i+1), Cell: fmt.Sprint("cell", round%2), Scale: 1, State: scheduler.Ready,
			}
		}
		harness.EndpointsUpdated(harness.clock, changed)
	}
}

// BenchmarkShed measures the event loop's work for a request that is shed because of its queue delay.
func BenchmarkShed(b *testing.B) {
	harness := newHarness(&testing.T{}, 8, nil)
	at := harness.clock
	b.ReportAllocs()
	for b.Loop() {
		request := NewRequest()
		request.StartedAt = at - 50*ms
		request.queuedAt = at - 50*ms
		request.Timeout = 2e9
		request.Replica = muxframe.ReplicaSpec{Function: "f", MemoryMB: 100, Concurrency: 64}
		at += 20000
		harness.RequestReceived(at, request)
	}
}

// BenchmarkQueueGate measures the cost of rejecting a request before it is queued. The event loop is not involved.
func BenchmarkQueueGate(b *testing.B) {
	loop := NewEventLoop(EventLoopConfig{RequestQueue: 1}, zerolog.Nop())
	loop.gate.setLimit(0)
	b.ReportAllocs()
	for b.Loop() {
		loop.Submit(NewRequest())
	}
}
