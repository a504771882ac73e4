package muxclient

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"havencart/internal/native/muxframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// soon bounds each wait for something that must happen; a test that needs it has failed already.
const soon = 20 * time.Second

// heard gathers what a link tells.
type heard struct {
	began, ended chan workerconn.Result
	orders       chan scheduler.Status
	probes       chan scheduler.Status
	up           chan muxframe.Welcome
	down         chan error
	late         chan uint32
}

func newHeard() *heard {
	return &heard{make(chan workerconn.Result, 1000), make(chan workerconn.Result, 1000), make(chan scheduler.Status, 1000),
		make(chan scheduler.Status, 1000), make(chan muxframe.Welcome, 1000), make(chan error, 1000),
		make(chan uint32, 1000)}
}

func (h *heard) ResponseStarted(_ *workerconn.Attempt, r workerconn.Result)        { h.began <- r }
func (h *heard) AttemptEnded(_ *workerconn.Attempt, r workerconn.Result)           { h.ended <- r }
func (h *heard) LoadEnded(_ *workerconn.LoadOrder, s scheduler.Status, copies int) { h.orders <- s }
func (h *heard) HealthChecked(s scheduler.Status, _ []float64)                     { h.probes <- s }
func (h *heard) Connected(w muxframe.Welcome)                                      { h.up <- w }
func (h *heard) Disconnected(err error) {
	select {
	case h.down <- err:
	default:
	}
}
func (h *heard) LateResponse(n uint32) { h.late <- n }

func await[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case x := <-c:
		return x
	case <-time.After(soon):
		t.Fatalf("waited in vain for %s", what)
		panic("unreachable")
	}
}

// peer is a worker that does what a test says, frame by frame.
type peer struct {
	t        *testing.T
	listener net.Listener
	conn     net.Conn
	in       *muxframe.Reader
}

func listen(t *testing.T) *peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return &peer{t: t, listener: l}
}

// accept takes the next connection without a word.
func (p *peer) accept() *peer {
	p.t.Helper()
	conn, err := p.listener.Accept()
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { conn.Close() })
	p.conn, p.in = conn, muxframe.NewReader(bufio.NewReader(conn), 0)
	return p
}

// greet takes the next connection and shakes hands.
func (p *peer) greet(life uint64) *peer {
	p.t.Helper()
	p.accept()
	if f := p.next(); f.Type != muxframe.TypeHello {
		p.t.Fatalf("%v in place of hello", f.Type)
	}
	p.write(muxframe.TypeWelcome, 0, muxframe.Welcome{Version: muxframe.Version, Worker: "w", Incarnation: life}, "")
	return p
}

func (p *peer) next() muxframe.Frame {
	p.t.Helper()
	_ = p.conn.SetReadDeadline(time.Now().Add(soon))
	f, err := p.in.Next()
	if err != nil {
		p.t.Fatalf("the peer reads: %v", err)
	}
	return f
}

// call is the next frame that is a call, whatever pings come before it.
func (p *peer) call() (uint32, muxframe.Request) {
	p.t.Helper()
	for {
		f := p.next()
		if f.Type != muxframe.TypeRequest {
			continue
		}
		var c muxframe.Request
		if err := f.Decode(&c); err != nil {
			p.t.Fatal(err)
		}
		return f.StreamID, c
	}
}

func (p *peer) write(kind muxframe.Type, number uint32, header any, body string) {
	p.t.Helper()
	raw, err := muxframe.Append(nil, kind, number, header, []byte(body))
	if err != nil {
		p.t.Fatal(err)
	}
	if _, err := p.conn.Write(raw); err != nil {
		p.t.Fatal(err)
	}
}

func (p *peer) reset() { _ = p.conn.(*net.TCPConn).SetLinger(0); p.conn.Close() }

func open(t *testing.T, p *peer, change func(*Config)) (*Client, *heard) {
	t.Helper()
	start := time.Now()
	cfg := Config{Worker: "w", Address: p.listener.Addr().String(), FrontEnd: "fe", ConnectTimeout: soon,
		Window: 1000, MaxQueue: 100, Now: func() time.Duration { return time.Since(start) }}
	if change != nil {
		change(&cfg)
	}
	h := newHeard()
	l := New(cfg, h)
	t.Cleanup(func() {
		l.Stop()
		await(t, "the link's end", l.Done())
	})
	return l, h
}

