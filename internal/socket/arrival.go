package socket

import (
	"net"
	"time"
)

// ArrivalConn is a connection that records when it was last seen without unread data. Bytes that are read later arrived
// after that time, however long they waited in the operating system's buffer. The goroutine that reads the connection
// owns the ArrivalConn.
type ArrivalConn struct {
	net.Conn
	arrivedAfter time.Time // time after which the bytes of the last read arrived
	emptyAt      time.Time // when the connection was last seen without unread data; arrivedAfter of the next read
}

// Read implements io.Reader. A read that does not fill the buffer leaves no unread data, but the time of that is not
// known, because the process may be stopped before it reads the clock. Read therefore first reads the clock and then
// checks that there is still no unread data.
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

// ArrivedAfter returns a time after which the bytes of the last read arrived: the last time before that read at which
// the connection was seen without unread data. It returns the zero time if there is no such time.
func (c *ArrivalConn) ArrivedAfter() time.Time { return c.arrivedAfter }
