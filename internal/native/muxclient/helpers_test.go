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

// testTimeout is the longest wait for an event that must happen. A test that waits this long has failed.
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

func (e *eventRecorder) LateResponse(streamID uint32) { e.lateResponses <- streamID }

// newEventRecorder returns a recorder whose channels have more capacity than the events of any test.
func newEventRecorder() *eventRecorder {
	return &eventRecorder{
		make(chan workerconn.Result, 1000), make(chan workerconn.Result, 1000), make(chan scheduler.Status, 1000),
		make(chan scheduler.Status, 1000), make(chan muxframe.Welcome, 1000), make(chan error, 1000),
		make(chan uint32, 1000),
	}
}

// await returns the next value from c. It fails the test if none arrives within testTimeout.
func await[T any](t *testing.T, event string, c <-chan T) T {
	t.Helper()
	select {
	case received := <-c:
		return received
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for %s", event)
		panic("unreachable")
	}
}

// fakeWorker is a worker whose frames are read and written by the test.
type fakeWorker struct {
	t        *testing.T
	listener net.Listener
	conn     net.Conn
	reader   *muxframe.Reader
}

// accept accepts the next connection without performing the handshake.
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
		w.t.Fatalf("the worker received %v, want hello", f.Type)
	}
	w.write(muxframe.TypeWelcome, 0, muxframe.Welcome{Version: muxframe.Version, Worker: "w", Incarnation: incarnation}, "")
}

func (w *fakeWorker) readFrame() muxframe.Frame {
	w.t.Helper()
	_ = w.conn.SetReadDeadline(time.Now().Add(testTimeout))
	f, err := w.reader.Next()
	if err != nil {
		w.t.Fatalf("the worker cannot read a frame: %v", err)
	}
	return f
}

// readRequest skips frames up to the next REQUEST and returns its stream ID and header.
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

func (w *fakeWorker) write(frameType muxframe.Type, streamID uint32, header any, body string) {
	w.t.Helper()
	raw, err := muxframe.Append(nil, frameType, streamID, header, []byte(body))
	if err != nil {
		w.t.Fatal(err)
	}
	if _, err := w.conn.Write(raw); err != nil {
		w.t.Fatal(err)
	}
}

// reset closes the connection with a TCP reset.
func (w *fakeWorker) reset() { _ = w.conn.(*net.TCPConn).SetLinger(0); _ = w.conn.Close() }

// startFakeWorker returns a worker that listens but has not accepted a connection.
func startFakeWorker(t *testing.T) *fakeWorker {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return &fakeWorker{t: t, listener: l}
}

// newTestClient returns a client of a worker and the recorder of its events. configure, if not nil, may change the
// client's configuration. The client is stopped when the test ends.
func newTestClient(t *testing.T, worker *fakeWorker, configure func(*Config)) (*Client, *eventRecorder) {
	t.Helper()
	start := time.Now()
	cfg := Config{
		Worker: "w", Address: worker.listener.Addr().String(), FrontEnd: "fe", ConnectTimeout: testTimeout,
		Window: 1000, MaxQueue: 100, Now: func() time.Duration { return time.Since(start) },
	}
	if configure != nil {
		configure(&cfg)
	}
	recorder := newEventRecorder()
	client := New(cfg, recorder)
	t.Cleanup(func() {
		client.Stop()
		await(t, "the client to stop", client.Done())
	})
	return client, recorder
}

// newAttempt returns an attempt of a request with the given ID.
func newAttempt(id string) *workerconn.Attempt {
	return &workerconn.Attempt{
		Request: muxframe.Request{Replica: muxframe.ReplicaSpec{Function: "f", Concurrency: 1}, ID: id}, Body: []byte("in"),
		Deadline: time.Hour,
	}
}
