package socket

import (
	"net"
	"testing"
)

// connectedPair returns both ends of a connection.
func connectedPair(t *testing.T) (ours, theirs net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	theirs, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	ours, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ours.Close(); _ = theirs.Close() })
	return ours, theirs
}
