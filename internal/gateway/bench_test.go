package gateway

import (
	"testing"

	"github.com/rs/zerolog"

	"havencart/internal/native/muxclient"
	"havencart/internal/native/muxframe"
	"havencart/scheduler"
)

// BenchmarkFront is the loop's part of a call, module included: from its arrival to its final answer.
func BenchmarkFront(b *testing.B) {
	t := &testing.T{}
	f := newHarness(t, 8, nil)
	answer := &muxclient.Response{}
	b.ReportAllocs()
	for b.Loop() {
		request := NewRequest()
		request.StartedAt, request.Timeout, request.Replica = f.now, 2e9, muxframe.ReplicaSpec{Function: "f", MemoryMB: 100, Concurrency: 64}
		f.now += 20000 // 50,000 calls a second
		f.FireTimers(f.now)
		f.RequestReceived(f.now, request)
		for _, worker := range f.workers {
			if len(worker.sent) > 0 {
				a := worker.sent[0]
				worker.sent = worker.sent[:0]
				f.AttemptEnded(f.now, a, muxclient.Result{Status: scheduler.OK, ColdStart: scheduler.WarmStart, QueueDepth: -1, Response: answer})
			}
		}
	}
}

// BenchmarkShed is the loop's part of a call that is refused because the loop is behind.
func BenchmarkShed(b *testing.B) {
	f := newHarness(&testing.T{}, 8, nil)
	at := f.now
	b.ReportAllocs()
	for b.Loop() {
		request := NewRequest()
		request.StartedAt, request.queuedAt, request.Timeout, request.Replica = at-50*ms, at-50*ms, 2e9, muxframe.ReplicaSpec{Function: "f", MemoryMB: 100, Concurrency: 64}
		at += 20000
		f.RequestReceived(at, request)
	}
}

// BenchmarkDoor is what a call costs that is refused before it joins the queue; none of it is the loop's.
func BenchmarkDoor(b *testing.B) {
	loop := NewEventLoop(EventLoopConfig{RequestQueue: 1}, zerolog.Nop())
	loop.gate.setLimit(0)
	b.ReportAllocs()
	for b.Loop() {
		loop.Submit(NewRequest())
	}
}
