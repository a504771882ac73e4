package faultproxy

import (
	"errors"
	"io"
	"net"
)

// reset closes a connection with a TCP reset. A connection that is closed already stays as it is.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // fails on a closed connection only
	_ = conn.Close()
}

// isTimeout tells whether an error is that of a deadline.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// isEOF tells whether a read met the regular end of a connection.
func isEOF(err error) bool { return errors.Is(err, io.EOF) }
