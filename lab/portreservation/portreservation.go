// Package portreservation reserves a TCP port for one owner while the owner does not listen on it.
//
// An emulated process that crashes and restarts has to listen on its old address. Without a reservation, the operating
// system can assign the free port to any outgoing connection as its local port, and a listener then fails with
// EADDRINUSE for as long as that connection lasts.
package portreservation

import (
	"fmt"
	"net/netip"
	"os"
	"syscall"
)

// Reservation is a port that the operating system assigns to no connection. The owner can listen on it with net.Listen
// at Address, any number of times. While the owner does not listen, connections to the port are refused. The owner
// ends the reservation with Release.
type Reservation struct {
	address netip.AddrPort
	socket  int // file descriptor of a bound socket that never listens
}

// Reserve reserves an IPv4 address (host:port). Port 0 selects a free port. Reserve fails with EADDRINUSE if a listener
// already uses the address.
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

// bind binds a socket and returns the address with its actual port. It sets SO_REUSEADDR, which lets a listener with
// the same option share the address; listeners of package net have it.
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

// Address returns the reserved address as host:port.
func (r *Reservation) Address() string { return r.address.String() }

// Release ends the reservation. It does not affect a listener on the address.
func (r *Reservation) Release() { _ = syscall.Close(r.socket) }
