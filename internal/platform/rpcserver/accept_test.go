package rpcserver

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"havencart/internal/platform/rpcframe"
)

// TestEviction_TableFull_IdleConnectionCloses checks that a connection that has sent no request is evicted when the
// connection table is full, so that a new client is served.
func TestEviction_TableFull_IdleConnectionCloses(t *testing.T) {
	handler, address := startServer(t, 2)
	idle, busy := connect(t, address), connect(t, address)
	write(t, busy, requestMessage(t, 1, "quote", validFields(1)))
	request := <-handler.requests
	third := connect(t, address)
	write(t, third, requestMessage(t, 1, "quote", validFields(2)))
	(<-handler.requests).respond(Response{Kind: Failed})
	expect(t, third, rpcframe.AppendError(nil, 1, "Lost", "", ""))
	if _, err := io.ReadAll(idle); err != nil && !strings.Contains(err.Error(), "reset") {
		t.Error(err)
	}
	request.respond(Response{Kind: Served})
	expect(t, busy, rpcframe.AppendServed(nil, 1, nil))
}

// exhaustedListener is a listener whose Accept fails with EMFILE until a given time, as if the process had no file
// descriptors left.
type exhaustedListener struct {
	net.Listener
	until  time.Time
	tries  int
	closed chan bool
}

func (listener *exhaustedListener) Accept() (net.Conn, error) {
	if listener.tries++; time.Now().Before(listener.until) {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	<-listener.closed
	return nil, net.ErrClosed
}

func (listener *exhaustedListener) Close() error { return nil }

// TestAccept_NoDescriptorsLeft_EvictsAndRetriesAfterDelay checks that a shortage of file descriptors leads neither to a
// busy loop nor to the end of Serve. The test runs on the fake clock of a synctest bubble.
func TestAccept_NoDescriptorsLeft_EvictsAndRetriesAfterDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := New(Config{Rules: rules, MaxConnections: 2}, stubHandler{}, zerolog.Nop())
		listener := &exhaustedListener{until: time.Now().Add(time.Second), closed: make(chan bool)}
		local, remote := net.Pipe()
		server.admit(local) // its client sends nothing
		ctx, cancel := context.WithCancel(context.Background())
		served := make(chan error, 1)
		go func() { served <- server.Serve(ctx, listener) }()
		if _, err := remote.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("the idle connection was not evicted: %v", err)
		}
		time.Sleep(2 * time.Second)
		close(listener.closed)
		if err := <-served; err != nil {
			t.Error(err)
		}
		if listener.tries < 50 || listener.tries > 400 {
			t.Errorf("Accept was called %d times in a second without descriptors, want 50 to 400", listener.tries)
		}
		cancel()
		server.Shutdown()
	})
}

func TestEviction_ManyIdleClients_KeepsConnectionWithRequestInFlight(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	handler, address := startServer(t, 4)
	busy := connect(t, address)
	write(t, busy, requestMessage(t, 1, "quote", validFields(1)))
	request := <-handler.requests
	var idle []net.Conn
	for range 40 {
		idle = append(idle, connect(t, address))
	}
	last := connect(t, address)
	write(t, last, requestMessage(t, 1, "quote", validFields(2)))
	(<-handler.requests).respond(Response{Kind: Served})
	expect(t, last, rpcframe.AppendServed(nil, 1, nil))
	request.respond(Response{Kind: Served})
	expect(t, busy, rpcframe.AppendServed(nil, 1, nil))
	for _, client := range idle {
		_ = client.Close()
	}
}
