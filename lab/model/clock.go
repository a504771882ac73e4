// Package model holds the models of what surrounds a front end: workers with their cores, memory and copies,
// and the function store that they share. The models are driven by a Clock and callbacks alone, so that the
// same code runs behind sockets in real time and, later, in virtual time. Nothing here locks: all calls into
// models that share a Clock are made one at a time, as the Clock makes its own.
package model

import (
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
