package rpcserver

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"havencart/internal/platform/rpcframe"
)

// gatedListener is a listener whose Accept blocks until the test closes pass.
type gatedListener struct {
	*net.TCPListener
	pass chan bool
}

func (g gatedListener) Accept() (net.Conn, error) {
	<-g.pass
	return g.TCPListener.Accept()
}

// TestShutdown_ConnectionInBacklog_Served checks that a connection that is in the listener's backlog when a shutdown
// starts is still accepted and served. Closing the listener at once would reset the connection.
func TestShutdown_ConnectionInBacklog_Served(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	for _, shutdownFirst := range []bool{true, false} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		gated := gatedListener{listener.(*net.TCPListener), make(chan bool)}
		handler := stubHandler{make(chan *stubRequest, 4), make(chan string, 4)}
		cfg := Config{Rules: rules, MaxConnections: 4, MaxInFlight: 4, ResponseMemory: limits.memory(), MaxQueuedBytes: limits.perConnection, WriteTimeout: time.Minute, AcceptGracePeriod: time.Minute}
		server := New(cfg, handler, zerolog.Nop())
		ctx, cancel := context.WithCancel(context.Background())
		served := make(chan error, 1)
		go func() { served <- server.Serve(ctx, gated) }()
		client := connect(t, listener.Addr().String())
		write(t, client, requestMessage(t, 1, "quote", validFields(1)))
		if shutdownFirst {
			server.BeginShutdown()
			close(gated.pass)
		} else {
			close(gated.pass)
			request := <-handler.requests
			handler.requests <- request
			server.BeginShutdown()
		}
		request := <-handler.requests
		request.respond(Response{Kind: Served, Body: []byte("one")})
		expect(t, client, rpcframe.AppendServed(nil, 1, []byte("one")))
		_ = listener.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
		cancel()
		server.Shutdown()
	}
}

// TestShutdown_GracePeriodOver_AcceptingEnds checks that Serve returns and closes the listener after the grace period,
// whether the shutdown started before or after Serve.
func TestShutdown_GracePeriodOver_AcceptingEnds(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	for _, shutdownFirst := range []bool{true, false} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := New(Config{Rules: rules, MaxConnections: 4, AcceptGracePeriod: time.Millisecond}, stubHandler{}, zerolog.Nop())
		ctx, cancel := context.WithCancel(context.Background())
		served := make(chan error, 1)
		if shutdownFirst {
			server.BeginShutdown()
		}
		go func() { served <- server.Serve(ctx, listener) }()
		server.BeginShutdown()
		if err := <-served; err != nil {
			t.Error(err)
		}
		if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("the listener is still open: %v", err)
		}
		cancel()
		server.Shutdown()
	}
}
