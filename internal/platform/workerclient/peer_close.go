package workerclient

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// ended says whether the other side has ended a connection, by a look into the machine's buffer that takes nothing
// out of it. Where it cannot be told, it has not.
func ended(conn net.Conn) error {
	raw, can := conn.(syscall.Conn)
	if !can {
		return nil
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return err
	}
	var seen error
	err = control.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n == 0 && err == nil:
			seen = io.EOF
		case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
			seen = err
		}
	})
	return errors.Join(err, seen)
}
