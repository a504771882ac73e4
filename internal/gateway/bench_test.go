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
	f := newBench(t, 8, nil)
	answer := &muxclient.Response{}
	b.ReportAllocs()
	for b.Loop() {
		c := NewRequest()
		c.StartedAt, c.Timeout, c.Replica = f.at, 2e9, muxframe.ReplicaSpec{Function: "f", MemoryMB: 100, Concurrency: 64}
		f.at += 20000 // 50,000 calls a second
		f.FireTimers(f.at)
		f.RequestReceived(f.at, c)
		for _, l := range f.links {
			if len(l.left) > 0 {
				a := l.left[0]
				l.left = l.left[:0]
				f.AttemptEnded(f.at, a, muxclient.Result{Status: scheduler.OK, ColdStart: scheduler.WarmStart, QueueDepth: -1, Response: answer})
			}
		}
	}
}

// BenchmarkShed is the loop's part of a call that is refused because the loop is behind.
func BenchmarkShed(b *testing.B) {
	f := newBench(&testing.T{}, 8, nil)
	at := f.at
	b.ReportAllocs()
	for b.Loop() {
		c := NewRequest()
		c.StartedAt, c.queued, c.Timeout, c.Replica = at-50*ms, at-50*ms, 2e9, muxframe.ReplicaSpec{Function: "f", MemoryMB: 100, Concurrency: 64}
		at += 20000
		f.RequestReceived(at, c)
	}
}

// BenchmarkDoor is what a call costs that is refused before it joins the queue; none of it is the loop's.
func BenchmarkDoor(b *testing.B) {
	l := NewEventLoop(EventLoopConfig{RequestQueue: 1}, zerolog.Nop())
	l.door.set(0)
	b.ReportAllocs()
	for b.Loop() {
		l.Submit(NewRequest())
	}
}
