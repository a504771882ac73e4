package workerclient

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"havencart/internal/socket"
)

// TestWrite_IdleConnectionClosedByPeer_WritesNothing guards against writing a request to an idle connection that the
// worker has closed, while the client has not read the end of the stream yet. The worker would never execute the
// request, but the client could not rule it out.
func TestWrite_IdleConnectionClosedByPeer_WritesNothing(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn){
		"closed": func(c *net.TCPConn) { _ = c.Close() },
		"reset":  func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
	} {
		local, remote := connectedPair(t)
		client, conn := newUnservedConnection(t, local)
		end(remote)
		for socket.PeerClosed(local) == nil {
			continue // until the operating system has received the end of the stream
		}
		a := newAttempt(5)
		send(t, client, a)
		if err := conn.write(local, make(chan struct{})); err == nil || conn.queue.Queued() != 1 || a.MayHaveBeenSent() {
			t.Errorf("%s: write returned %v with %d queued, may have been sent: %v; want an error and the attempt still queued", name, err, conn.queue.Queued(), a.MayHaveBeenSent())
		}
	}
}

// TestDrain_BatchNotYetWritten_ShortensItsWriteTimeout covers frames that are encoded in a batch of which no byte is
// written yet.
func TestDrain_BatchNotYetWritten_ShortensItsWriteTimeout(t *testing.T) {
	local, remote := net.Pipe() // the worker does not read
	defer func() { _ = remote.Close() }()
	client, conn := newUnservedConnection(t, local)
	send(t, client, newAttempt(5))
	var batch writeBatch
	conn.nextBatch(local, &batch)
	if attempts, _ := client.Drain(time.Millisecond); len(attempts) != 0 {
		t.Error("Drain removed an attempt that is being sent")
	}
	if _, err := local.Write(batch.Bytes); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("write returned error %v, want a timeout", err)
	}
}

// TestAbandon_AttemptBeingWritten_ShortensWriteTimeout covers a worker that reads nothing, while the client that sent
// the request disconnects during the write of the attempt.
func TestAbandon_AttemptBeingWritten_ShortensWriteTimeout(t *testing.T) {
	local, remote := net.Pipe() // the worker does not read
	defer func() { _ = remote.Close() }()
	recorder := &deadlineRecorder{Conn: local}
	client, conn := newUnservedConnection(t, recorder)
	a, other := newAttempt(5), newAttempt(6)
	send(t, client, a)
	send(t, client, other)
	var batch writeBatch
	conn.nextBatch(recorder, &batch)
	start := time.Now()
	if !client.Abandon(a) {
		t.Error("an attempt that is being sent is reported as never sent")
	}
	if n := len(recorder.deadlines); n != 2 || recorder.deadlines[1].Sub(start) > 100*time.Millisecond || !recorder.deadlines[1].Before(recorder.deadlines[0]) {
		t.Errorf("the write deadlines are %v after the start at %v; want a second, earlier deadline", recorder.deadlines, start)
	}
	n, err := recorder.Write(batch.Bytes)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("write returned error %v, want a timeout", err)
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	if unsent := conn.queue.BatchWritten(nil, 0, &batch, n); len(unsent) != 1 || unsent[0].Attempt != other {
		t.Errorf("%d items were not sent, want only the other attempt", len(unsent))
	}
}

// TestStop_BlockedWrite_EndsAtOnce covers a write that blocks because the worker reads nothing and the operating
// system's buffers are full.
func TestStop_BlockedWrite_EndsAtOnce(t *testing.T) {
	local, remote := net.Pipe() // the worker does not read, and a pipe has no buffer
	defer func() { _ = remote.Close() }()
	client, conn := newUnservedConnection(t, local)
	send(t, client, newAttempt(5))
	served := make(chan error, 1)
	client.tasks.Go(func() { served <- conn.serve(local) })
	if _, err := remote.Read(make([]byte, 1)); err != nil { // wait for the start of the write
		t.Fatal(err)
	}
	client.Stop()
	if err := <-served; !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("serve returned %v, want io.ErrClosedPipe", err)
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	if inFlight := conn.queue.RemoveInFlight(); len(inFlight) != 0 {
		t.Error("an attempt that was not completely written counts as in flight")
	}
}
