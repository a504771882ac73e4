package gateway

import (
	"container/heap"
	"time"
)

// timer is something that is due at a time; what it is for is told by the one field that is set. A timer that
// is set is not copied.
type timer struct {
	due      time.Duration
	seq     uint64
	position   int // in the heap, from 1; 0: not set
	attempt *attempt
	loadOrder   *loadOrder
	request    *Request
	schedulerToken   uint64
	wake    bool
	sweep   bool
}

// timers is a heap by time; those of one time are in the order in which they were set.
type timerHeap struct {
	timers []*timer
	seq  uint64
}

func (t *timerHeap) add(x *timer) {
	t.seq++
	x.seq = t.seq
	heap.Push(t, x)
}

// stop takes a timer out, if it is set.
func (t *timerHeap) remove(x *timer) {
	if x.position > 0 {
		heap.Remove(t, x.position-1)
	}
}

// due takes the first timer that is due at now, nil if there is none.
func (t *timerHeap) popDue(now time.Duration) *timer {
	if len(t.timers) == 0 || t.timers[0].due > now {
		return nil
	}
	return heap.Pop(t).(*timer)
}

// Len is part of heap.Interface, as are the others.
func (t *timerHeap) Len() int { return len(t.timers) }

// Less orders by time, then by when the timer was set.
func (t *timerHeap) Less(i, j int) bool {
	a, b := t.timers[i], t.timers[j]
	return a.due < b.due || a.due == b.due && a.seq < b.seq
}

// Swap swaps two timers.
func (t *timerHeap) Swap(i, j int) {
	t.timers[i], t.timers[j] = t.timers[j], t.timers[i]
	t.timers[i].position, t.timers[j].position = i+1, j+1
}

// Push adds a timer.
func (t *timerHeap) Push(x any) {
	t.timers = append(t.timers, x.(*timer))
	t.timers[len(t.timers)-1].position = len(t.timers)
}

// Pop takes the last timer off.
func (t *timerHeap) Pop() any {
	last := len(t.timers) - 1
	x := t.timers[last]
	t.timers[last], t.timers = nil, t.timers[:last]
	x.position = 0
	return x
}
