// Package model holds the models of what surrounds a front end: workers with their cores, memory and replicas, the
// function store that they share, and the network. The models are driven by a Clock and callbacks alone, so that the
// same code runs behind sockets in real time and in a simulation in virtual time. Nothing here locks: all calls into
// models that share a Clock are made one at a time, as the Clock makes its own.
package model

import (
	"sync"
	"time"
)

// Clock tells the time and calls back. Callbacks of one Clock never overlap.
type Clock interface {
	// Now is the time since the Clock started.
	Now() time.Duration
	// After calls f once d has passed. The returned function cancels that.
	After(d time.Duration, f func()) (cancel func())
}

// RealClock is a Clock in real time. Code from outside enters by Do, so that it never overlaps a callback.
type RealClock struct {
	mu    sync.Mutex
	start time.Time
}

// NewRealClock returns a RealClock that starts now.
func NewRealClock() *RealClock { return &RealClock{start: time.Now()} }

// Do runs f between callbacks.
func (c *RealClock) Do(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// Now is the time since the clock started. It may be called from anywhere.
func (c *RealClock) Now() time.Duration { return time.Since(c.start) }

// After calls f once d has passed. After and the function that it returns are called within Do or a callback.
func (c *RealClock) After(d time.Duration, f func()) func() {
	cancelled := false // read and written under the lock only
	t := time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !cancelled {
			f()
		}
	})
	return func() {
		cancelled = true
		t.Stop()
	}
}
