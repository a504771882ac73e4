package workerclient

import (
	"container/list"
	"sync"

	"havencart/internal/decide/connpool"
)

// ConnectionBudget limits the total number of connections of the clients of all workers. When it is exhausted, attempts
// share connections, and a worker without a connection gets the slot of the connection that has been idle for the
// longest time. It is safe for concurrent use.
//
// The caller may hold the lock of a client while it calls a method: no method acquires the lock of a client.
type ConnectionBudget struct {
	limit int

	mu      sync.Mutex
	used    int       // slots in use, including those of evicted connections that are not closed yet
	idle    list.List // idle connections of type *connection, longest idle first
	waiting list.List // connections of type *connection that wait for a slot, in FIFO order
}

// slot is the state of a connection in the budget. The budget's lock guards all fields except granted.
type slot struct {
	granted chan struct{} // closed once the connection has a slot and may be dialled
	idle    *list.Element // element of ConnectionBudget.idle, nil if the connection is not idle
	waiting *list.Element // element of ConnectionBudget.waiting, nil if the connection is not waiting
	evicted bool          // the connection must close and accepts nothing new
}

// NewConnectionBudget returns a ConnectionBudget for at most limit connections.
func NewConnectionBudget(limit int) *ConnectionBudget { return &ConnectionBudget{limit: limit} }

// Used returns the number of slots in use: by connections that are open, being dialled or being closed.
func (b *ConnectionBudget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// reserve reserves a slot for a new connection of a client that already has the given number of connections. It returns
// false if the client may not open another one. If no slot is free, it evicts an idle connection, and the new
// connection waits until a slot is released. Therefore no more connections wait than evicted connections are still
// to be closed.
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

// evictIdle notifies the connection that has been idle for the longest time that it must close. Its slot is released
// once it has closed. evictIdle requires that b.mu is held.
func (b *ConnectionBudget) evictIdle() {
	first := b.idle.Front()
	if first == nil {
		return
	}
	victim := b.idle.Remove(first).(*connection)
	victim.slot.idle, victim.slot.evicted = nil, true
	victim.wake.Notify()
}

// release removes a connection from the budget: one that has closed or one that stopped waiting for a slot. The slot of
// a closed connection is passed on to the first waiting connection.
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

// setIdle marks a connection as idle. It returns false if the connection was evicted and must close.
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

// claim marks a connection as not idle because it is about to be used. It returns false if the connection was evicted
// and must close.
func (b *ConnectionBudget) claim(conn *connection) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if conn.slot.idle != nil {
		b.idle.Remove(conn.slot.idle)
		conn.slot.idle = nil
	}
	return !conn.slot.evicted
}