func attempt(id string) *workerconn.Attempt {
	return &workerconn.Attempt{Request: muxframe.Request{Replica: muxframe.ReplicaSpec{Function: "f", Concurrency: 1}, ID: id}, Body: []byte("in"),
		Deadline: time.Hour}
}

func TestAnAnswerEndsItsAttempt(t *testing.T) {
	p := listen(t)
	l, h := open(t, p, nil)
	l.Send(attempt("a"))
	l.Send(attempt("b"))
	p.greet(1)
	first, _ := p.call()
	second, c := p.call()
	if c.ID != "b" || c.TimeoutMillis < 1000 {
		t.Errorf("call %+v", c)
	}
	crowd := 3
	p.write(muxframe.TypeResponse, second, muxframe.Response{Status: muxframe.StatusOK, QueueDepth: &crowd, RunMillis: 12.5}, "out")
	if r := await(t, "an answer", h.ended); r.Status != scheduler.OK || string(r.Response.Body) != "out" || r.QueueDepth != 3 ||
		r.RunTime != 12500*time.Microsecond {
		t.Errorf("result %+v", r)
	}
	p.write(muxframe.TypeResponse, first, muxframe.Response{Status: muxframe.StatusNotLoaded}, "")
	if r := await(t, "an answer", h.ended); r.Status != scheduler.NotLoaded || r.QueueDepth != -1 {
		t.Errorf("result %+v", r)
	}
}

// TestWhatEachBreakSays holds the table of the package: rule 2 stands on it.
func TestWhatEachBreakSays(t *testing.T) {
	t.Run("reset after the frame left", func(t *testing.T) {
		p := listen(t)
		l, h := open(t, p, nil)
		p.greet(1)
		l.Send(attempt("a"))
		p.call()
		p.reset()
		if r := await(t, "the end", h.ended); r.Status != scheduler.Reset {
			t.Errorf("%+v", r)
		}
	})
	t.Run("nobody listens", func(t *testing.T) {
		p := listen(t)
		p.listener.Close()
		l, h := open(t, p, nil)
		if r := l.Send(attempt("a")); r == nil {
			if r := await(t, "the end", h.ended); r.Status != scheduler.ConnectFailed {
				t.Errorf("%+v", r)
			}
		}
	})
	t.Run("never says welcome", func(t *testing.T) {
		p := listen(t)
		l, h := open(t, p, func(c *Config) { c.ConnectTimeout = 50 * time.Millisecond })
		l.Send(attempt("a"))
		p.accept()
		if r := await(t, "the end", h.ended); r.Status != scheduler.ConnectFailed {
			t.Errorf("%+v", r)
		}
	})
	t.Run("another worker answers", func(t *testing.T) {
		p := listen(t)
		l, h := open(t, p, func(c *Config) { c.Worker = "other" })
		l.Send(attempt("a"))
		p.greet(1)
		if r := await(t, "the end", h.ended); r.Status != scheduler.ConnectFailed || !strings.Contains(r.Reason, `"w"`) {
			t.Errorf("%+v", r)
		}
	})
	t.Run("dies in the middle of an answer's frame", func(t *testing.T) {
		p := listen(t)
		l, h := open(t, p, nil)
		p.greet(1)
		l.Send(attempt("a"))
		n, _ := p.call()
		raw, _ := muxframe.Append(nil, muxframe.TypeResponse, n, muxframe.Response{Status: muxframe.StatusOK}, nil)
		_, _ = p.conn.Write(raw[:len(raw)-2])
		p.conn.Close()
		if r := await(t, "the end", h.ended); r.Status != scheduler.Reset || !strings.Contains(r.Reason, "unexpected EOF") {
			t.Errorf("%+v", r)
		}
	})
	t.Run("garbage", func(t *testing.T) {
		p := listen(t)
		l, h := open(t, p, nil)
		p.greet(1)
		l.Send(attempt("a"))
		p.call()
		_, _ = p.conn.Write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n"))
		if r := await(t, "the end", h.ended); r.Status != scheduler.Reset || !strings.Contains(r.Reason, "malformed") {
			t.Errorf("%+v", r)
		}
	})
}

