package rpcserver

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// blockingHandler is a Handler that blocks in the first request until the test releases it.
type blockingHandler struct {
	started, release chan struct{}
	handled          atomic.Int32
	cancelled        atomic.Int32
}

func (h *blockingHandler) Handle(*Request, func(Response)) (func(CancelCause), error) {
	if h.handled.Add(1) == 1 {
		close(h.started)
		<-h.release
	}
	return func(CancelCause) { h.cancelled.Add(1) }, nil
}

func (h *blockingHandler) Ready() bool { return true }

// TestRead_ClientHasClosedWithRequestsUnread_NoneIsHandled guards against requests that are sent to workers after their
// client has closed its connection, because the server reads them only then.
func TestRead_ClientHasClosedWithRequestsUnread_NoneIsHandled(t *testing.T) {
	for name, closeClient := range map[string]func(*net.TCPConn){
		"closed": func(client *net.TCPConn) { _ = client.Close() },
		"reset": func(client *net.TCPConn) {
			_ = client.SetLinger(0)
			_ = client.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			const requests = 30
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			handler := &blockingHandler{started: make(chan struct{}), release: make(chan struct{})}
			server := New(Config{
				Rules: rules, MaxConnections: 1, MaxInFlight: 2 * requests, ResponseMemory: limits.memory(),
				MaxQueuedBytes: limits.perConnection, WriteTimeout: time.Minute,
			}, handler, zerolog.Nop())
			ctx, cancel := context.WithCancel(t.Context())
			served := make(chan error, 1)
			go func() { served <- server.Serve(ctx, listener) }()
			client := connect(t, listener.Addr().String()).(*net.TCPConn)
			for id := 1; id <= requests; id++ {
				write(t, client, requestMessage(t, id, "quote", validFields(id)))
			}
			<-handler.started
			closeClient(client)
			close(handler.release)
			cancel()
			_ = listener.Close()
			if err := <-served; err != nil {
				t.Fatal(err)
			}
			server.Shutdown()
			if handled, cancelled := handler.handled.Load(), handler.cancelled.Load(); handled != 1 || cancelled != 1 {
				t.Errorf("%d requests handled, %d of them cancelled; want the first one only", handled, cancelled)
			}
		})
	}
}
