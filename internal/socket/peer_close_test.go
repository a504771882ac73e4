package socket

import (
	"errors"
	"io"
	"net"
	"testing"
)

func TestPeerClosed_UnreadData_IsNotConsumed(t *testing.T) {
	local, remote := connectedPair(t)
	if err := PeerClosed(local); err != nil {
		t.Errorf("open connection: %v", err)
	}
	if _, err := remote.Write([]byte("ab")); err != nil {
		t.Fatal(err)
	}
	_ = remote.Close()
	if err := PeerClosed(local); err != nil {
		t.Errorf("connection closed by the peer, with unread data: %v", err)
	}
	if got, err := io.ReadAll(local); err != nil || string(got) != "ab" {
		t.Errorf("read %q, error %v; want the unread data", got, err)
	}
	if err := PeerClosed(local); !errors.Is(err, io.EOF) {
		t.Errorf("connection closed by the peer, read to its end: %v", err)
	}
	_ = local.Close()
	if err := PeerClosed(local); !errors.Is(err, net.ErrClosed) {
		t.Errorf("connection closed by this process: %v", err)
	}
}
