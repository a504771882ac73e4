package workerclient

import (
	"sync/atomic"

	"havencart/internal/decide/connpool"
)

// ConnectionBudget bounds the connections of the clients of all workers together. When it is used up, attempts share
// connections. It may be used from any goroutine.
type ConnectionBudget struct {
	limit int
	used  atomic.Int64
}

// NewConnectionBudget returns a ConnectionBudget of at most limit connections.
func NewConnectionBudget(limit int) *ConnectionBudget { return &ConnectionBudget{limit: limit} }

// Used is the number of connections that are open or being made.
func (b *ConnectionBudget) Used() int { return int(b.used.Load()) }

// mayOpen tells whether a worker that has a number of connections may have one more.
func (b *ConnectionBudget) mayOpen(connections int) bool {
	return connpool.MayOpen(connections, b.Used(), b.limit)
}
