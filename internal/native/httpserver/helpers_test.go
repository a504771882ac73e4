package httpserver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout is the longest wait for an expected event. It is far longer than any event takes.
const testTimeout = 20 * time.Second

// stubHandler is a Handler that passes requests to the test, which responds to them.
type stubHandler struct {
	requests chan *stubRequest
}

// stubRequest is a request that waits for the test's response.
type stubRequest struct {
	*Request
	response  chan Response
	cancelled chan struct{}
	once      sync.Once
}

func (h *stubHandler) Handle(request *Request) (Pending, error) {
	if request.Class == "none" {
		return nil, errors.New("no class \"none\"")
	}
	r := &stubRequest{Request: request, response: make(chan Response, 1), cancelled: make(chan struct{})}
	h.requests <- r
	return r, nil
}

func (r *stubRequest) Wait(disconnected <-chan struct{}) (Response, bool) {
	select {
	case response := <-r.response:
		return response, true
	case <-disconnected:
		return Response{}, false
	}
}

func (r *stubRequest) Cancel() { r.once.Do(func() { close(r.cancelled) }) }

// receive returns the next value from c. It fails the test if none arrives within testTimeout.
func receive[T any](t *testing.T, event string, c <-chan T) T {
	t.Helper()
	select {
	case value := <-c:
		return value
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for %s", event)
		panic("unreachable")
	}
}

// fixture is a running server with its Handler.
type fixture struct {
	*testing.T
	handler *stubHandler
	server  *Server
	addr    string
	stop    func()
}

// startServer starts a server with a default Config, which configure, if not nil, may change. The server is stopped
// when the test ends.
func startServer(t *testing.T, configure func(*Config)) *fixture {
	t.Helper()
	cfg := Config{
		IdleTimeout: testTimeout, HeaderTimeout: testTimeout, BodyTimeout: testTimeout, WriteTimeout: testTimeout, StallTimeout: testTimeout,
		MaxHeaderBytes: 4096, MaxBodyBytes: 1000, MaxPipelined: 16, MaxConnections: 100,
	}
	if configure != nil {
		configure(&cfg)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	setup := &fixture{T: t, handler: &stubHandler{make(chan *stubRequest, 1000)}, addr: l.Addr().String()}
	setup.server = New(cfg, func() Handler { return setup.handler }, zerolog.Nop())
	done := make(chan error, 1)
	go func() { done <- setup.server.Serve(l) }()
	var once sync.Once
	setup.stop = func() {
		once.Do(func() {
			_ = l.Close()
			if err := receive(t, "the end of Serve", done); err != nil {
				t.Error(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			setup.server.Shutdown(ctx)
		})
	}
	t.Cleanup(setup.stop)
	return setup
}

// client is a raw TCP connection to the server.
type client struct {
	*testing.T
	net.Conn
	reader *bufio.Reader
}

func (f *fixture) dial() *client {
	f.Helper()
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = c.Close() })
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	return &client{f.T, c, bufio.NewReader(c)}
}

func (c *client) send(text string) {
	c.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.Fatal(err)
	}
}

func (c *client) read() (*http.Response, string) {
	c.Helper()
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.Fatalf("read the head of a response: %v", err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		c.Fatalf("read the body of a response: %v", err)
	}
	return r, string(body)
}

// expectClosed waits until the server closes the connection, and fails the test if the server sends anything before.
func (c *client) expectClosed() {
	c.Helper()
	if n, err := io.Copy(io.Discard, c.reader); n != 0 || err != nil && !strings.Contains(err.Error(), "reset") {
		c.Errorf("received %d bytes and error %v, want a closed connection", n, err)
	}
}

func postRequest(function, headers, body string) string {
	head := fmt.Sprintf("POST /call/%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n", function, len(body), headers)
	return head + body
}

func chunkedRequest(body string) string {
	return "POST /call/f HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + body
}
