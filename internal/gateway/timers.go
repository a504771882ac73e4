package gateway

import (
	"container/heap"
	"time"
)

// timerKind is what a timer is for.
type timerKind uint8

const (
	schedulerTimer   timerKind = iota + 1 // the scheduler's, with schedulerToken
	sweepTimer                            // the next sweep
	attemptTimer                          // the response timeout of attempt
	loadOrderTimer                        // the timeout of loadOrder
	requestTimer                          // the final response of request is past its deadline
	healthCheckTimer                      // the timeout of healthCheck
)

// timer is something that is due at a time. It is not copied while it is in a heap.
type timer struct {
	kind           timerKind
	due            time.Duration
	seq            uint64 // in the order in which timers were added
	position       int    // in the heap, from 1; 0: in none
	attempt        *requestAttempt
	loadOrder      *loadOrder
	healthCheck    *healthCheck
	request        *Request
	schedulerToken uint64
}

// timerHeap is a heap by time; timers due at one time are in the order in which they were added.
type timerHeap struct {
	timers []*timer
	seq    uint64
}

// add puts a timer into the heap.
func (h *timerHeap) add(t *timer) {
	h.seq++
	t.seq = h.seq
	heap.Push(h, t)
}

// remove takes a timer out of the heap, if it is in it.
func (h *timerHeap) remove(t *timer) {
	if t.position > 0 {
		heap.Remove(h, t.position-1)
	}
}

// first returns the timer that is due first. The heap must not be empty.
func (h *timerHeap) first() *timer { return h.timers[0] }

// popDue takes out the first timer that is due at now; nil: none is.
func (h *timerHeap) popDue(now time.Duration) *timer {
	if len(h.timers) == 0 || h.first().due > now {
		return nil
	}
	return heap.Pop(h).(*timer)
}

// Len implements heap.Interface.
func (h *timerHeap) Len() int { return len(h.timers) }

// Less implements heap.Interface: by time, then by when the timer was added.
func (h *timerHeap) Less(i, j int) bool {
	a, b := h.timers[i], h.timers[j]
	if a.due != b.due {
		return a.due < b.due
	}
	return a.seq < b.seq
}

// Swap implements heap.Interface.
func (h *timerHeap) Swap(i, j int) {
	h.timers[i], h.timers[j] = h.timers[j], h.timers[i]
	h.timers[i].position = i + 1
	h.timers[j].position = j + 1
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	h.timers = append(h.timers, t)
	t.position = len(h.timers)
}

// Pop implements heap.Interface: it takes the last timer off.
func (h *timerHeap) Pop() any {
	last := len(h.timers) - 1
	t := h.timers[last]
	h.timers[last] = nil
	h.timers = h.timers[:last]
	t.position = 0
	return t
}
