package faultproxy

import (
	"errors"
	"io"
	"net"

	"golang.org/x/sys/unix"
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

// tcpClosed is the kernel's state TCP_CLOSE, in which a connection is after either side has reset it or after both have
// closed it. After a regular close by the other side alone, the connection is in another state.
const tcpClosed = 7

// hasBeenReset reports whether a connection has been reset, or closed on both sides. It consumes neither data nor the
// error that a read returns.
func hasBeenReset(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	_ = raw.Control(func(descriptor uintptr) { // fails only if this process has closed the connection
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State == tcpClosed
	})
	return closed
}
