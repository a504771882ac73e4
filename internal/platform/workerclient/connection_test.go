package workerclient

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"havencart/internal/platform/workerframe"
	"havencart/internal/workerconn"
	"havencart/lab/platformworker"
	"havencart/scheduler"
)

// TestASecondAnswerEndsNoLaterAttempt: a call that was turned away goes to the same worker again, under the same number,
// and only then the answer that turned it away comes a second time.
func TestASecondAnswerEndsNoLaterAttempt(t *testing.T) {
	for _, first := range []workerframe.Code{workerframe.Overloaded, workerframe.NotLoaded, workerframe.AlreadyEnded, workerframe.Error} {
		t.Run(fmt.Sprint(first), func(t *testing.T) {
			type seen struct {
				c *platformworker.Conn
				f workerframe.Frame
			}
			came := make(chan seen, 4)
			l, h, _ := open(t, func(c *platformworker.Conn, f workerframe.Frame) { came <- seen{c, f} })
			send(t, l, attempt(5))
			one := <-came
			one.c.Answer(workerframe.Frame{Code: first, ID: one.f.ID})
			if r := <-h.ends; r.Status != statuses[first] {
				t.Fatalf("ended as %+v", r)
			}
			send(t, l, attempt(5))
			two := <-came
			one.c.Answer(workerframe.Frame{Code: first, ID: one.f.ID})
			select {
			case <-h.late:
			case r := <-h.ends:
				t.Fatalf("a second answer with code %d ended the next attempt as %+v", first, r)
			}
			two.c.Answer(workerframe.Frame{Code: workerframe.OK, ID: two.f.ID})
			if r := <-h.ends; r.Status != scheduler.OK {
				t.Errorf("after a second answer with code %d the next attempt ended as %+v", first, r)
			}
			if two.c.Number == one.c.Number {
				t.Errorf("the next attempt went on the connection that answered its number with code %d", first)
			}
		})
	}
}

// pair is both ends of a connection.
func pair(t *testing.T) (ours, theirs *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	a, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	b, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Close(); b.Close() })
	return a.(*net.TCPConn), b.(*net.TCPConn)
}

// alone is a strand whose goroutines the test stands for.
func alone(t *testing.T, conn net.Conn) (*Client, *connection) {
	l, _ := link(t, "127.0.0.1:1", 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	s := newConnection(l)
	s.netConn, s.received = conn, true
	l.connections = append(l.connections, s)
	l.cfg.Budget.used.Add(1)
	return l, s
}

// TestNothingIsWrittenToAConnectionThatTheWorkerHasEnded: its end stands in the machine's buffer and was not read yet.
func TestNothingIsWrittenToAConnectionThatTheWorkerHasEnded(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn){
		"closed": func(c *net.TCPConn) { c.Close() },
		"reset":  func(c *net.TCPConn) { _ = c.SetLinger(0); c.Close() },
	} {
		ours, theirs := pair(t)
		l, s := alone(t, ours)
		end(theirs)
		for peerClosed(ours) == nil { // until it is in the buffer
		}
		a := attempt(5)
		send(t, l, a)
		if err := s.write(ours, make(chan struct{})); err == nil || s.queue.Queued() != 1 || a.MayHaveBeenSent() {
			t.Errorf("%s: %v, %d wait, may have left %v", name, err, s.queue.Queued(), a.MayHaveBeenSent())
		}
	}
}

func TestALookForTheEndTakesNothing(t *testing.T) {
	ours, theirs := pair(t)
	if err := peerClosed(ours); err != nil {
		t.Errorf("one that stands: %v", err)
	}
	if _, err := theirs.Write([]byte("ab")); err != nil {
		t.Fatal(err)
	}
	theirs.Close()
	if err := peerClosed(ours); err != nil {
		t.Errorf("one with something to read: %v", err)
	}
	if got, err := io.ReadAll(ours); err != nil || string(got) != "ab" {
		t.Errorf("read %q, %v", got, err)
	}
	if err := peerClosed(ours); !errors.Is(err, io.EOF) {
		t.Errorf("one that was read to its end: %v", err)
	}
	ours.Close()
	if err := peerClosed(ours); !errors.Is(err, net.ErrClosed) {
		t.Errorf("our own close: %v", err)
	}
}

// TestADrainShortensTheWriteThatIsAboutToBegin: the frames were claimed, their first byte is not written yet.
func TestADrainShortensTheWriteThatIsAboutToBegin(t *testing.T) {
	ours, theirs := net.Pipe() // nobody reads
	defer theirs.Close()
	l, s := alone(t, ours)
	send(t, l, attempt(5))
	var b writeBatch
	s.nextBatch(ours, &b)
	if attempts, _ := l.Drain(time.Millisecond); len(attempts) != 0 {
		t.Error("what is leaving was taken back")
	}
	if _, err := ours.Write(b.Bytes); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("written: %v", err)
	}
}

