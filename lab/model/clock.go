// Package model holds the models of what surrounds a front end: workers with their cores, memory and copies,
// and the function store that they share. The models are driven by a Clock and callbacks alone, so that the
// same code runs behind sockets in real time and, later, in virtual time. Nothing here locks: all calls into
// models that share a Clock are made one at a time, as the Clock makes its own.
package model

import (
	"container/heap"
	"sync"
	"time"
)

// Clock tells the time and calls back. Callbacks of one Clock never overlap.
type Clock interface {
	// Now is the time since the Clock began.
	Now() time.Duration
	// After calls f once d has passed. The returned function takes that back.
	After(d time.Duration, f func()) (stop func())
}

// World is a Clock in real time. Code from outside enters it by Do, so that it never overlaps a callback.
type RealClock struct {
	mu    sync.Mutex
	start time.Time
}

// NewWorld returns a World whose time begins now.
func NewWorld() *RealClock { return &RealClock{start: time.Now()} }

// Do runs f between callbacks.
func (w *RealClock) Do(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// Now is the time since the World began.
func (w *RealClock) Now() time.Duration { return time.Since(w.start) }

// After calls f once d has passed; it is called within the World.
func (w *RealClock) After(d time.Duration, f func()) func() {
	stopped := false // read and written within the World only
	t := time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !stopped {
			f()
		}
	})
	return func() {
		stopped = true
		t.Stop()
	}
}

// Sim is a Clock in virtual time: Run goes from event to event. Events of one time come in the order in which
// they were set. It is one goroutine's.
type VirtualClock struct {
	now      time.Duration
	sequence uint64
	timers   timerQueue
}

type timer struct {
	at       time.Duration
	sequence uint64
	callback func()
	stopped  bool
}

// Now is the virtual time.
func (s *VirtualClock) Now() time.Duration { return s.now }

// After calls f once d of virtual time has passed.
func (s *VirtualClock) After(d time.Duration, f func()) func() {
	s.sequence++
	e := &timer{at: s.now + max(0, d), sequence: s.sequence, callback: f}
	heap.Push(&s.timers, e)
	return func() { e.stopped, e.callback = true, nil }
}

// Run plays all events up to and at until.
func (s *VirtualClock) Run(until time.Duration) {
	for len(s.timers) > 0 && s.timers[0].at <= until {
		e := heap.Pop(&s.timers).(*timer)
		if !e.stopped {
			s.now = e.at
			e.callback()
		}
	}
	s.now = max(s.now, until)
}

type timerQueue []*timer

func (l timerQueue) Len() int { return len(l) }
func (l timerQueue) Less(i, j int) bool {
	return l[i].at < l[j].at || l[i].at == l[j].at && l[i].sequence < l[j].sequence
}
func (l timerQueue) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *timerQueue) Push(x any)   { *l = append(*l, x.(*timer)) }
func (l *timerQueue) Pop() any {
	old := *l
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*l = old[:len(old)-1]
	return x
}

// Pending is the number of events that are set, stopped ones included.
func (s *VirtualClock) Pending() int { return len(s.timers) }