// TestAFrameCutShortNeverRan guards rule 2 in the other direction: what the worker cannot have read whole may
// go elsewhere, also when it is unsafe.
func TestAFrameCutShortNeverRan(t *testing.T) {
	p := listen(t)
	l, h := open(t, p, nil)
	p.greet(1)
	await(t, "the connection", h.up)
	big := attempt("big")
	big.Body = make([]byte, 15<<20) // more than the system takes while the peer reads nothing
	l.Send(big)
	whole := attempt("behind")
	l.Send(whole)
	_, _ = io.ReadFull(p.conn, make([]byte, 100)) // it is being written
	p.reset()
	for range 2 {
		if r := await(t, "the end", h.ended); r.Status != scheduler.ConnectFailed {
			t.Errorf("%+v", r)
		}
	}
}

func TestDrainTakesBackWhatHasNotLeft(t *testing.T) {
	p := listen(t)
	l, h := open(t, p, nil)
	a, b := attempt("a"), attempt("b")
	l.Send(a)
	l.Send(b)
	l.Load(&workerconn.LoadOrder{Load: muxframe.LoadOrder{Replicas: 1}})
	l.Load(&workerconn.LoadOrder{Load: muxframe.LoadOrder{Replicas: 0}})
	attempts, orders := l.Drain(time.Second)
	if len(attempts) != 2 || attempts[0] != a || len(orders) != 1 {
		t.Fatalf("taken back: %d attempts, %d orders", len(attempts), len(orders))
	}
	if r := l.Send(attempt("c")); r == nil || r.Status != scheduler.NotSent {
		t.Errorf("new work after the notice: %+v", r)
	}
	if s := l.Load(&workerconn.LoadOrder{Load: muxframe.LoadOrder{Replicas: 2}}); s != scheduler.Overloaded {
		t.Errorf("an order after the notice: %v", s)
	}
	p.greet(1)
	if f := p.next(); f.Type != muxframe.TypeLoadOrder {
		t.Errorf("%v left, only the question may", f.Type)
	}
	if len(h.ended) != 0 {
		t.Error("an end was told of what was taken back")
	}
	l.Resume()
	l.Send(attempt("d"))
	if _, c := p.call(); c.ID != "d" {
		t.Errorf("call %q left", c.ID)
	}
}

// TestNothingLeavesAfterTheGrace guards against a call that stands half written while its worker drains.
func TestNothingLeavesAfterTheGrace(t *testing.T) {
	p := listen(t)
	l, h := open(t, p, nil)
	p.greet(1)
	await(t, "the connection", h.up)
	big := attempt("big")
	big.Body = make([]byte, 15<<20)
	l.Send(big)
	_, _ = io.ReadFull(p.conn, make([]byte, 100))
	l.Drain(10 * time.Millisecond)
	if r := await(t, "the end", h.ended); r.Status != scheduler.ConnectFailed {
		t.Errorf("%+v", r)
	}
	got, _ := io.Copy(io.Discard, p.conn)
	if got > 15<<20 {
		t.Errorf("%d bytes arrived: the whole call", got)
	}
}

func TestAbandonTellsWhetherItLeft(t *testing.T) {
	p := listen(t)
	l, h := open(t, p, nil)
	a := attempt("a")
	l.Send(a)
	if l.Abandon(a) {
		t.Error("an attempt without a connection left")
	}
	p.greet(1)
	await(t, "the connection", h.up)
	b := attempt("b")
	l.Send(b)
	n, c := p.call()
	if c.ID != "b" {
		t.Fatalf("call %q left", c.ID)
	}
	if !l.Abandon(b) {
		t.Error("an attempt that was read did not leave")
	}
	if f := p.next(); f.Type != muxframe.TypeCancel || f.StreamID != n {
		t.Errorf("the worker is told %v %d", f.Type, f.StreamID)
	}
	p.write(muxframe.TypeResponse, n, muxframe.Response{Status: muxframe.StatusOK}, "late")
	if got := await(t, "a late answer", h.late); got != n {
		t.Errorf("late answer to %d", got)
	}
	if len(h.ended) != 0 {
		t.Error("the end of an abandoned attempt was told")
	}
}

