package portreservation

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// dialFrom connects to server from the given local address.
func dialFrom(t *testing.T, local string, server net.Listener) (net.Conn, error) {
	t.Helper()
	address, err := net.ResolveTCPAddr("tcp", local)
	if err != nil {
		t.Fatal(err)
	}
	dialer := net.Dialer{LocalAddr: address}
	return dialer.Dial("tcp", server.Addr().String())
}

func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// Shows why reservations are needed: after a listener has closed, an outgoing connection can have its port as the local
// port, and then no new listener can use it.
func TestListen_PortOfAConnection_IsInUse(t *testing.T) {
	server := listen(t, "127.0.0.1:0")
	defer func() { _ = server.Close() }()
	stopped := listen(t, "127.0.0.1:0")
	address := stopped.Addr().String()
	_ = stopped.Close()
	connection, err := dialFrom(t, address, server)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	if _, err := net.Listen("tcp", address); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("listen on the local port of a connection: %v, want %v", err, syscall.EADDRINUSE)
	}
}

// Guards against a connection taking the port between two listeners of the owner.
func TestReserve_ListenerRestarts_NoConnectionTakesThePort(t *testing.T) {
	server := listen(t, "127.0.0.1:0")
	defer func() { _ = server.Close() }()
	reservation, err := Reserve("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer reservation.Release()
	for range 3 {
		connection, err := dialFrom(t, reservation.Address(), server)
		if !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("connect from the reserved port: %v, want %v", err, syscall.EADDRINUSE)
		}
		if err == nil {
			_ = connection.Close()
		}
		if _, err := net.Dial("tcp", reservation.Address()); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("connect to the reserved port without a listener: %v, want %v", err, syscall.ECONNREFUSED)
		}
		listener := listen(t, reservation.Address())
		client, err := net.Dial("tcp", reservation.Address())
		if err != nil {
			t.Fatal(err)
		}
		_ = client.Close()
		_ = listener.Close()
	}
}

func TestReserve_AddressInUse_Fails(t *testing.T) {
	listener := listen(t, "127.0.0.1:0")
	defer func() { _ = listener.Close() }()
	if _, err := Reserve(listener.Addr().String()); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("reserve the address of a listener: %v, want %v", err, syscall.EADDRINUSE)
	}
	if _, err := Reserve("here"); err == nil {
		t.Error("reserved a malformed address")
	}
}
