// Package socket looks into the operating system's receive buffer of a connection and takes nothing out of it. Its
// functions may be called from any goroutine.
package socket

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// HasUnread reports whether the buffer holds data that was not read yet. It returns false for connections without a file
// descriptor, and for closed ones.
//
// It guards against closing a connection on a request that arrived and waits for a process that lacks processor time: the
// close would reset the connection, and the request be lost.
func HasUnread(conn net.Conn) bool {
	unread, _ := peek(conn)
	return unread
}

// PeerClosed returns an error if the peer has closed or reset a connection, or we have closed it. It returns nil if the
// buffer holds data, and for connections without a file descriptor.
func PeerClosed(conn net.Conn) error {
	_, err := peek(conn)
	return err
}

// peek returns whether the buffer holds data, and how the connection has ended, if it has and nothing is left to read.
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
