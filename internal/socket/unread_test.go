package socket

import (
	"net"
	"runtime"
	"testing"
)

func TestHasUnread_DataArrivesAndIsRead(t *testing.T) {
	server, client := connectedPair(t)
	if HasUnread(server) {
		t.Error("unread data before data was sent")
	}
	if _, err := client.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	for !HasUnread(server) && t.Context().Err() == nil {
		runtime.Gosched() // no notification of an arrival is available without reading the data
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
		t.Error("the end of the connection counts as unread data")
	}
	_ = server.Close()
	if HasUnread(server) {
		t.Error("a closed connection has unread data")
	}
	pipe, otherEnd := net.Pipe()
	defer func() { _ = pipe.Close(); _ = otherEnd.Close() }()
	if HasUnread(pipe) {
		t.Error("a connection without a descriptor has unread data")
	}
}
