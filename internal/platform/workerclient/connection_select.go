package workerclient

import "havencart/internal/decide/connpool"

// This file selects the connection for a new frame, and opens and removes connections.

// selectConnection returns the connection for a new frame with the given number, which may be a new connection. It
// returns nil if the client is stopped, its queue is full or no connection is available. It does not select a
// connection on which the number was used before, if a response to that earlier use may still arrive. It requires that
// c.mu is held.
func (c *Client) selectConnection(number uint64) *connection {
	if c.closed || len(c.attempts)+len(c.loads) >= c.cfg.MaxQueue {
		return nil
	}
	for {
		conn, isOpen := c.chooseConnection(number)
		if !isOpen || c.cfg.Budget.claim(conn) {
			return conn
		}
		conn.draining = true // the connection was evicted and is about to close
	}
}

// chooseConnection chooses a connection for selectConnection, without claiming its slot. The result isOpen is true if
// the connection already existed. It requires that c.mu is held.
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

// openConnection adds a connection and starts its goroutine, which dials once the budget grants a slot. It returns nil
// if the budget allows no further connection. It requires that c.mu is held.
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

// removeConnection removes a connection and releases its slot. It requires that c.mu is held.
func (c *Client) removeConnection(conn *connection) {
	for i := range c.connections {
		if c.connections[i] == conn {
			c.connections = append(c.connections[:i], c.connections[i+1:]...)
			c.cfg.Budget.release(conn)
			return
		}
	}
}
