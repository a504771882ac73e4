// Package model contains the models of the environment of a front end: workers with their cores, memory and replicas,
// the function store that the workers share, and the network. The models are driven only by a Clock and callbacks, so
// that the same code runs behind sockets in real time and in a simulation in virtual time. The models take no locks:
// callers must serialize all calls into models that share a Clock, with each other and with the Clock's callbacks.
package model

import (
	"sync"
	"time"
)

// Clock provides the time and timers. The callbacks of one Clock never run concurrently.
type Clock interface {
	// Now returns the time since the Clock started.
	Now() time.Duration
	// After calls f once d has passed. The returned function cancels the call.
	After(d time.Duration, f func()) (cancel func())
}

// RealClock is a Clock in real time. Other goroutines must access the models through Do, which never runs concurrently
// with a callback.
type RealClock struct {
	mu    sync.Mutex
	start time.Time
}

// NewRealClock returns a RealClock that starts now.
func NewRealClock() *RealClock { return &RealClock{start: time.Now()} }

// Do runs f while no callback runs.
func (c *RealClock) Do(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// Now returns the time since the clock started. It is safe for concurrent use.
func (c *RealClock) Now() time.Duration { return time.Since(c.start) }

// After calls f once d has passed. After and the function that it returns must be called from within Do or a callback.
func (c *RealClock) After(d time.Duration, f func()) func() {
	cancelled := false // guarded by c.mu
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
