package rpcserver

import (
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"havencart/internal/platform/rpcframe"
)

// TestWriteDelay_ClientReadsNothing_NotReported checks that the time for which a response waits for a slow client is
// not reported as write delay, which measures the lag of the server process.
func TestWriteDelay_ClientReadsNothing_NotReported(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	local, remote := net.Pipe()
	handler := stubHandler{make(chan *stubRequest, 4), make(chan string, 4)}
	delays := make(chan time.Duration, 4)
	server := New(Config{
		Rules: rules, MaxConnections: 4, MaxInFlight: 4, ResponseMemory: limits.memory(), MaxQueuedBytes: limits.perConnection, WriteTimeout: time.Minute,
		ObserveWriteDelay: func(delay time.Duration) { delays <- delay },
	}, handler, zerolog.Nop())
	server.admit(local)
	write(t, remote, append(requestMessage(t, 1, "quote", validFields(1)), requestMessage(t, 2, "quote", validFields(2))...))
	first, second := <-handler.requests, <-handler.requests
	first.respond(Response{Kind: Served, Body: []byte("one")})
	<-delays // the write of the first response has started, and the client does not read it yet
	second.respond(Response{Kind: Served, Body: []byte("two")})
	expect(t, remote, rpcframe.AppendServed(rpcframe.AppendServed(nil, 1, []byte("one")), 2, []byte("two")))
	if len(delays) != 0 {
		t.Errorf("the second response's wait of %v for its client is reported as write delay", <-delays)
	}
	_ = remote.Close()
	server.Shutdown()
}
