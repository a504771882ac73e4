package faultproxy

import "sync"

// gate blocks the goroutines that wait at it while it is closed.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // closed while the gate is open
}

func newOpenGate() *gate {
	g := &gate{opened: make(chan struct{})}
	close(g.opened)
	return g
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isOpen() {
		g.opened = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isOpen() {
		close(g.opened)
	}
}

// isOpen reports whether the gate is open. The caller holds the lock.
func (g *gate) isOpen() bool {
	select {
	case <-g.opened:
		return true
	default:
		return false
	}
}

// whenOpen returns a channel that is closed once the gate is open. If the gate is open now, the channel is closed
// already.
func (g *gate) whenOpen() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opened
}

// wait blocks until the gate is open. It returns false if done is closed first.
func (g *gate) wait(done <-chan struct{}) bool {
	select {
	case <-done:
		return false
	case <-g.whenOpen():
		return true
	}
}
