package gateway

import (
	"container/heap"
	"time"
)

// timer is something that is due at a time; what it is for is told by the one field that is set. A timer that
// is set is not copied.
type timer struct {
	at      time.Duration
	seq     uint64
	place   int // in the heap, from 1; 0: not set
	attempt *attempt
	order   *order
	call    *Request
	token   uint64
	wake    bool
	sweep   bool
}

// timers is a heap by time; those of one time are in the order in which they were set.
type timers struct {
	list []*timer
	seq  uint64
}

func (t *timers) set(x *timer) {
	t.seq++
	x.seq = t.seq
	heap.Push(t, x)
}

// stop takes a timer out, if it is set.
func (t *timers) stop(x *timer) {
	if x.place > 0 {
		heap.Remove(t, x.place-1)
	}
}

// due takes the first timer that is due at now, nil if there is none.
func (t *timers) due(now time.Duration) *timer {
	if len(t.list) == 0 || t.list[0].at > now {
		return nil
	}
	return heap.Pop(t).(*timer)
}

// Len is part of heap.Interface, as are the others.
func (t *timers) Len() int { return len(t.list) }

// Less orders by time, then by when the timer was set.
func (t *timers) Less(i, j int) bool {
	a, b := t.list[i], t.list[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

// Swap swaps two timers.
func (t *timers) Swap(i, j int) {
	t.list[i], t.list[j] = t.list[j], t.list[i]
	t.list[i].place, t.list[j].place = i+1, j+1
}

// Push adds a timer.
func (t *timers) Push(x any) {
	t.list = append(t.list, x.(*timer))
	t.list[len(t.list)-1].place = len(t.list)
}

// Pop takes the last timer off.
func (t *timers) Pop() any {
	last := len(t.list) - 1
	x := t.list[last]
	t.list[last], t.list = nil, t.list[:last]
	x.place = 0
	return x
}
