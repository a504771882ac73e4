package faultproxy

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startEcho starts a server that echoes the data that it receives, and a proxy to it.
func startEcho(t *testing.T) *Proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	proxy, err := Start(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	return proxy
}

func dial(t *testing.T, proxy *Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", proxy.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// echo sends a byte and reads the echoed byte.
func echo(t *testing.T, conn net.Conn) {
	t.Helper()
	if _, err := conn.Write([]byte{1}); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}

func TestHoldConnects_NewConnection_IsEstablishedAfterRelease(t *testing.T) {
	proxy := startEcho(t)
	before := dial(t, proxy)
	echo(t, before)
	for range 2 {
		if err := proxy.HoldConnects(); err != nil {
			t.Fatal(err)
		}
		if conn, err := net.DialTimeout("tcp", proxy.Address(), 50*time.Millisecond); !isTimeout(err) {
			t.Fatalf("dial while connections are held back: %v, %v; want a timeout", conn, err)
		}
		echo(t, before)
		if err := proxy.ReleaseConnects(); err != nil {
			t.Fatal(err)
		}
		echo(t, dial(t, proxy))
	}
}

func TestHoldConnects_Overlapping_EndsWithTheLastRelease(t *testing.T) {
	proxy := startEcho(t)
	for range 2 {
		if err := proxy.HoldConnects(); err != nil {
			t.Fatal(err)
		}
	}
	if err := proxy.ReleaseConnects(); err != nil {
		t.Fatal(err)
	}
	if conn, err := net.DialTimeout("tcp", proxy.Address(), 50*time.Millisecond); !isTimeout(err) {
		t.Fatalf("dial after one of two releases: %v, %v; want a timeout", conn, err)
	}
	if err := proxy.ReleaseConnects(); err != nil {
		t.Fatal(err)
	}
	echo(t, dial(t, proxy))
}

func TestStall_EitherDirection_DeliversAfterResume(t *testing.T) {
	proxy := startEcho(t)
	for name, direction := range map[string][2]func(){
		"forward":  {proxy.StallForward, proxy.ResumeForward},
		"backward": {proxy.StallBackward, proxy.ResumeBackward},
	} {
		conn := dial(t, proxy)
		echo(t, conn)
		direction[0]()
		if _, err := conn.Write([]byte{1}); err != nil {
			t.Fatal(err)
		}
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		if _, err := conn.Read(make([]byte, 1)); !isTimeout(err) {
			t.Errorf("%s: read during a stall returns %v, want a timeout", name, err)
		}
		direction[1]()
		_ = conn.SetReadDeadline(time.Time{})
		if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
			t.Errorf("%s: read after the stall: %v", name, err)
		}
	}
}

// TestStall_SenderResets_HeldDataIsDropped checks that a sender can call back what the network holds by a reset.
func TestStall_SenderResets_HeldDataIsDropped(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	proxy, err := Start(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	sender := dial(t, proxy)
	receiver, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = receiver.Close() }()
	proxy.StallForward()
	if _, err := sender.Write([]byte("held")); err != nil {
		t.Fatal(err)
	}
	proxy.mu.Lock()
	var ends []*net.TCPConn
	for conn := range proxy.connections {
		ends = append(ends, conn)
	}
	proxy.mu.Unlock()
	_ = sender.(*net.TCPConn).SetLinger(0)
	_ = sender.Close()
	for _, end := range ends {
		if end.RemoteAddr().String() != sender.LocalAddr().String() {
			continue
		}
		for !hasBeenReset(end) {
			continue // until the reset has arrived
		}
	}
	proxy.ResumeForward()
	if received, err := io.ReadAll(receiver); len(received) > 0 {
		t.Errorf("the receiver read %q, error %v; want nothing", received, err)
	}
}

func TestResetConnections_OpenConnection_IsReset(t *testing.T) {
	proxy := startEcho(t)
	conn := dial(t, proxy)
	echo(t, conn)
	proxy.ResetConnections()
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read returns %v, want a connection reset", err)
	}
}
