package rpcserver

import (
	"errors"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"havencart/internal/decide/connadmission"
	"havencart/internal/platform/rpcframe"
	"havencart/internal/socket"
)

// pausingHandler blocks in Handle until the test lets it proceed, so that the test can act while a request is being
// handled.
type pausingHandler struct {
	stubHandler
	received, proceed chan bool
}

func (h pausingHandler) Handle(request *Request, respond func(Response)) (func(CancelCause), error) {
	h.received <- true
	<-h.proceed
	return h.stubHandler.Handle(request, respond)
}

// TestCloseIf_RequestCompletelyReceived_StaysOpen guards against closing a connection while a completely received
// request is being handled. The client would send the request again on another connection with the same ID, which would
// be in use.
func TestCloseIf_RequestCompletelyReceived_StaysOpen(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	local, remote := net.Pipe()
	handler := pausingHandler{stubHandler{make(chan *stubRequest, 1), make(chan string, 1)}, make(chan bool), make(chan bool)}
	server := New(Config{Rules: rules, MaxConnections: 4, MaxInFlight: 4, ResponseMemory: limits.memory(), MaxQueuedBytes: limits.perConnection, WriteTimeout: time.Minute}, handler, zerolog.Nop())
	server.admit(local)
	always := func(connadmission.Connection) bool { return true }
	connection := server.conns.All()[0]
	raw := requestMessage(t, 1, "quote", validFields(1))
	write(t, remote, raw[:len(raw)-1])
	write(t, remote, raw[len(raw)-1:])
	<-handler.received
	if connection.closeIf(closedIdle, always) || server.evict() {
		t.Error("closed while a completely received request was being handled")
	}
	handler.proceed <- true
	request := <-handler.requests
	if connection.closeIf(closedIdle, always) {
		t.Error("closed while a request was in flight")
	}
	request.respond(Response{Kind: Served, Body: []byte("one")})
	expect(t, remote, rpcframe.AppendServed(nil, 1, []byte("one")))
	connection.drain(closedShutdown)
	if _, err := remote.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read error %v, want io.EOF", err)
	}
	_ = remote.Close()
	server.Shutdown()
}

// TestCloseIf_MessageStartedSinceSnapshot_StaysOpen checks that closeIf evaluates the state again under the lock: after
// the snapshot that selected a connection for closing, a message may have started to arrive.
func TestCloseIf_MessageStartedSinceSnapshot_StaysOpen(t *testing.T) {
	local, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	connection := newConn(New(Config{}, stubHandler{}, zerolog.Nop()), local)
	connection.hasSentRequest, connection.stateSince = true, time.Now().Add(-time.Hour)
	if state := connection.snapshot(time.Now()); !connadmission.ShouldClose(state) {
		t.Fatalf("the connection is not idle: %+v", state)
	}
	connection.setInput(inputPartial)
	if connection.closeIf(closedIdle, connadmission.ShouldClose) {
		t.Error("closed in the middle of a message")
	}
	if connection.closeIf(closedIdle, connadmission.ShouldCloseInShutdown) {
		t.Error("closed in the middle of a message during a shutdown")
	}
	connection.setInput(inputComplete)
	if connection.closeIf(closedIdle, func(connadmission.Connection) bool { return true }) {
		t.Error("closed between the receipt of a request's last byte and its handling")
	}
	connection.setInput(inputIdle)
	if !connection.closeIf(closedIdle, connadmission.ShouldCloseInShutdown) {
		t.Error("an idle connection stays open during a shutdown")
	}
}

// TestCloseIf_RequestNotReadYet_StaysOpen guards against the loss of a request that is in the operating system's
// receive buffer when the server closes the connection. This occurs if the process lags and reads the request late.
func TestCloseIf_RequestNotReadYet_StaysOpen(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	connection := newConn(New(Config{}, stubHandler{}, zerolog.Nop()), accepted) // no goroutine reads from it
	write(t, client, requestMessage(t, 1, "quote", validFields(1)))
	for !socket.HasUnread(accepted) && t.Context().Err() == nil {
		runtime.Gosched()
	}
	always := func(connadmission.Connection) bool { return true }
	if connection.closeIf(closedIdle, always) {
		t.Error("closed with an unread request")
	}
	if _, err := io.ReadAtLeast(accepted, make([]byte, 4096), 1); err != nil {
		t.Fatal(err)
	}
	if !connection.closeIf(closedIdle, always) {
		t.Error("stays open after all input was read")
	}
}
