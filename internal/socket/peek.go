// Package socket inspects the operating system's receive buffer of a connection without consuming data. Its functions
// may be called from any goroutine.
package socket

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// HasUnread reports whether the receive buffer of a connection holds unread data. It returns false for connections
// without a file descriptor, and for closed connections.
//
// Callers use it before they close an idle connection: a request may have arrived that the process has not read yet for
// lack of processor time. Closing would then reset the connection, and the request would be lost.
func HasUnread(conn net.Conn) bool {
	unread, _ := peek(conn)
	return unread
}

// PeerClosed returns an error if the peer has closed or reset a connection, or if this process has closed it. It
// returns nil if the receive buffer holds unread data, and for connections without a file descriptor.
func PeerClosed(conn net.Conn) error {
	_, err := peek(conn)
	return err
}

// peek reports whether the receive buffer holds unread data. If it holds none and the connection has ended, peek
// returns how the connection ended.
func peek(conn net.Conn) (unread bool, ended error) {
	syscallConn, hasDescriptor := conn.(syscall.Conn)
	if !hasDescriptor {
		return false, nil
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false, err
	}
	err = rawConn.Control(func(descriptor uintptr) {
		var buffer [1]byte
		n, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == nil && n > 0:
			unread = true
		case err == nil:
			ended = io.EOF
		case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
			ended = err
		}
	})
	return unread, errors.Join(err, ended)
}
