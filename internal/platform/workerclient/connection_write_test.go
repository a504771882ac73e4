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

// The end of the connection lies in the operating system's buffer and was not read yet.
func TestWrite_IdleConnectionClosedByPeer_WritesNothing(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn){
		"closed": func(c *net.TCPConn) { _ = c.Close() },
		"reset":  func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
	} {
		local, remote := connectedPair(t)
		client, conn := newUnservedConnection(t, local)
		end(remote)
		for socket.PeerClosed(local) == nil {
			continue // until the end is in the buffer
		}
		a := newAttempt(5)
		send(t, client, a)
		if err := conn.write(local, make(chan struct{})); err == nil || conn.queue.Queued() != 1 || a.MayHaveBeenSent() {
			t.Errorf("%s: %v, %d queued, may have been sent %v", name, err, conn.queue.Queued(), a.MayHaveBeenSent())
		}
	}
}

// The frames are in a batch, and their first byte is not written yet.
func TestDrain_BatchNotYetWritten_ShortensItsWriteTimeout(t *testing.T) {
	local, remote := net.Pipe() // nobody reads
	defer func() { _ = remote.Close() }()
	client, conn := newUnservedConnection(t, local)
	send(t, client, newAttempt(5))
	var batch writeBatch
	conn.nextBatch(local, &batch)
	if attempts, _ := client.Drain(time.Millisecond); len(attempts) != 0 {
		t.Error("an attempt that is being sent was removed")
	}
	if _, err := local.Write(batch.Bytes); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("written: %v", err)
	}
}

// The worker reads nothing, and the client that sent the request disconnects while the attempt is being written.
func TestAbandon_AttemptBeingWritten_ShortensWriteTimeout(t *testing.T) {
	local, remote := net.Pipe() // nobody reads
	defer func() { _ = remote.Close() }()
	recorder := &deadlineRecorder{Conn: local}
	client, conn := newUnservedConnection(t, recorder)
	a, other := newAttempt(5), newAttempt(6)
	send(t, client, a)
	send(t, client, other)
	var batch writeBatch
	conn.nextBatch(recorder, &batch)
	began := time.Now()
	if !client.Abandon(a) {
		t.Error("an attempt that is being sent is reported as never sent")
	}
	if n := len(recorder.deadlines); n != 2 || recorder.deadlines[1].Sub(began) > 100*time.Millisecond || !recorder.deadlines[1].Before(recorder.deadlines[0]) {
		t.Errorf("deadlines of the write: %v from %v on", recorder.deadlines, began)
	}
	n, err := recorder.Write(batch.Bytes)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("written: %v", err)
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	if unsent := conn.queue.BatchWritten(nil, 0, &batch, n); len(unsent) != 1 || unsent[0].Attempt != other {
		t.Errorf("%d of the others were not sent", len(unsent))
	}
}

// The worker reads nothing, and the operating system's buffers are full.
func TestStop_BlockedWrite_EndsAtOnce(t *testing.T) {
	local, remote := net.Pipe() // nobody reads, nothing is buffered
	defer func() { _ = remote.Close() }()
	client, conn := newUnservedConnection(t, local)
	send(t, client, newAttempt(5))
	served := make(chan error, 1)
	client.tasks.Go(func() { served <- conn.serve(local) })
	if _, err := remote.Read(make([]byte, 1)); err != nil { // the write has begun
		t.Fatal(err)
	}
	client.Stop()
	if err := <-served; !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("served: %v", err)
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	if inFlight := conn.queue.RemoveInFlight(); len(inFlight) != 0 {
		t.Error("an attempt that was not written whole counts as sent")
	}
}
