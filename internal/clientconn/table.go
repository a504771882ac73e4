// Package clientconn contains the parts that the servers of client connections share, regardless of their protocol: the
// accept loop, the bounded table of open connections, and write deadlines. Each server decides itself which connections
// it admits, what it does when the table is full, and how its connections end.
package clientconn

import "sync"

// Table is the bounded set of a server's open connections. It only records connections: the server itself closes and
// removes them. All methods may be called from any goroutine. The zero Table admits nothing; use NewTable.
type Table[C comparable] struct {
	limit int

	mu   sync.Mutex
	open map[C]struct{} // at most limit
}

// NewTable returns an empty Table of at most limit connections.
func NewTable[C comparable](limit int) *Table[C] {
	return &Table[C]{limit: limit, open: map[C]struct{}{}}
}

// Add records an open connection. It reports false, and records nothing, if the table is full.
func (t *Table[C]) Add(connection C) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.open) >= t.limit {
		return false
	}
	t.open[connection] = struct{}{}
	return true
}

// Remove removes a connection. It does nothing if the connection is not in the table.
func (t *Table[C]) Remove(connection C) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, connection)
}

// Len returns the number of open connections.
func (t *Table[C]) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// All returns the open connections in no particular order. The caller owns the slice, which does not follow later
// changes of the table.
func (t *Table[C]) All() []C {
	t.mu.Lock()
	defer t.mu.Unlock()
	connections := make([]C, 0, len(t.open))
	for connection := range t.open {
		connections = append(connections, connection)
	}
	return connections
}