// TestAnEndThatWasToldIsNoProofThatItNeverLeft: who hears of ends late, behind other events, may abandon an attempt
// in between; a call that ran must not be taken for one that never left.
func TestAnEndThatWasToldIsNoProofThatItNeverLeft(t *testing.T) {
	p := listen(t)
	l, h := open(t, p, nil)
	p.greet(1)
	await(t, "the connection", h.up)
	answered := attempt("answered")
	l.Send(answered)
	n, _ := p.call()
	p.write(muxframe.TypeResponse, n, muxframe.Response{Status: muxframe.StatusOK}, "done")
	await(t, "the answer", h.ended)
	if !l.Abandon(answered) {
		t.Error("an attempt that was answered never left")
	}
	broken := attempt("broken")
	l.Send(broken)
	p.call()
	p.reset()
	await(t, "the break", h.ended)
	if !l.Abandon(broken) {
		t.Error("an attempt whose connection broke never left")
	}
	l.Drain(time.Second)
	drained := attempt("drained")
	l.Send(drained)
	if l.Abandon(drained) {
		t.Error("an attempt that was turned away left")
	}
}

// TestAFormerLifeIsNotHeard: a worker came back under its address; answers of its former life, with numbers of
// then, must not end attempts of now.
func TestAFormerLifeIsNotHeard(t *testing.T) {
	p := listen(t)
	l, h := open(t, p, nil)
	p.greet(1)
	l.Send(attempt("a"))
	old, _ := p.call()
	former := p.conn
	former.(*net.TCPConn).CloseWrite() // the worker's end of the old connection lives on
	if r := await(t, "the end", h.ended); r.Status != scheduler.Reset {
		t.Fatalf("%+v", r)
	}
	l.Send(attempt("b"))
	p.greet(2)
	now, _ := p.call()
	if now == old {
		t.Fatal("a number was used again")
	}
	p.write(muxframe.TypeResponse, old, muxframe.Response{Status: muxframe.StatusOK}, "")
	await(t, "a late answer", h.late)
	p.write(muxframe.TypeResponse, now, muxframe.Response{Status: muxframe.StatusOK}, "")
	if r := await(t, "the answer", h.ended); r.Status != scheduler.OK {
		t.Errorf("%+v", r)
	}
}

func TestAnswersThatWereNeverAskedForBreakTheLink(t *testing.T) {
	p := listen(t)
	_, h := open(t, p, nil)
	p.greet(1)
	p.write(muxframe.TypeResponse, 77, muxframe.Response{Status: muxframe.StatusOK}, "")
	if err := await(t, "the break", h.down); !errors.Is(err, muxframe.ErrMalformed) {
		t.Errorf("%v", err)
	}
}

func TestLongAnswersStreamWithinTheWindow(t *testing.T) {
	p := listen(t)
	l, h := open(t, p, nil)
	p.greet(1)
	l.Send(attempt("a"))
	n, c := p.call()
	part := strings.Repeat("x", int(c.Window)/2)
	p.write(muxframe.TypeResponse, n, muxframe.Response{Status: muxframe.StatusOK, More: true}, part)
	p.write(muxframe.TypeData, n, nil, part)
	begun := await(t, "the beginning", h.began)
	got := 0
	for range 2 {
		b, err := begun.Response.Stream.Next(context.Background(), soon)
		if err != nil {
			t.Fatal(err)
		}
		got += len(b)
	}
	for credit := 0; credit < int(c.Window); {
		f := p.next()
		var in muxframe.Credit
		if f.Type == muxframe.TypeCredit && f.Decode(&in) == nil {
			credit += int(in.Bytes)
		}
	}
	p.write(muxframe.TypeData, n, nil, "end")
	p.write(muxframe.TypeEnd, n, muxframe.End{}, "")
	if r := await(t, "the end", h.ended); r.Status != scheduler.OK {
		t.Errorf("%+v", r)
	}
	b, err := begun.Response.Stream.Next(context.Background(), soon)
	if rest, end := begun.Response.Stream.Next(context.Background(), soon); string(b) != "end" || err != nil || rest != nil || end != nil {
		t.Errorf("last part %q %v, then %q %v", b, err, rest, end)
	}
}

