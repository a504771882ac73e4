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
	answer := &muxclient.Answer{}
	b.ReportAllocs()
	for b.Loop() {
		c := NewCall()
		c.Since, c.Patience, c.Copy = f.at, 2e9, muxframe.Copy{Function: "f", MemoryMB: 100, Lanes: 64}
		f.at += 20000 // 50,000 calls a second
		f.Tick(f.at)
		f.Arrive(f.at, c)
		for _, l := range f.links {
			if len(l.left) > 0 {
				a := l.left[0]
				l.left = l.left[:0]
				f.Ended(f.at, a, muxclient.Result{Status: scheduler.OK, Warmth: scheduler.FoundWarm, Crowd: -1, Answer: answer})
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
		c := NewCall()
		c.Since, c.queued, c.Patience, c.Copy = at-50*ms, at-50*ms, 2e9, muxframe.Copy{Function: "f", MemoryMB: 100, Lanes: 64}
		at += 20000
		f.Arrive(at, c)
	}
}

// BenchmarkDoor is what a call costs that is refused before it joins the queue; none of it is the loop's.
func BenchmarkDoor(b *testing.B) {
	l := NewLoop(LoopConfig{Queue: 1}, zerolog.Nop())
	l.door.set(0)
	b.ReportAllocs()
	for b.Loop() {
		l.Submit(NewCall())
	}
}
