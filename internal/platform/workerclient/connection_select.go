package workerclient

import "havencart/internal/decide/connpool"

// This file chooses the connection for something new, and opens and removes connections.

// selectConnection returns the connection for what has a number, possibly a new one, or nil if there is none. It takes no
// connection on which the number was used before and a response to it may still arrive. The lock is held.
func (c *Client) selectConnection(number uint64) *connection {
	if c.closed || len(c.attempts)+len(c.loads) >= c.cfg.MaxQueue {
		return nil
	}
	for {
		conn, isOpen := c.chooseConnection(number)
		if !isOpen || c.cfg.Budget.claim(conn) {
			return conn
		}
		conn.draining = true // it is about to close, as another worker needs its slot
	}
}

// chooseConnection is one try of selectConnection. isOpen tells whether the connection is one that was there before. The
// lock is held.
func (c *Client) chooseConnection(number uint64) (conn *connection, isOpen bool) {
	candidates := make([]connpool.Connection, len(c.connections))
	for i, conn := range c.connections {
		candidates[i] = connpool.Connection{
			InFlight: conn.queue.Unfinished(),
			Draining: !conn.accepts(number),
			LastUsed: conn.lastUsed,
		}
	}
	choice := connpool.Select(candidates, c.cfg.StreamsPerConnection, true)
	if choice == connpool.OpenConnection {
		if conn := c.openConnection(); conn != nil {
			return conn, false
		}
		choice = connpool.Select(candidates, c.cfg.StreamsPerConnection, false)
	}
	if choice == connpool.NoConnection {
		return nil, false
	}
	return c.connections[choice], true
}

// openConnection adds a connection and starts its goroutine, which dials once the connection has its slot of the budget.
// It returns nil if the budget has none. The lock is held.
func (c *Client) openConnection() *connection {
	c.ensureInitialized()
	conn := newConnection(c)
	if !c.cfg.Budget.reserve(conn, len(c.connections)) {
		return nil
	}
	c.connections = append(c.connections, conn)
	c.tasks.Go(conn.run)
	return conn
}

// removeConnection removes a connection. The lock is held.
func (c *Client) removeConnection(conn *connection) {
	for i := range c.connections {
		if c.connections[i] == conn {
			c.connections = append(c.connections[:i], c.connections[i+1:]...)
			c.cfg.Budget.release(conn)
			return
		}
	}
}
