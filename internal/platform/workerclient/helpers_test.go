package workerclient

import (
	"fmt"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"havencart/internal/native/muxframe"
	"havencart/internal/workerconn"
	"havencart/lab/platformworker"
	"havencart/scheduler"
)

// eventRecorder records the events of a client.
type eventRecorder struct {
	attemptEnds   chan workerconn.Result
	loadEnds      chan string
	lateResponses chan bool
	healthChecks  chan scheduler.Status
	disconnects   chan error
}

func (r eventRecorder) ResponseStarted(*workerconn.Attempt, workerconn.Result) {}

func (r eventRecorder) AttemptEnded(_ *workerconn.Attempt, result workerconn.Result) {
	r.attemptEnds <- result
}

func (r eventRecorder) HealthChecked(_ *workerconn.HealthCheck, s scheduler.Status, _ []float64) {
	r.healthChecks <- s
}

func (r eventRecorder) Disconnected(cause error) { r.disconnects <- cause }

func (r eventRecorder) LateResponse(uint32) { r.lateResponses <- true }

func (r eventRecorder) LoadEnded(_ *workerconn.LoadOrder, s scheduler.Status, n int) {
	r.loadEnds <- fmt.Sprint(s, " ", n)
}

// startWorkerAndClient starts a worker that runs the script for each frame, and a client of the worker.
func startWorkerAndClient(t *testing.T, script platformworker.Script) (*Client, eventRecorder, *platformworker.Server) {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	server, err := platformworker.StartFullyScripted(script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	client, recorder := newTestClient(t, server.Address(), 8)
	return client, recorder, server
}

// newTestClient returns a client of the worker at the given address, with a budget of the given number of connections.
func newTestClient(t *testing.T, address string, connections int) (*Client, eventRecorder) {
	t.Helper()
	return newConfiguredClient(t, address, connections, func(*Config) {})
}

// newConfiguredClient is newTestClient with a configuration that configure may change.
func newConfiguredClient(t *testing.T, address string, connections int, configure func(*Config)) (*Client, eventRecorder) {
	t.Helper()
	recorder := eventRecorder{
		attemptEnds:   make(chan workerconn.Result, 16),
		loadEnds:      make(chan string, 16),
		lateResponses: make(chan bool, 16),
		healthChecks:  make(chan scheduler.Status, 16),
		disconnects:   make(chan error, 16),
	}
	start := time.Now()
	cfg := Config{
		Worker: "s-00000001", Address: address, ConnectTimeout: 5 * time.Second, StreamsPerConnection: 32, IdleTimeout: time.Minute,
		MaxQueue: 64, MaxResponse: 1 << 16, LoadReportFields: []string{"queue"}, Budget: NewConnectionBudget(connections),
		Now: func() time.Duration { return time.Since(start) },
	}
	configure(&cfg)
	client := New(cfg, recorder)
	t.Cleanup(func() { client.Stop(); <-client.Done() })
	return client, recorder
}

// newAttempt returns an attempt of a request with the ID n.
func newAttempt(n int) *workerconn.Attempt {
	return &workerconn.Attempt{Body: []byte("body"), Deadline: time.Hour, Request: muxframe.Request{
		ID:    fmt.Sprintf("%016x", n),
		Class: "fare-quote", IdempotencyKey: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", Replica: muxframe.ReplicaSpec{Function: "7f3a9c21e0b4d655"},
	}}
}

// send queues an attempt, which must succeed.
func send(t *testing.T, client *Client, a *workerconn.Attempt) {
	t.Helper()
	if r := client.Send(a); r != nil {
		t.Fatalf("the attempt was not queued: %+v", r)
	}
}

// connectedPair returns both ends of a TCP connection.
func connectedPair(t *testing.T) (local, remote *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialled.Close(); _ = accepted.Close() })
	return dialled.(*net.TCPConn), accepted.(*net.TCPConn)
}

// newUnservedConnection returns a connection without goroutines, whose work the test does instead.
func newUnservedConnection(t *testing.T, netConn net.Conn) (*Client, *connection) {
	client, _ := newTestClient(t, "127.0.0.1:1", 1)
	client.mu.Lock()
	defer client.mu.Unlock()
	client.ensureInitialized()
	conn := newConnection(client)
	conn.netConn, conn.received = netConn, true
	client.connections = append(client.connections, conn)
	client.cfg.Budget.reserve(conn, 0)
	return client, conn
}

// deadlineRecorder is a connection that records its write deadlines.
type deadlineRecorder struct {
	net.Conn
	deadlines []time.Time
}

func (c *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	c.deadlines = append(c.deadlines, t)
	return c.Conn.SetWriteDeadline(t)
}
