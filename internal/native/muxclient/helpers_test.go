package muxclient

import (
	"bufio"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"havencart/internal/native/muxframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds each wait for something that must happen; a test that needs it has failed already.
const testTimeout = 20 * time.Second

// eventRecorder records the events of a client.
type eventRecorder struct {
	responsesStarted, attemptEnds chan workerconn.Result
	loadEnds                      chan scheduler.Status
	healthChecks                  chan scheduler.Status
	connects                      chan muxframe.Welcome
	disconnects                   chan error
	lateResponses                 chan uint32
}

func (e *eventRecorder) ResponseStarted(_ *workerconn.Attempt, r workerconn.Result) {
	e.responsesStarted <- r
}

func (e *eventRecorder) AttemptEnded(_ *workerconn.Attempt, r workerconn.Result) { e.attemptEnds <- r }

func (e *eventRecorder) LoadEnded(_ *workerconn.LoadOrder, s scheduler.Status, _ int) {
	e.loadEnds <- s
}

func (e *eventRecorder) HealthChecked(_ *workerconn.HealthCheck, s scheduler.Status, _ []float64) {
	e.healthChecks <- s
}

func (e *eventRecorder) Connected(w muxframe.Welcome) { e.connects <- w }

func (e *eventRecorder) Disconnected(err error) {
	select {
	case e.disconnects <- err:
	default:
	}
}

func (e *eventRecorder) LateResponse(n uint32) { e.lateResponses <- n }

// newEventRecorder returns a recorder whose channels hold more than a test causes.
func newEventRecorder() *eventRecorder {
	return &eventRecorder{
		make(chan workerconn.Result, 1000), make(chan workerconn.Result, 1000), make(chan scheduler.Status, 1000),
		make(chan scheduler.Status, 1000), make(chan muxframe.Welcome, 1000), make(chan error, 1000),
		make(chan uint32, 1000),
	}
}

// await returns the next value of c, and fails the test if there is none in time.
func await[T any](t *testing.T, event string, c <-chan T) T {
	t.Helper()
	select {
	case received := <-c:
		return received
	case <-time.After(testTimeout):
		t.Fatalf("waited in vain for %s", event)
		panic("unreachable")
	}
}

// fakeWorker is a worker that does what a test says, frame by frame.
type fakeWorker struct {
	t        *testing.T
	listener net.Listener
	conn     net.Conn
	reader   *muxframe.Reader
}

// accept accepts the next connection and writes nothing.
func (w *fakeWorker) accept() {
	w.t.Helper()
	conn, err := w.listener.Accept()
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = conn.Close() })
	w.conn, w.reader = conn, muxframe.NewReader(bufio.NewReader(conn), 0)
}

// acceptAndWelcome accepts the next connection and performs the handshake.
func (w *fakeWorker) acceptAndWelcome(incarnation uint64) {
	w.t.Helper()
	w.accept()
	if f := w.readFrame(); f.Type != muxframe.TypeHello {
		w.t.Fatalf("%v in place of hello", f.Type)
	}
	w.write(muxframe.TypeWelcome, 0, muxframe.Welcome{Version: muxframe.Version, Worker: "w", Incarnation: incarnation}, "")
}

// readFrame reads the next frame.
func (w *fakeWorker) readFrame() muxframe.Frame {
	w.t.Helper()
	_ = w.conn.SetReadDeadline(time.Now().Add(testTimeout))
	f, err := w.reader.Next()
	if err != nil {
		w.t.Fatalf("the worker reads: %v", err)
	}
	return f
}

// readRequest reads frames up to the next REQUEST and returns its stream ID and header.
func (w *fakeWorker) readRequest() (uint32, muxframe.Request) {
	w.t.Helper()
	for {
		f := w.readFrame()
		if f.Type != muxframe.TypeRequest {
			continue
		}
		var request muxframe.Request
		if err := f.Decode(&request); err != nil {
			w.t.Fatal(err)
		}
		return f.StreamID, request
	}
}

// write writes a frame.
func (w *fakeWorker) write(kind muxframe.Type, streamID uint32, header any, body string) {
	w.t.Helper()
	raw, err := muxframe.Append(nil, kind, streamID, header, []byte(body))
	if err != nil {
		w.t.Fatal(err)
	}
	if _, err := w.conn.Write(raw); err != nil {
		w.t.Fatal(err)
	}
}

// reset closes the connection with a TCP reset.
func (w *fakeWorker) reset() { _ = w.conn.(*net.TCPConn).SetLinger(0); _ = w.conn.Close() }

// startFakeWorker returns a worker that listens and has accepted no connection.
func startFakeWorker(t *testing.T) *fakeWorker {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return &fakeWorker{t: t, listener: l}
}

// newTestClient returns a client of a worker; change, if not nil, changes its configuration.
func newTestClient(t *testing.T, worker *fakeWorker, change func(*Config)) (*Client, *eventRecorder) {
	t.Helper()
	start := time.Now()
	cfg := Config{
		Worker: "w", Address: worker.listener.Addr().String(), FrontEnd: "fe", ConnectTimeout: testTimeout,
		Window: 1000, MaxQueue: 100, Now: func() time.Duration { return time.Since(start) },
	}
	if change != nil {
		change(&cfg)
	}
	recorder := newEventRecorder()
	client := New(cfg, recorder)
	t.Cleanup(func() {
		client.Stop()
		await(t, "the client's end", client.Done())
	})
	return client, recorder
}

// newAttempt returns an attempt of the request with an ID.
func newAttempt(id string) *workerconn.Attempt {
	return &workerconn.Attempt{
		Request: muxframe.Request{Replica: muxframe.ReplicaSpec{Function: "f", Concurrency: 1}, ID: id}, Body: []byte("in"),
		Deadline: time.Hour,
	}
}
