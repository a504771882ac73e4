package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// PeerHungUp reports whether the peer has closed or reset a connection, also if the receive buffer still holds unread
// data before the end. It returns false for connections without a file descriptor, for those that this process has
// closed, and if the operating system does not tell.
func PeerHungUp(conn net.Conn) bool {
	syscallConn, hasDescriptor := conn.(syscall.Conn)
	if !hasDescriptor {
		return false
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	hungUp := false
	err = rawConn.Control(func(descriptor uintptr) { hungUp = pollHangUp(int(descriptor)) })
	return err == nil && hungUp
}

// pollHangUp asks the operating system, without waiting, whether the peer of a socket has hung up.
func pollHangUp(descriptor int) bool {
	polled := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
	for {
		ready, err := unix.Poll(polled, 0)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		return err == nil && ready == 1 && polled[0].Revents&unix.POLLRDHUP != 0
	}
}
