package model

import (
	"container/heap"
	"time"
)

// VirtualClock is a Clock in virtual time: Run advances the time from one timer to the next. Timers for the same time
// fire in the order in which they were set. A VirtualClock is not safe for concurrent use.
type VirtualClock struct {
	now      time.Duration
	sequence uint64
	timers   timerQueue
}

type timer struct {
	at        time.Duration
	sequence  uint64 // order among timers for the same time
	callback  func()
	cancelled bool
}

// Now returns the virtual time.
func (c *VirtualClock) Now() time.Duration { return c.now }

// After calls f once d of virtual time has passed. The returned function cancels the call.
func (c *VirtualClock) After(d time.Duration, f func()) func() {
	c.sequence++
	t := &timer{at: c.now + max(0, d), sequence: c.sequence, callback: f}
	heap.Push(&c.timers, t)
	return func() {
		t.cancelled = true
		t.callback = nil
	}
}

// Run fires all timers up to and including the time until, and advances the clock to it.
func (c *VirtualClock) Run(until time.Duration) {
	for len(c.timers) > 0 && c.timers[0].at <= until {
		t := heap.Pop(&c.timers).(*timer)
		if t.cancelled {
			continue
		}
		c.now = t.at
		t.callback()
	}
	c.now = max(c.now, until)
}

// Pending returns the number of timers that are set. Cancelled timers count until their time has come.
func (c *VirtualClock) Pending() int { return len(c.timers) }

// timerQueue is a min-heap of timers by time and sequence.
type timerQueue []*timer

func (q timerQueue) Len() int { return len(q) }

func (q timerQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *timerQueue) Push(x any) { *q = append(*q, x.(*timer)) }

func (q *timerQueue) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return t
}
