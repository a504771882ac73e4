package faultproxy

import (
	"errors"
	"io"
	"net"
)

// reset closes a connection with a TCP reset. It has no effect on a closed connection.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // fails on a closed connection only
	_ = conn.Close()
}

// isTimeout reports whether an error is a network timeout.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// isEOF reports whether a read ended because the other side closed the connection without a reset.
func isEOF(err error) bool { return errors.Is(err, io.EOF) }
