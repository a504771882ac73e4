package rpcserver

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"havencart/internal/platform/rpcframe"
)

// TestEachWayOfLeavingIsHeard: the calls are left, and the connection's place is free again.
func TestEachWayOfLeavingIsHeard(t *testing.T) {
	for name, leave := range map[string]func(c *net.TCPConn) error{
		"half-close":            func(c *net.TCPConn) error { return c.CloseWrite() },
		"close":                 func(c *net.TCPConn) error { return c.Close() },
		"reset":                 func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() },
		"half a request, close": func(c *net.TCPConn) error { _, _ = c.Write([]byte{0x94, 0}); return c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			h, address := serve(t, 1)
			c := connect(t, address).(*net.TCPConn)
			write(t, c, append(ask(t, 1, "quote", good(1)), ask(t, 2, "quote", good(2))...))
			calls := []*taken{<-h.calls, <-h.calls}
			if err := leave(c); err != nil {
				t.Fatal(err)
			}
			gone := map[string]bool{<-h.left: true, <-h.left: true}
			for _, call := range calls {
				if !gone[call.ID] {
					t.Errorf("%s was not left: %v", call.ID, gone)
				}
				call.answer(Response{Kind: Served}) // nobody waits for it
			}
			next := connect(t, address) // there is one place
			write(t, next, ask(t, 1, "quote", good(3)))
			(<-h.calls).answer(Response{Kind: Served})
			expect(t, next, rpcframe.AppendServed(nil, 1, nil))
		})
	}
}

// TestARevokedCallFreesItsPlace, whether the revoke or the answer comes first; what is written stays whole.
func TestARevokedCallFreesItsPlace(t *testing.T) {
	h, address := serve(t, 1)
	c := connect(t, address)
	for round := range 3 {
		var numbers []int
		var calls []*taken
		for i := range 4 { // as many as may be open
			number := 1 + 4*round + i
			numbers = append(numbers, number)
			write(t, c, ask(t, number, "quote", good(number)))
			calls = append(calls, <-h.calls)
		}
		calls[0].answer(Response{Kind: Served, Body: []byte("first")})
		write(t, c, message(t, 2, "revoke", numbers))
		for range 3 {
			<-h.left
		}
		calls[1].answer(Response{Kind: Served, Body: []byte("late")})
		expect(t, c, rpcframe.AppendServed(nil, uint32(numbers[0]), []byte("first")))
	}
}

// TestRequestsComeInPieces: cut at every byte, and many in one segment.
func TestRequestsComeInPieces(t *testing.T) {
	h, address := serve(t, 1)
	c := connect(t, address)
	number := 0
	next := func(n int) (raw []byte) {
		for range n {
			number++
			raw = append(raw, ask(t, number, "quote", good(number))...)
		}
		return raw
	}
	served := func(n int) {
		var want []byte
		for i := range n {
			call := <-h.calls
			if string(call.Body) != "body" {
				t.Fatalf("body %q", call.Body)
			}
			call.answer(Response{Kind: Served})
			want = rpcframe.AppendServed(want, uint32(number-n+1+i), nil)
		}
		expect(t, c, want)
	}
	for i := range len(ask(t, 1, "quote", good(1))) {
		raw := next(1)
		write(t, c, raw[:i])
		write(t, c, raw[i:])
		served(1)
	}
	for _, b := range next(1) {
		write(t, c, []byte{b})
	}
	served(1)
	write(t, c, next(4))
	served(4)
}

// full is a listener of a process that has no descriptor left until a time.
type full struct {
	net.Listener
	until  time.Time
	tries  int
	closed chan bool
}

func (l *full) Accept() (net.Conn, error) {
	if l.tries++; time.Now().Before(l.until) {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	<-l.closed
	return nil, net.ErrClosed
}

func (l *full) Close() error { return nil }

// TestAcceptingWithoutDescriptorsNeitherSpinsNorStalls on the bubble's clock.
func TestAcceptingWithoutDescriptorsNeitherSpinsNorStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{Rules: rules, MaxConns: 2}, taker{}, zerolog.Nop())
		l := &full{until: time.Now().Add(time.Second), closed: make(chan bool)}
		ours, theirs := net.Pipe()
		s.take(ours) // it says nothing
		ctx, cancel := context.WithCancel(context.Background())
		served := make(chan error, 1)
		go func() { served <- s.Serve(ctx, l) }()
		if _, err := theirs.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("the silent one was not closed to make room: %v", err)
		}
		time.Sleep(2 * time.Second)
		close(l.closed)
		if err := <-served; err != nil {
			t.Error(err)
		}
		if l.tries < 50 || l.tries > 400 {
			t.Errorf("%d tries in a second without descriptors", l.tries)
		}
		cancel()
		s.Shutdown()
	})
}

// TestSilentClientsTakeNoPlaceFromOneWithACallOpen, however many of them come.
func TestSilentClientsTakeNoPlaceFromOneWithACallOpen(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	h, address := serve(t, 4)
	asks := connect(t, address)
	write(t, asks, ask(t, 1, "quote", good(1)))
	call := <-h.calls
	var silent []net.Conn
	for range 40 {
		silent = append(silent, connect(t, address))
	}
	last := connect(t, address)
	write(t, last, ask(t, 1, "quote", good(2)))
	(<-h.calls).answer(Response{Kind: Served})
	expect(t, last, rpcframe.AppendServed(nil, 1, nil))
	call.answer(Response{Kind: Served})
	expect(t, asks, rpcframe.AppendServed(nil, 1, nil))
	for _, c := range silent {
		c.Close()
	}
}
