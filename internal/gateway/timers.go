package gateway

import (
	"container/heap"
	"time"
)

// timer is something that is due at a time; what it is for is told by the one field that is set.
type timer struct {
	at      time.Duration
	seq     uint64
	attempt *attempt
	order   *order
	call    *Call
	token   uint64
	wake    bool
	sweep   bool
}

// timers is a heap by time; those of one time are in the order in which they were set. A timer that is no
// longer wanted stays and is ignored when its time comes.
type timers struct {
	list []timer
	seq  uint64
}

func (t *timers) set(x timer) {
	t.seq++
	x.seq = t.seq
	heap.Push(t, x)
}

// due takes the first timer that is due at now.
func (t *timers) due(now time.Duration) (timer, bool) {
	if len(t.list) == 0 || t.list[0].at > now {
		return timer{}, false
	}
	return heap.Pop(t).(timer), true
}

// Len is part of heap.Interface, as are the others.
func (t *timers) Len() int { return len(t.list) }

// Less orders by time, then by when the timer was set.
func (t *timers) Less(i, j int) bool {
	a, b := &t.list[i], &t.list[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

// Swap swaps two timers.
func (t *timers) Swap(i, j int) { t.list[i], t.list[j] = t.list[j], t.list[i] }

// Push adds a timer.
func (t *timers) Push(x any) { t.list = append(t.list, x.(timer)) }

// Pop takes the last timer off.
func (t *timers) Pop() any {
	last := len(t.list) - 1
	x := t.list[last]
	t.list[last] = timer{}
	t.list = t.list[:last]
	return x
}
