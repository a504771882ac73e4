package socket

import (
	"net"
	"time"
)

// ArrivalConn reads a connection and notes when it was last seen without anything to read: what is read later arrived
// after that, however long it waited in the operating system's buffer. Its reading goroutine owns it.
type ArrivalConn struct {
	net.Conn
	arrivedAfter time.Time
	emptyAt      time.Time // arrivedAfter of the next read
}

// Read implements io.Reader. A read that does not fill the buffer leaves nothing behind, but when it did is not known: the
// process may be stopped before it reads the clock. So the clock is read first, and then whether there is nothing to read.
func (c *ArrivalConn) Read(buffer []byte) (int, error) {
	c.arrivedAfter = c.emptyAt
	n, err := c.Conn.Read(buffer)
	if n < len(buffer) {
		now := time.Now()
		if !HasUnread(c.Conn) {
			c.emptyAt = now
		}
	}
	return n, err
}

// ArrivedAfter is when nothing was left to read before the last read: what that returned arrived later. The zero time
// where that was never seen.
func (c *ArrivalConn) ArrivedAfter() time.Time { return c.arrivedAfter }
