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
type World struct {
	mu    sync.Mutex
	start time.Time
}

// NewWorld returns a World whose time begins now.
func NewWorld() *World { return &World{start: time.Now()} }

// Do runs f between callbacks.
func (w *World) Do(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// Now is the time since the World began.
func (w *World) Now() time.Duration { return time.Since(w.start) }

// After calls f once d has passed; it is called within the World.
func (w *World) After(d time.Duration, f func()) func() {
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
type Sim struct {
	now    time.Duration
	seq    uint64
	events simEvents
}

type simEvent struct {
	at      time.Duration
	seq     uint64
	f       func()
	stopped bool
}

// Now is the virtual time.
func (s *Sim) Now() time.Duration { return s.now }

// After calls f once d of virtual time has passed.
func (s *Sim) After(d time.Duration, f func()) func() {
	s.seq++
	e := &simEvent{at: s.now + max(0, d), seq: s.seq, f: f}
	heap.Push(&s.events, e)
	return func() { e.stopped, e.f = true, nil }
}

// Run plays all events up to and at until.
func (s *Sim) Run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(*simEvent)
		if !e.stopped {
			s.now = e.at
			e.f()
		}
	}
	s.now = max(s.now, until)
}

type simEvents []*simEvent

func (l simEvents) Len() int { return len(l) }
func (l simEvents) Less(i, j int) bool {
	return l[i].at < l[j].at || l[i].at == l[j].at && l[i].seq < l[j].seq
}
func (l simEvents) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *simEvents) Push(x any)   { *l = append(*l, x.(*simEvent)) }
func (l *simEvents) Pop() any {
	old := *l
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*l = old[:len(old)-1]
	return x
}

// Pending is the number of events that are set, stopped ones included.
func (s *Sim) Pending() int { return len(s.events) }
