package clientconn

import (
	"net"
	"syscall"
)

// HasUnread reports whether the operating system holds data of a connection that was not read yet. It takes nothing out of
// the buffer, and returns false for connections without a file descriptor.
//
// It guards against closing a connection on a request that arrived and waits for a process that lacks processor time: the
// close would reset the connection, and the request be lost.
func HasUnread(conn net.Conn) bool {
	syscallConn, hasDescriptor := conn.(syscall.Conn)
	if !hasDescriptor {
		return false
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = rawConn.Control(func(descriptor uintptr) {
		var buffer [1]byte
		n, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}
