package workerclient

import (
	"container/list"
	"sync"

	"havencart/internal/decide/connpool"
)

// ConnectionBudget bounds the connections of the clients of all workers together. When it is used up, attempts share
// connections, and a worker that has none gets the slot of the connection that has been idle for longest. It may be used
// from any goroutine.
//
// A client's lock may be held when its methods are called; none of them takes one.
type ConnectionBudget struct {
	limit int

	mu      sync.Mutex
	used    int       // slots that are held, those of connections that were told to close included
	idle    list.List // of *connection, the one that has been idle for longest first
	waiting list.List // of *connection without a slot, first come first served
}

// slot is a connection's share of the budget. The budget's lock guards it, but for granted.
type slot struct {
	granted chan struct{} // closed once the connection may be made
	idle    *list.Element // in ConnectionBudget.idle; nil: it is not idle
	waiting *list.Element // in ConnectionBudget.waiting; nil: it has its slot, or has given it up
	evicted bool          // it must close, and takes nothing new
}

// NewConnectionBudget returns a ConnectionBudget of at most limit connections.
func NewConnectionBudget(limit int) *ConnectionBudget { return &ConnectionBudget{limit: limit} }

// Used is the number of connections that are open or being made.
func (b *ConnectionBudget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// reserve takes a slot for a new connection of a worker that has a number of connections already, or returns false if it
// may have none. Where no slot is free the connection gets that of an idle one, and waits until that has closed: as many
// connections wait as were told to close.
func (b *ConnectionBudget) reserve(conn *connection, connections int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !connpool.MayOpen(connections, b.used, b.idle.Len(), b.limit) {
		return false
	}
	conn.slot.granted = make(chan struct{})
	if b.used < b.limit {
		b.used++
		close(conn.slot.granted)
		return true
	}
	conn.slot.waiting = b.waiting.PushBack(conn)
	b.evictIdle()
	return true
}

// evictIdle tells the connection that has been idle for longest to close; its slot is free once it has. The lock is held.
func (b *ConnectionBudget) evictIdle() {
	first := b.idle.Front()
	if first == nil {
		return
	}
	victim := b.idle.Remove(first).(*connection)
	victim.slot.idle, victim.slot.evicted = nil, true
	victim.wake.Notify()
}

// release takes a connection out of the budget that has closed, or that waited in vain. Its slot goes to the first that
// waits.
func (b *ConnectionBudget) release(conn *connection) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if conn.slot.idle != nil {
		b.idle.Remove(conn.slot.idle)
		conn.slot.idle = nil
	}
	if conn.slot.waiting != nil {
		b.waiting.Remove(conn.slot.waiting)
		conn.slot.waiting = nil
		return
	}
	first := b.waiting.Front()
	if first == nil {
		b.used--
		return
	}
	next := b.waiting.Remove(first).(*connection)
	next.slot.waiting = nil
	close(next.slot.granted)
}

// setIdle notes that nothing is in flight on a connection. It returns false if the connection must close.
func (b *ConnectionBudget) setIdle(conn *connection) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if conn.slot.evicted {
		return false
	}
	if conn.slot.idle == nil {
		conn.slot.idle = b.idle.PushBack(conn)
	}
	return true
}

// claim notes that a connection is about to be used. It returns false if the connection must close.
func (b *ConnectionBudget) claim(conn *connection) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if conn.slot.idle != nil {
		b.idle.Remove(conn.slot.idle)
		conn.slot.idle = nil
	}
	return !conn.slot.evicted
}
