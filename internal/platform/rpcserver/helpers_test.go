package rpcserver

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/goleak"

	"havencart/internal/decide/memoryshare"
	"havencart/internal/memorybudget"
)

// stubHandler is a Handler that passes requests, and the IDs of cancelled requests, to the test.
type stubHandler struct {
	requests  chan *stubRequest
	cancelled chan string
}

// stubRequest is a request with the function that sends its final response.
type stubRequest struct {
	*Request
	respond func(Response)
}

func (h stubHandler) Handle(request *Request, respond func(Response)) (func(CancelCause), error) {
	if request.ID == rejectedID {
		return nil, ErrProtocol
	}
	h.requests <- &stubRequest{request, respond}
	return func(CancelCause) { h.cancelled <- request.ID }, nil
}

// rejectedID is a request ID that stubHandler rejects as a protocol violation.
const rejectedID = "00000000000000ff"

func (h stubHandler) Ready() bool { return true }

var rules = Rules{
	Classes:     []Class{{Name: "quote", MaxTimeout: time.Second}, {Name: "log", MaxTimeout: time.Second, RequiresKey: true}},
	Tenants:     []string{"acme", "other"},
	MaxMemoryMB: 1000,
}

// testMaxInFlight is the maximum number of requests in flight on a connection of startServer.
const testMaxInFlight = 4

// limits are limits of queued responses that the tests do not reach unless they say so.
var limits = responseLimits{perConnection: 1 << 20, total: 1 << 20}

// responseLimits limit the bodies of responses that are not written yet.
type responseLimits struct {
	perConnection int64 // bytes in the queue of one connection
	total         int64 // bytes of all connections together
}

// memory returns a new budget for the responses. One connection alone may hold half of a budget, so the budget is twice as
// large as what the connections of a test hold together.
func (l responseLimits) memory() *memorybudget.Budget {
	return memorybudget.New(2*l.total, memoryshare.ClientResponseThresholds())
}

// startServer starts a server and returns its handler and address. The server is shut down when the test ends.
func startServer(t *testing.T, maxConns int) (stubHandler, string) {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := stubHandler{make(chan *stubRequest, 64), make(chan string, 64)}
	cfg := Config{Rules: rules, MaxConnections: maxConns, MaxInFlight: testMaxInFlight, ResponseMemory: limits.memory(), MaxQueuedBytes: limits.perConnection, WriteTimeout: time.Minute}
	server := New(cfg, handler, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
		server.Shutdown()
	})
	return handler, listener.Addr().String()
}

func connect(t *testing.T, address string) net.Conn {
	t.Helper()
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	return client
}

// validFields returns the fields of a request that conforms to the rules.
func validFields(id int) map[string]string {
	return map[string]string{
		"id": fmt.Sprintf("%016x", id), "wait": "900", "tenant": "other", "key": "7f3a9c21e0b4d655",
		"attrs": "memory_mb:512;lanes:2;load_ms:300",
	}
}

func message(t *testing.T, v ...any) []byte {
	t.Helper()
	raw, err := msgpack.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func requestMessage(t *testing.T, messageID int, method string, fields map[string]string) []byte {
	t.Helper()
	return message(t, 0, messageID, method, []any{fields, []byte("body")})
}

func write(t *testing.T, client net.Conn, raw []byte) {
	t.Helper()
	if _, err := client.Write(raw); err != nil {
		t.Fatal(err)
	}
}

func expect(t *testing.T, client net.Conn, want []byte) {
	t.Helper()
	got := make([]byte, len(want))
	if _, err := io.ReadFull(client, got); err != nil || !bytes.Equal(got, want) {
		t.Errorf("read %q, error %v; want %q", got, err, want)
	}
}