// TestAWriteThatStandsStillHoldsUpNoStop: the worker reads nothing, and the machine's buffers are full.
func TestAWriteThatStandsStillHoldsUpNoStop(t *testing.T) {
	ours, theirs := net.Pipe() // nobody reads, nothing is buffered
	defer theirs.Close()
	l, s := alone(t, ours)
	send(t, l, attempt(5))
	served := make(chan error, 1)
	l.tasks.Go(func() { served <- s.serve(ours) })
	if _, err := theirs.Read(make([]byte, 1)); err != nil { // the write has begun
		t.Fatal(err)
	}
	l.Stop()
	if err := <-served; !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("served: %v", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if left := s.queue.RemoveInFlight(); len(left) != 0 {
		t.Error("an attempt that was not written whole counts as left")
	}
}

// TestAnswersComeInPieces: cut at every byte, and many in one segment.
func TestAnswersComeInPieces(t *testing.T) {
	raw, err := workerframe.Append(nil, workerframe.FromWorker, workerframe.Frame{Code: workerframe.OK, ID: 5, Fields: "peers_in=3", Body: []byte("answer")})
	if err != nil {
		t.Fatal(err)
	}
	cut := make(chan int, 1)
	l, h, _ := open(t, func(c *platformworker.Conn, _ workerframe.Frame) {
		i := <-cut
		c.Raw(raw[:i])
		c.Raw(raw[i:])
	})
	for i := range raw {
		cut <- i
		send(t, l, attempt(5))
		if r := <-h.ends; r.Status != scheduler.OK || string(r.Response.Body) != "answer" || r.QueueDepth != 3 {
			t.Fatalf("cut at %d it ended as %+v", i, r)
		}
	}
}

// TestACallThatWaitsOnADialIsTakenBack: by its client's leaving or by a give-up, and nothing is written once the
// connection is up.
func TestACallThatWaitsOnADialIsTakenBack(t *testing.T) {
	for name, back := range map[string]func(l *Client, a *workerconn.Attempt) bool{
		"withdrawn": func(l *Client, a *workerconn.Attempt) bool { return l.CancelUnsent(a) },
		"given up":  func(l *Client, a *workerconn.Attempt) bool { return !l.Abandon(a) },
		"drained": func(l *Client, a *workerconn.Attempt) bool {
			attempts, _ := l.Drain(time.Second)
			return len(attempts) == 1 && attempts[0] == a
		},
	} {
		ours, theirs := net.Pipe()
		defer theirs.Close()
		l, s := alone(t, nil) // the dial is under way
		a := attempt(5)
		send(t, l, a)
		if !back(l, a) || l.Busy() {
			t.Errorf("%s: it is still there", name)
		}
		if l.CancelUnsent(a) {
			t.Errorf("%s: taken back twice", name)
		}
		s.netConn = ours // it comes up late
		var b writeBatch
		if s.nextBatch(ours, &b); len(b.Bytes) > 0 {
			t.Errorf("%s: %d bytes are written", name, len(b.Bytes))
		}
	}
}

// limited notes the limits that are set for writes.
type limited struct {
	net.Conn
	limits []time.Time
}

func (c *limited) SetWriteDeadline(t time.Time) error {
	c.limits = append(c.limits, t)
	return c.Conn.SetWriteDeadline(t)
}

// TestAGivenUpCallsWriteEndsSoon: the worker reads nothing, and the call's client leaves while it is being written.
func TestAGivenUpCallsWriteEndsSoon(t *testing.T) {
	ours, theirs := net.Pipe() // nobody reads
	defer theirs.Close()
	c := &limited{Conn: ours}
	l, s := alone(t, c)
	a, other := attempt(5), attempt(6)
	send(t, l, a)
	send(t, l, other)
	var b writeBatch
	s.nextBatch(c, &b)
	began := time.Now()
	if !l.Abandon(a) {
		t.Error("what is leaving is told as never left")
	}
	if n := len(c.limits); n != 2 || c.limits[1].Sub(began) > 100*time.Millisecond || !c.limits[1].Before(c.limits[0]) {
		t.Errorf("limits of the write: %v from %v on", c.limits, began)
	}
	n, err := c.Write(b.Bytes)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("written: %v", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if never := s.queue.BatchWritten(&b, n); len(never) != 1 || never[0].Attempt != other {
		t.Errorf("%d of the others never left", len(never))
	}
}

// TestACallGivenUpIsTakenBackFromTheMachineToo: the close of its connection sends no more of it on a path that was cut
// and is whole again; a worker sees that by a reset.
func TestACallGivenUpIsTakenBackFromTheMachineToo(t *testing.T) {
	for _, givenUp := range []bool{true, false} {
		ours, theirs := pair(t)
		l, s := alone(t, ours)
		a := attempt(5)
		send(t, l, a)
		served := make(chan error, 1)
		l.tasks.Go(func() { served <- s.serve(ours) })
		r := workerframe.NewReader(theirs, workerframe.FromFrontEnd, workerframe.MaxBody)
		if f, err := r.Next(); err != nil || f.ID != 5 {
			t.Fatalf("read %+v, %v", f, err)
		}
		if givenUp {
			l.Abandon(a)
		} else {
			raw, _ := workerframe.Append(nil, workerframe.FromWorker, workerframe.Frame{Code: workerframe.OK, ID: 5})
			if _, err := theirs.Write(raw); err != nil {
				t.Fatal(err)
			}
			l.mu.Lock()
			s.draining = true
			s.wakeUp()
			l.mu.Unlock()
		}
		if err := <-served; !errors.Is(err, errUnneeded) {
			t.Errorf("served: %v", err)
		}
		if _, err := io.Copy(io.Discard, theirs); errors.Is(err, syscall.ECONNRESET) != givenUp {
			t.Errorf("given up %v: the worker saw %v", givenUp, err)
		}
	}
}
