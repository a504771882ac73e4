package socket

import (
	"errors"
	"io"
	"net"
	"testing"
)

func TestPeerClosed_UnreadData_IsNotConsumed(t *testing.T) {
	ours, theirs := connectedPair(t)
	if err := PeerClosed(ours); err != nil {
		t.Errorf("an open connection: %v", err)
	}
	if _, err := theirs.Write([]byte("ab")); err != nil {
		t.Fatal(err)
	}
	_ = theirs.Close()
	if err := PeerClosed(ours); err != nil {
		t.Errorf("one with unread data: %v", err)
	}
	if got, err := io.ReadAll(ours); err != nil || string(got) != "ab" {
		t.Errorf("read %q, %v", got, err)
	}
	if err := PeerClosed(ours); !errors.Is(err, io.EOF) {
		t.Errorf("one that was read to its end: %v", err)
	}
	_ = ours.Close()
	if err := PeerClosed(ours); !errors.Is(err, net.ErrClosed) {
		t.Errorf("our own close: %v", err)
	}
}
