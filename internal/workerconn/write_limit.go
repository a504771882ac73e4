package workerconn

import (
	"net"
	"time"
)

// WriteLimit is the time limit of the write in progress on a connection. Once a write has started, its limit can only
// be shortened, so that the earliest of several limits applies. The owner's lock guards a WriteLimit. The zero
// WriteLimit limits nothing.
type WriteLimit struct {
	conn  net.Conn
	until time.Time
}

// Start limits a write that starts now on conn to timeout.
func (l *WriteLimit) Start(conn net.Conn, timeout time.Duration) {
	l.conn = conn
	l.set(time.Now().Add(timeout))
}

// Shorten limits the write in progress to timeout from now, if that is before its current limit.
func (l *WriteLimit) Shorten(timeout time.Duration) {
	until := time.Now().Add(timeout)
	if l.conn != nil && until.Before(l.until) {
		l.set(until)
	}
}

func (l *WriteLimit) set(until time.Time) {
	l.until = until
	_ = l.conn.SetWriteDeadline(until) // fails only on a closed connection, whose writes fail too
}

// DiscardOnClose makes any later close of a connection discard the data that the operating system still holds for it.
// Otherwise a request that was given up could reach its worker much later, when an interrupted network path works
// again. A worker that can be reached sees a reset instead of a regular end of the connection; in both cases it
// cancels all requests of the connection.
func DiscardOnClose(conn net.Conn) {
	if tcp, isTCP := conn.(interface{ SetLinger(seconds int) error }); isTCP {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
}
