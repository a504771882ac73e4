package faultproxy

import "sync"

// gate is open or closed. Whoever waits at it goes on once it is open.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // closed while the gate is open
}

func newOpenGate() *gate {
	g := &gate{opened: make(chan struct{})}
	close(g.opened)
	return g
}

// close closes the gate.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isOpen() {
		g.opened = make(chan struct{})
	}
}

// open opens the gate.
func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isOpen() {
		close(g.opened)
	}
}

// isOpen tells whether the gate is open. The lock is held.
func (g *gate) isOpen() bool {
	select {
	case <-g.opened:
		return true
	default:
		return false
	}
}

// whenOpen returns a channel that is closed while the gate is open, or once it is opened next.
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
