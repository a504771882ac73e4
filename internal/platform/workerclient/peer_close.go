package workerclient

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// peerClosed returns an error if the peer has closed or reset a connection, which it finds by a look at the operating
// system's receive buffer that takes nothing out of it. It returns nil if the buffer holds data, and for connections that
// have no file descriptor.
func peerClosed(conn net.Conn) error {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return err
	}
	var closeErr error
	err = rawConn.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n == 0 && err == nil:
			closeErr = io.EOF
		case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
			closeErr = err
		}
	})
	return errors.Join(err, closeErr)
}
