package muxclient

import (
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"havencart/internal/native/muxframe"
	"havencart/scheduler"
)

// TestAttempt_NoConnection_EndsAsConnectFailed and TestAttempt_ConnectionBreaksAfterWrite_EndsAsReset verify the table
// in the package comment.
func TestAttempt_NoConnection_EndsAsConnectFailed(t *testing.T) {
	t.Run("connection refused", func(t *testing.T) {
		worker := startFakeWorker(t)
		_ = worker.listener.Close()
		client, recorder := newTestClient(t, worker, nil)
		if r := client.Send(newAttempt("a")); r == nil {
			if r := await(t, "the result of the attempt", recorder.attemptEnds); r.Status != scheduler.ConnectFailed {
				t.Errorf("result %+v, want ConnectFailed", r)
			}
		}
	})
	t.Run("handshake timeout", func(t *testing.T) {
		worker := startFakeWorker(t)
		client, recorder := newTestClient(t, worker, func(c *Config) { c.ConnectTimeout = 50 * time.Millisecond })
		client.Send(newAttempt("a"))
		worker.accept()
		if r := await(t, "the result of the attempt", recorder.attemptEnds); r.Status != scheduler.ConnectFailed {
			t.Errorf("result %+v, want ConnectFailed", r)
		}
	})
	t.Run("another worker responds", func(t *testing.T) {
		worker := startFakeWorker(t)
		client, recorder := newTestClient(t, worker, func(c *Config) { c.Worker = "other" })
		client.Send(newAttempt("a"))
		worker.acceptAndWelcome(1)
		if r := await(t, "the result of the attempt", recorder.attemptEnds); r.Status != scheduler.ConnectFailed || !strings.Contains(r.Reason, `"w"`) {
			t.Errorf("result %+v, want ConnectFailed with the name of the other worker", r)
		}
	})
}

func TestAttempt_ConnectionBreaksAfterWrite_EndsAsReset(t *testing.T) {
	t.Run("reset after the frame was sent", func(t *testing.T) {
		worker := startFakeWorker(t)
		client, recorder := newTestClient(t, worker, nil)
		worker.acceptAndWelcome(1)
		client.Send(newAttempt("a"))
		worker.readRequest()
		worker.reset()
		if r := await(t, "the result of the attempt", recorder.attemptEnds); r.Status != scheduler.Reset {
			t.Errorf("result %+v, want Reset", r)
		}
	})
	t.Run("truncated response frame", func(t *testing.T) {
		worker := startFakeWorker(t)
		client, recorder := newTestClient(t, worker, nil)
		worker.acceptAndWelcome(1)
		client.Send(newAttempt("a"))
		streamID, _ := worker.readRequest()
		raw, _ := muxframe.Append(nil, muxframe.TypeResponse, streamID, muxframe.Response{Status: muxframe.StatusOK}, nil)
		_, _ = worker.conn.Write(raw[:len(raw)-2])
		_ = worker.conn.Close()
		if r := await(t, "the result of the attempt", recorder.attemptEnds); r.Status != scheduler.Reset || !strings.Contains(r.Reason, "unexpected EOF") {
			t.Errorf("result %+v, want Reset by an unexpected EOF", r)
		}
	})
	t.Run("malformed frame", func(t *testing.T) {
		worker := startFakeWorker(t)
		client, recorder := newTestClient(t, worker, nil)
		worker.acceptAndWelcome(1)
		client.Send(newAttempt("a"))
		worker.readRequest()
		_, _ = worker.conn.Write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n"))
		if r := await(t, "the result of the attempt", recorder.attemptEnds); r.Status != scheduler.Reset || !strings.Contains(r.Reason, "malformed") {
			t.Errorf("result %+v, want Reset by a malformed frame", r)
		}
	})
}

// TestConnection_BreaksDuringWrite_EndsAttemptAsConnectFailed verifies that a request whose frame the worker cannot
// have received completely ends with a status that permits a retry at another worker, even if it is not idempotent.
func TestConnection_BreaksDuringWrite_EndsAttemptAsConnectFailed(t *testing.T) {
	worker := startFakeWorker(t)
	client, recorder := newTestClient(t, worker, nil)
	worker.acceptAndWelcome(1)
	await(t, "the connection", recorder.connects)
	big := newAttempt("big")
	big.Body = make([]byte, 15<<20) // more than the operating system buffers while the worker reads nothing
	client.Send(big)
	queued := newAttempt("queued")
	client.Send(queued)
	_, _ = io.ReadFull(worker.conn, make([]byte, 100)) // returns when the write of the first attempt has started
	worker.reset()
	for range 2 {
		if r := await(t, "the result of an attempt", recorder.attemptEnds); r.Status != scheduler.ConnectFailed {
			t.Errorf("result %+v, want ConnectFailed", r)
		}
	}
}

// TestKeepalive_SilentPeer_EndsConnection verifies that the client detects a worker that has disappeared without
// closing the connection.
func TestKeepalive_SilentPeer_EndsConnection(t *testing.T) {
	worker := startFakeWorker(t)
	var clock atomic.Int64
	client, recorder := newTestClient(t, worker, func(c *Config) { c.Now = func() time.Duration { return time.Duration(clock.Load()) } })
	worker.acceptAndWelcome(1)
	client.Send(newAttempt("a"))
	worker.readRequest()
	clock.Add(int64(time.Minute))
	client.Unload("f") // wakes up the writing goroutine, whose timer does not follow the test's clock
	if r := await(t, "the result of the attempt", recorder.attemptEnds); r.Status != scheduler.Reset || !strings.Contains(r.Reason, "sign of life") {
		t.Errorf("result %+v, want Reset by the keepalive", r)
	}
}