// TestASlowClientHoldsUpNobody: one answer that nobody reads, and the worker sends no more than it may; another
// call on the same link is answered meanwhile. A worker that sends more loses the connection.
func TestASlowClientHoldsUpNobody(t *testing.T) {
	p := listen(t)
	l, h := open(t, p, nil)
	p.greet(1)
	l.Send(attempt("slow"))
	l.Send(attempt("quick"))
	slow, c := p.call()
	quick, _ := p.call()
	p.write(muxframe.TypeResponse, slow, muxframe.Response{Status: muxframe.StatusOK, More: true},
		strings.Repeat("x", int(c.Window)))
	p.write(muxframe.TypeResponse, quick, muxframe.Response{Status: muxframe.StatusOK}, "")
	if r := await(t, "the quick answer", h.ended); r.Status != scheduler.OK {
		t.Errorf("%+v", r)
	}
	p.write(muxframe.TypeData, slow, nil, "too much")
	if r := await(t, "the break", h.ended); r.Status != scheduler.Reset || !strings.Contains(r.Reason, "allowed") {
		t.Errorf("%+v", r)
	}
	begun := await(t, "the beginning", h.began)
	if _, err := begun.Response.Stream.Next(context.Background(), soon); err != nil {
		t.Errorf("what came before the break is lost: %v", err)
	}
	if _, err := begun.Response.Stream.Next(context.Background(), soon); !errors.Is(err, workerconn.ErrIncomplete) {
		t.Errorf("the break shows as %v", err)
	}
}

func TestOrdersAndProbesAreAnswered(t *testing.T) {
	p := listen(t)
	l, h := open(t, p, nil)
	p.greet(1)
	l.Load(&workerconn.LoadOrder{Load: muxframe.LoadOrder{Replicas: 1}})
	f := p.next()
	p.write(muxframe.TypeLoadResult, f.StreamID, muxframe.LoadResult{Status: muxframe.StatusOK, Replicas: 1}, "")
	if s := await(t, "the order's end", h.orders); s != scheduler.OK {
		t.Errorf("%v", s)
	}
	l.CheckHealth()
	for p.next().Type != muxframe.TypeHealthCheck {
	}
	p.write(muxframe.TypeHealthReport, 0, muxframe.HealthReport{Status: muxframe.StatusOK}, "")
	if s := await(t, "the probe's end", h.probes); s != scheduler.OK {
		t.Errorf("%v", s)
	}
	l.CheckHealth()
	p.reset()
	if s := await(t, "the probe's end", h.probes); s != scheduler.ConnectFailed {
		t.Errorf("%v", s)
	}
}

func TestAFullQueueTurnsAway(t *testing.T) {
	p := listen(t)
	l, _ := open(t, p, func(c *Config) { c.MaxQueue = 2 })
	for i := range 2 {
		if r := l.Send(attempt(fmt.Sprint(i))); r != nil {
			t.Fatalf("%+v", r)
		}
	}
	if r := l.Send(attempt("third")); r == nil || r.Status != scheduler.ConnectFailed {
		t.Errorf("%+v", r)
	}
}

// TestAHalfOpenConnectionIsFound: the peer is gone without a word, the connection stands.
func TestAHalfOpenConnectionIsFound(t *testing.T) {
	p := listen(t)
	var clock atomic.Int64
	l, h := open(t, p, func(c *Config) { c.Now = func() time.Duration { return time.Duration(clock.Load()) } })
	p.greet(1)
	l.Send(attempt("a"))
	p.call()
	clock.Add(int64(time.Minute))
	l.Unload("f") // wakes the writer, as its timer would
	if r := await(t, "the end", h.ended); r.Status != scheduler.Reset || !strings.Contains(r.Reason, "sign of life") {
		t.Errorf("%+v", r)
	}
}
