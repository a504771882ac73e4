package socket

import (
	"net"
	"testing"
)

func TestPeerHungUp_EachEnd(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(t *testing.T, local, remote net.Conn)
		want bool
	}{
		"open": {func(*testing.T, net.Conn, net.Conn) {}, false},
		"open with unread data": {func(t *testing.T, _, remote net.Conn) {
			write(t, remote)
		}, false},
		"closed with unread data": {func(t *testing.T, _, remote net.Conn) {
			write(t, remote)
			_ = remote.Close()
		}, true},
		"reset with unread data": {func(t *testing.T, local, remote net.Conn) {
			write(t, local) // unread by the peer, so that its close resets the connection
			write(t, remote)
			_ = remote.Close()
		}, true},
		"closed by this process": {func(_ *testing.T, local, _ net.Conn) { _ = local.Close() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			local, remote := connectedPair(t)
			test.end(t, local, remote)
			if got := PeerHungUp(local); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}

func write(t *testing.T, conn net.Conn) {
	t.Helper()
	if _, err := conn.Write([]byte("ab")); err != nil {
		t.Fatal(err)
	}
}
