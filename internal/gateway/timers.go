package gateway

import (
	"container/heap"
	"time"
)

// timerKind is the purpose of a timer.
type timerKind uint8

const (
	schedulerTimer         timerKind = iota + 1 // set by the scheduler, which receives schedulerToken
	sweepTimer                                  // the next periodic sweep
	attemptTimer                                // the response timeout of attempt, or the end of its permit to be sent
	loadOrderTimer                              // the timeout of loadOrder
	requestTimer                                // the request is past its deadline and has no final response
	healthCheckTimer                            // the timeout of healthCheck
	firstConfirmationTimer                      // the end of the wait for the first confirmation of the endpoint list
)

// timer is an action that is due at a certain time. A timer must not be copied while it is in a heap.
type timer struct {
	kind           timerKind
	due            time.Duration
	seq            uint64 // sequence number in the order of addition to the heap
	position       int    // position in the heap, from 1; 0 if the timer is not in a heap
	attempt        *requestAttempt
	loadOrder      *loadOrder
	healthCheck    *healthCheck
	request        *Request
	schedulerToken uint64
}

// timerHeap is a min-heap of timers ordered by due time. Timers with the same due time are in the order of addition.
type timerHeap struct {
	timers []*timer
	seq    uint64
}

// add adds a timer to the heap.
func (h *timerHeap) add(t *timer) {
	h.seq++
	t.seq = h.seq
	heap.Push(h, t)
}

// remove removes a timer from the heap. It does nothing if the timer is not in the heap.
func (h *timerHeap) remove(t *timer) {
	if t.position > 0 {
		heap.Remove(h, t.position-1)
	}
}

// first returns the timer with the earliest due time. The heap must not be empty.
func (h *timerHeap) first() *timer { return h.timers[0] }

// popDue removes and returns the first timer if it is due at now, or returns nil if none is.
func (h *timerHeap) popDue(now time.Duration) *timer {
	if len(h.timers) == 0 || h.first().due > now {
		return nil
	}
	return heap.Pop(h).(*timer)
}

// Len implements heap.Interface.
func (h *timerHeap) Len() int { return len(h.timers) }

// Less implements heap.Interface. It orders timers by due time, then by the order of addition.
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

// Pop implements heap.Interface. It removes and returns the last element of the slice.
func (h *timerHeap) Pop() any {
	last := len(h.timers) - 1
	t := h.timers[last]
	h.timers[last] = nil
	h.timers = h.timers[:last]
	t.position = 0
	return t
}
