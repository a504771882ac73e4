package clientconn

import (
	"net"
	"runtime"
	"testing"
)

func TestHasUnread_DataArrivesAndIsRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if HasUnread(server) {
		t.Error("unread data before any was sent")
	}
	if _, err := client.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	for !HasUnread(server) && t.Context().Err() == nil {
		runtime.Gosched() // the system tells of no arrival without taking the data
	}
	if _, err := server.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if HasUnread(server) {
		t.Error("unread data after it was read")
	}
	_ = client.Close()
	if _, err := server.Read(make([]byte, 1)); err == nil {
		t.Error("read from a closed connection")
	}
	if HasUnread(server) {
		t.Error("the end of a connection counts as unread data")
	}
	_ = server.Close()
	if HasUnread(server) {
		t.Error("a closed connection has unread data")
	}
	ours, theirs := net.Pipe()
	defer func() { _ = ours.Close(); _ = theirs.Close() }()
	if HasUnread(ours) {
		t.Error("a connection without a descriptor has unread data")
	}
}
