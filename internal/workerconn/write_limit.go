package workerconn

import (
	"net"
	"time"
)

// WriteLimit is the time limit of the write under way on a connection. Once a write has started, its limit can only be
// shortened: each reason to end the write sooner holds, whichever comes first. Its owner's lock guards it. The zero
// WriteLimit limits nothing.
type WriteLimit struct {
	conn  net.Conn
	until time.Time
}

// Start limits a write that starts now on a connection.
func (l *WriteLimit) Start(conn net.Conn, timeout time.Duration) {
	l.conn = conn
	l.set(time.Now().Add(timeout))
}

// Shorten limits the write under way further, if timeout from now is sooner than its limit.
func (l *WriteLimit) Shorten(timeout time.Duration) {
	until := time.Now().Add(timeout)
	if l.conn != nil && until.Before(l.until) {
		l.set(until)
	}
}

func (l *WriteLimit) set(until time.Time) {
	l.until = until
	_ = l.conn.SetWriteDeadline(until) // fails on a closed connection only, whose writes fail too
}

// DiscardOnClose has the close of a connection drop the data that the operating system still holds for it, whoever
// closes it. It guards against a request that reaches its worker long after it was given up, once an interrupted network
// path works again. A worker that is reachable sees a reset in place of a regular end; in both cases it cancels all
// requests of the connection.
func DiscardOnClose(conn net.Conn) {
	if tcp, isTCP := conn.(interface{ SetLinger(seconds int) error }); isTCP {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
}
