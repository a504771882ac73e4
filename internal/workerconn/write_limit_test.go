package workerconn

import (
	"net"
	"testing"
	"time"
)

// deadlineConn records its last write deadline.
type deadlineConn struct {
	net.Conn
	until time.Time
}

func (c *deadlineConn) SetWriteDeadline(until time.Time) error {
	c.until = until
	return nil
}

func TestWriteLimit_Shorten_NeverExtends(t *testing.T) {
	var limit WriteLimit
	limit.Shorten(time.Millisecond) // no write has started
	conn := &deadlineConn{}
	limit.Start(conn, time.Minute)
	started := conn.until
	limit.Shorten(time.Hour)
	if conn.until != started {
		t.Error("a longer limit replaced the shorter one")
	}
	limit.Shorten(time.Second)
	if !conn.until.Before(started) {
		t.Error("a shorter limit was ignored")
	}
	limit.Start(conn, time.Hour)
	if !conn.until.After(started) {
		t.Error("the next write kept the limit of the previous write")
	}
}
