// Package portreservation keeps a TCP port for one owner while nothing listens there.
//
// An emulated process that crashes and comes back has to listen at its old address. A free port does not stay free: the
// system gives it to any connection of the machine that needs a local port, and a listener is refused for as long as such a
// connection lasts.
package portreservation

import (
	"fmt"
	"net/netip"
	"os"
	"syscall"
)

// Reservation is a port that the system gives to nobody. A connect to it is refused until its owner listens there, with
// net.Listen at Address, as often as it likes. The owner ends it by Release.
type Reservation struct {
	address netip.AddrPort
	socket  int // bound, and never listening
}

// Reserve reserves an IPv4 address (host:port); port 0 chooses a free one.
func Reserve(address string) (*Reservation, error) {
	wanted, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("reserve a port: %w", err)
	}
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("reserve a port: %w", os.NewSyscallError("socket", err))
	}
	bound, err := bind(socket, wanted)
	if err != nil {
		_ = syscall.Close(socket)
		return nil, fmt.Errorf("reserve %v: %w", wanted, err)
	}
	return &Reservation{address: bound, socket: socket}, nil
}

// bind binds a socket, and returns its address. SO_REUSEADDR lets a listener that has it too, as those of package net do,
// have the same address.
func bind(socket int, wanted netip.AddrPort) (bound netip.AddrPort, err error) {
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return bound, os.NewSyscallError("setsockopt", err)
	}
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: wanted.Addr().As4(), Port: int(wanted.Port())}); err != nil {
		return bound, os.NewSyscallError("bind", err)
	}
	name, err := syscall.Getsockname(socket)
	if err != nil {
		return bound, os.NewSyscallError("getsockname", err)
	}
	return netip.AddrPortFrom(wanted.Addr(), uint16(name.(*syscall.SockaddrInet4).Port)), nil
}

// Address is what is reserved, as host:port.
func (r *Reservation) Address() string { return r.address.String() }

// Release ends the reservation. A listener at its address goes on.
func (r *Reservation) Release() { _ = syscall.Close(r.socket) }
