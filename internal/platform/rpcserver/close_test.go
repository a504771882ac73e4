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

// pausingHandler lets the test act between a request's last byte and its handling.
type pausingHandler struct {
	stubHandler
	received, proceed chan bool
}

func (h pausingHandler) Handle(request *Request, respond func(Response)) (func(), error) {
	h.received <- true
	<-h.proceed
	return h.stubHandler.Handle(request, respond)
}

// TestCloseIf_RequestReceivedWhole_StaysOpen holds that no connection is closed under a request that was received
// whole: the client would send it again on another connection, under the same id, which is in use by then.
func TestCloseIf_RequestReceivedWhole_StaysOpen(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	local, remote := net.Pipe()
	handler := pausingHandler{stubHandler{make(chan *stubRequest, 1), make(chan string, 1)}, make(chan bool), make(chan bool)}
	server := New(Config{Rules: rules, MaxConnections: 4, MaxInFlight: 4, MaxQueuedBytes: 1 << 20, WriteTimeout: time.Minute}, handler, zerolog.Nop())
	server.admit(local)
	always := func(connadmission.Connection) bool { return true }
	connection := server.conns.All()[0]
	raw := requestMessage(t, 1, "quote", validFields(1))
	write(t, remote, raw[:len(raw)-1])
	write(t, remote, raw[len(raw)-1:])
	<-handler.received
	if connection.closeIf(always) || server.evict() {
		t.Error("closed while a request that was received whole was handled")
	}
	handler.proceed <- true
	request := <-handler.requests
	if connection.closeIf(always) {
		t.Error("closed while a request was in flight")
	}
	request.respond(Response{Kind: Served, Body: []byte("one")})
	expect(t, remote, rpcframe.AppendServed(nil, 1, []byte("one")))
	connection.drain()
	if _, err := remote.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read %v", err)
	}
	_ = remote.Close()
	server.Shutdown()
}

// TestCloseIf_MessageStartedSinceSnapshot_StaysOpen holds that the decision is made again under the lock.
func TestCloseIf_MessageStartedSinceSnapshot_StaysOpen(t *testing.T) {
	local, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	connection := newConn(New(Config{}, stubHandler{}, zerolog.Nop()), local)
	connection.hasSentRequest, connection.stateSince = true, time.Now().Add(-time.Hour)
	if state := connection.snapshot(time.Now()); !connadmission.ShouldClose(state) {
		t.Fatalf("not idle: %+v", state)
	}
	connection.setInput(inputPartial)
	if connection.closeIf(connadmission.ShouldClose) {
		t.Error("closed in the middle of a message")
	}
	if connection.closeIf(connadmission.ShouldCloseInShutdown) {
		t.Error("closed in the middle of a message during a shutdown")
	}
	connection.setInput(inputComplete)
	if connection.closeIf(func(connadmission.Connection) bool { return true }) {
		t.Error("closed between a request's last byte and its handling")
	}
	connection.setInput(inputIdle)
	if !connection.closeIf(connadmission.ShouldCloseInShutdown) {
		t.Error("an idle one stays open during a shutdown")
	}
}

// TestCloseIf_RequestNotReadYet_StaysOpen holds that a request that the system has received is not lost by a close, however
// late the process reads it.
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
	connection := newConn(New(Config{}, stubHandler{}, zerolog.Nop()), accepted) // nothing reads it
	write(t, client, requestMessage(t, 1, "quote", validFields(1)))
	for !socket.HasUnread(accepted) && t.Context().Err() == nil {
		runtime.Gosched()
	}
	always := func(connadmission.Connection) bool { return true }
	if connection.closeIf(always) {
		t.Error("closed with a request unread")
	}
	if _, err := io.ReadAtLeast(accepted, make([]byte, 4096), 1); err != nil {
		t.Fatal(err)
	}
	if !connection.closeIf(always) {
		t.Error("stays open once all is read")
	}
}
