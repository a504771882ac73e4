//go:build review

package kit

import (
	"syscall"
	"unsafe"
)

// tcpState returns the state of a TCP socket as the kernel numbers it, 7 (closed) if it cannot be read.
func tcpState(fd int, info []byte) int {
	length := uint32(len(info))
	_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, uintptr(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(&info[0])), uintptr(unsafe.Pointer(&length)), 0)
	if errno != 0 {
		return 7
	}
	return int(info[0])
}
