package rpcserver

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"havencart/internal/decide/connadmission"
	"havencart/internal/platform/rpcframe"
)

// gate is a listener whose Accept waits until the test lets it go on.
type gate struct {
	*net.TCPListener
	pass chan bool
}

func (g gate) Accept() (net.Conn, error) {
	<-g.pass
	return g.TCPListener.Accept()
}

// TestAConnectionThatTheMachineTookIsServedAtAStop: it waits in the listener's backlog when the stop is asked for, and
// closing the listener would reset it.
func TestAConnectionThatTheMachineTookIsServedAtAStop(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	for _, stopFirst := range []bool{true, false} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		g := gate{l.(*net.TCPListener), make(chan bool)}
		h := taker{make(chan *taken, 4), make(chan string, 4)}
		s := New(Config{Rules: rules, MaxConns: 4, MaxOpen: 4, MaxOut: 1 << 20, Write: time.Minute, Rest: time.Minute}, h, zerolog.Nop())
		ctx, cancel := context.WithCancel(context.Background())
		served := make(chan error, 1)
		go func() { served <- s.Serve(ctx, g) }()
		c := connect(t, l.Addr().String())
		write(t, c, ask(t, 1, "quote", good(1)))
		if stopFirst {
			s.Finish()
			close(g.pass)
		} else {
			close(g.pass)
			call := <-h.calls
			h.calls <- call
			s.Finish()
		}
		call := <-h.calls
		call.answer(Response{Kind: Served, Body: []byte("one")})
		expect(t, c, rpcframe.AppendServed(nil, 1, []byte("one")))
		l.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
		cancel()
		s.Shutdown()
	}
}

// TestAStopEndsTheAcceptingByItself within Rest, whether it is asked for before the serving begins or after.
func TestAStopEndsTheAcceptingByItself(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	for _, stopFirst := range []bool{true, false} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := New(Config{Rules: rules, MaxConns: 4, Rest: time.Millisecond}, taker{}, zerolog.Nop())
		ctx, cancel := context.WithCancel(context.Background())
		served := make(chan error, 1)
		if stopFirst {
			s.Finish()
		}
		go func() { served <- s.Serve(ctx, l) }()
		s.Finish()
		if err := <-served; err != nil {
			t.Error(err)
		}
		if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("the listener still stands: %v", err)
		}
		cancel()
		s.Shutdown()
	}
}

// slowTaker lets the test stand between a request's last byte and its taking.
type slowTaker struct {
	taker
	come, goOn chan bool
}

func (h slowTaker) Handle(c *Request, answer func(Response)) (func(), error) {
	h.come <- true
	<-h.goOn
	return h.taker.Handle(c, answer)
}

// TestNoConnectionIsClosedOnARequestThatCameWhole: the client would send it anew on another connection, under the same
// id, which is taken by then.
func TestNoConnectionIsClosedOnARequestThatCameWhole(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	ours, theirs := net.Pipe()
	h := slowTaker{taker{make(chan *taken, 1), make(chan string, 1)}, make(chan bool), make(chan bool)}
	s := New(Config{Rules: rules, MaxConns: 4, MaxOpen: 4, MaxOut: 1 << 20, Write: time.Minute}, h, zerolog.Nop())
	s.take(ours)
	any := func(connadmission.Connection) bool { return true }
	c := s.conns.All()[0]
	raw := ask(t, 1, "quote", good(1))
	write(t, theirs, raw[:len(raw)-1])
	write(t, theirs, raw[len(raw)-1:])
	<-h.come
	if c.closeIf(any) || s.evict() {
		t.Error("closed while a request that came whole was taken")
	}
	h.goOn <- true
	call := <-h.calls
	if c.closeIf(any) {
		t.Error("closed while a request was open")
	}
	call.answer(Response{Kind: Served, Body: []byte("one")})
	expect(t, theirs, rpcframe.AppendServed(nil, 1, []byte("one")))
	c.closeBehind()
	if _, err := theirs.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read %v", err)
	}
	theirs.Close()
	s.Shutdown()
}

// TestWhatBeganToComeSinceItWasLookedAtIsNotClosedAsIdle: the verdict is asked anew under the lock.
func TestWhatBeganToComeSinceItWasLookedAtIsNotClosedAsIdle(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	c := newConn(New(Config{}, taker{}, zerolog.Nop()), ours)
	c.asked, c.since = true, time.Now().Add(-time.Hour)
	if looked := c.standing(time.Now()); !connadmission.ShouldClose(looked) {
		t.Fatalf("not idle: %+v", looked)
	}
	c.stand(true, false)
	if c.closeIf(connadmission.ShouldClose) {
		t.Error("closed in the middle of a message")
	}
	if c.closeIf(connadmission.ShouldCloseInShutdown) {
		t.Error("closed in the middle of a message at a stop")
	}
	c.stand(false, true)
	if c.closeIf(func(connadmission.Connection) bool { return true }) {
		t.Error("closed between a request's last byte and its taking")
	}
	c.stand(false, false)
	if !c.closeIf(connadmission.ShouldCloseInShutdown) {
		t.Error("an idle one is kept at a stop")
	}
}

// TestAClientThatReadsNothingIsNotOurLateness: its answers wait for it, and that says nothing of the process.
func TestAClientThatReadsNothingIsNotOurLateness(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	ours, theirs := net.Pipe()
	h := taker{make(chan *taken, 4), make(chan string, 4)}
	told := make(chan time.Duration, 4)
	s := New(Config{Rules: rules, MaxConns: 4, MaxOpen: 4, MaxOut: 1 << 20, Write: time.Minute,
		Wrote: func(took time.Duration) { told <- took }}, h, zerolog.Nop())
	s.take(ours)
	write(t, theirs, append(ask(t, 1, "quote", good(1)), ask(t, 2, "quote", good(2))...))
	first, second := <-h.calls, <-h.calls
	first.answer(Response{Kind: Served, Body: []byte("one")})
	<-told // the write of the first one begins, and nobody reads
	second.answer(Response{Kind: Served, Body: []byte("two")})
	expect(t, theirs, rpcframe.AppendServed(rpcframe.AppendServed(nil, 1, []byte("one")), 2, []byte("two")))
	if len(told) != 0 {
		t.Errorf("the second answer's wait of %v for its client is told as ours", <-told)
	}
	theirs.Close()
	s.Shutdown()
}
