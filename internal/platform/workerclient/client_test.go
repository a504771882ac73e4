package workerclient

import (
	"fmt"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"havencart/internal/native/muxframe"
	"havencart/internal/platform/workerframe"
	"havencart/internal/workerconn"
	"havencart/lab/platformworker"
	"havencart/scheduler"
)

// heard gathers what a link tells.
type heard struct {
	ends   chan workerconn.Result
	orders chan string
	late   chan bool
	probes chan scheduler.Status
}

func (h heard) ResponseStarted(*workerconn.Attempt, workerconn.Result)  {}
func (h heard) AttemptEnded(_ *workerconn.Attempt, r workerconn.Result) { h.ends <- r }
func (h heard) HealthChecked(s scheduler.Status, _ []float64)           { h.probes <- s }
func (h heard) Connected(muxframe.Welcome)                              {}
func (h heard) Disconnected(error)                                      {}
func (h heard) LateResponse(uint32)                                     { h.late <- true }
func (h heard) LoadEnded(_ *workerconn.LoadOrder, s scheduler.Status, n int) {
	h.orders <- fmt.Sprint(s, " ", n)
}

// open starts an executor that does as script says, and a link to it.
func open(t *testing.T, script platformworker.Script) (*Client, heard, *platformworker.Server) {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	s, err := platformworker.Start(script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	l, h := link(t, s.Address(), 8)
	return l, h, s
}

func link(t *testing.T, address string, connections int) (*Client, heard) {
	t.Helper()
	h := heard{make(chan workerconn.Result, 16), make(chan string, 16), make(chan bool, 16), make(chan scheduler.Status, 16)}
	began := time.Now()
	l := New(Config{Worker: "s-00000001", Address: address, ConnectTimeout: 5 * time.Second, StreamsPerConnection: 32, IdleTimeout: time.Minute,
		MaxQueue: 64, MaxResponse: 1 << 16, LoadReportFields: []string{"queue"}, Budget: NewConnectionBudget(connections),
		Now: func() time.Duration { return time.Since(began) }}, h)
	t.Cleanup(func() { l.Stop(); <-l.Done() })
	return l, h
}

func attempt(n int) *workerconn.Attempt {
	return &workerconn.Attempt{Body: []byte("body"), Deadline: time.Hour, Request: muxframe.Request{ID: fmt.Sprintf("%016x", n),
		Class: "fare-quote", IdempotencyKey: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", Replica: muxframe.ReplicaSpec{Function: "7f3a9c21e0b4d655"}}}
}

func send(t *testing.T, l *Client, a *workerconn.Attempt) {
	t.Helper()
	if r := l.Send(a); r != nil {
		t.Fatalf("not taken on: %+v", r)
	}
}

func TestCallAndItsAnswer(t *testing.T) {
	got := make(chan workerframe.Frame, 1)
	l, h, _ := open(t, func(c *platformworker.Conn, f workerframe.Frame) {
		got <- f
		c.Answer(workerframe.Frame{Code: workerframe.OK, ID: f.ID, Fields: "peers_in=3,rep=queue:2", Body: []byte("answer")})
	})
	send(t, l, attempt(5))
	f, r := <-got, <-h.ends
	lane, _ := workerframe.Field(f.Fields, "lane")
	name, _ := workerframe.Field(f.Fields, "name")
	once, _ := workerframe.Field(f.Fields, "dedupe")
	if f.Code != workerframe.Request || f.ID != 5 || lane != "fare-quote" || name != "7f3a9c21e0b4d655" ||
		once != "5c0f6e1a2b3d4c59a8b7c6d5e4f30211" || string(f.Body) != "body" {
		t.Errorf("the executor got %+v", f)
	}
	if r.Status != scheduler.OK || string(r.Response.Body) != "answer" || r.QueueDepth != 3 || r.LoadReport[0] != 2 {
		t.Errorf("ended as %+v", r)
	}
}

// TestEndsSayWhatMayHaveRun goes through the ends of an attempt that was written whole.
func TestEndsSayWhatMayHaveRun(t *testing.T) {
	answer := func(code workerframe.Code) platformworker.Script {
		return func(c *platformworker.Conn, f workerframe.Frame) { c.Answer(workerframe.Frame{Code: code, ID: f.ID}) }
	}
	spoilt := func(change func(raw []byte) []byte) platformworker.Script {
		return func(c *platformworker.Conn, f workerframe.Frame) {
			raw, _ := workerframe.Append(nil, workerframe.FromWorker, workerframe.Frame{Code: workerframe.OK, ID: f.ID, Body: []byte("x")})
			c.Raw(change(raw))
		}
	}
	for name, test := range map[string]struct {
		script platformworker.Script
		want   scheduler.Status
	}{
		"miss":       {answer(workerframe.NotLoaded), scheduler.NotLoaded},
		"full":       {answer(workerframe.Overloaded), scheduler.Overloaded},
		"error":      {answer(workerframe.Error), scheduler.Error},
		"over":       {answer(workerframe.AlreadyEnded), scheduler.NotSent},
		"bad check":  {spoilt(func(raw []byte) []byte { raw[len(raw)-1] ^= 1; return raw }), scheduler.Error},
		"noise":      {spoilt(func([]byte) []byte { return []byte("this is no frame at all") }), scheduler.Error},
		"3 GB":       {spoilt(func(raw []byte) []byte { raw[4] = 0xb0; return raw }), scheduler.Error},
		"reset":      {func(c *platformworker.Conn, _ workerframe.Frame) { c.Reset() }, scheduler.Error},
		"closed":     {func(c *platformworker.Conn, _ workerframe.Frame) { c.Close() }, scheduler.Error},
		"broken off": {func(c *platformworker.Conn, _ workerframe.Frame) { c.Raw([]byte{90, 64, 0}); c.Close() }, scheduler.Error},
	} {
		t.Run(name, func(t *testing.T) {
			l, h, _ := open(t, test.script)
			send(t, l, attempt(5))
			if r := <-h.ends; r.Status != test.want {
				t.Errorf("ended as %+v", r)
			}
		})
	}
}

func TestDeadWorkerIsToldFromABrokenConnection(t *testing.T) {
	var s *platformworker.Server
	came := make(chan bool, 1)
	l, h, s := open(t, func(*platformworker.Conn, workerframe.Frame) { came <- true })
	send(t, l, attempt(5))
	<-came
	s.Close()
	if r := <-h.ends; r.Status != scheduler.Reset {
		t.Errorf("a call at a process that died ended as %+v", r)
	}
	send(t, l, attempt(6))
	if r := <-h.ends; r.Status != scheduler.ConnectFailed {
		t.Errorf("a call to a process that is gone ended as %+v", r)
	}
}

// TestOneSpoiltAnswerTakesNoOtherCallWithIt holds that calls have connections of their own while there are enough.
func TestOneSpoiltAnswerTakesNoOtherCallWithIt(t *testing.T) {
	others := make(chan func(), 8)
	l, h, s := open(t, func(c *platformworker.Conn, f workerframe.Frame) {
		if f.ID == 5 {
			c.Raw([]byte("noise that is no frame"))
			return
		}
		others <- func() { c.Answer(workerframe.Frame{Code: workerframe.OK, ID: f.ID}) }
	})
	for n := range 3 {
		send(t, l, attempt(10+n))
	}
	answers := []func(){<-others, <-others, <-others}
	send(t, l, attempt(5))
	if r := <-h.ends; r.Status != scheduler.Error {
		t.Errorf("the spoilt one ended as %+v", r)
	}
	for _, answer := range answers {
		answer()
		if r := <-h.ends; r.Status != scheduler.OK {
			t.Errorf("another one ended as %+v", r)
		}
	}
	if s.Made() < 4 {
		t.Errorf("%d connections for 4 calls", s.Made())
	}
}

func TestCallsShareConnectionsWhereTheBudgetIsUsedUp(t *testing.T) {
	came := make(chan func(), 16)
	t.Cleanup(func() { goleak.VerifyNone(t) })
	s, err := platformworker.Start(func(c *platformworker.Conn, f workerframe.Frame) {
		came <- func() { c.Answer(workerframe.Frame{Code: workerframe.OK, ID: f.ID}) }
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	l, h := link(t, s.Address(), 2)
	for n := range 6 {
		send(t, l, attempt(10+n))
	}
	for range 6 {
		(<-came)()
	}
	for range 6 {
		if r := <-h.ends; r.Status != scheduler.OK {
			t.Errorf("ended as %+v", r)
		}
	}
	if s.Made() > 2 {
		t.Errorf("%d connections with a budget of 2", s.Made())
	}
}

// TestMoreThanBelongsToACallIsDropped holds that a second copy and an answer ahead under another id harm nobody.
func TestMoreThanBelongsToACallIsDropped(t *testing.T) {
	l, h, s := open(t, func(c *platformworker.Conn, f workerframe.Frame) {
		c.Answer(workerframe.Frame{Code: workerframe.OK, ID: 999, Body: []byte("ahead")})
		c.Answer(workerframe.Frame{Code: workerframe.OK, ID: f.ID, Body: []byte("right")})
		c.Answer(workerframe.Frame{Code: workerframe.OK, ID: f.ID, Body: []byte("again")})
	})
	for n := range 3 {
		send(t, l, attempt(5+n))
		if r := <-h.ends; r.Status != scheduler.OK || string(r.Response.Body) != "right" {
			t.Errorf("ended as %+v", r)
		}
		<-h.late
		<-h.late
	}
	if s.Made() != 1 {
		t.Errorf("%d connections", s.Made())
	}
}

func TestAbandonedCallIsGivenUpAndItsConnectionLeft(t *testing.T) {
	got := make(chan workerframe.Frame, 4)
	l, h, s := open(t, func(c *platformworker.Conn, f workerframe.Frame) {
		got <- f
		if f.ID == 6 {
			c.Answer(workerframe.Frame{Code: workerframe.OK, ID: f.ID})
		}
	})
	a := attempt(5)
	send(t, l, a)
	<-got
	if !l.Abandon(a) {
		t.Error("an attempt that was written whole may have run")
	}
	if f := <-got; f.Code != workerframe.Cancel || f.ID != 5 {
		t.Errorf("the executor got %+v", f)
	}
	send(t, l, attempt(6))
	if r := <-h.ends; r.Status != scheduler.OK {
		t.Errorf("the next ended as %+v", r)
	}
	if s.Made() != 2 {
		t.Errorf("%d connections: what is given up leaves its connection unsure", s.Made())
	}
	if l.Busy() {
		t.Error("something is said to be under way")
	}
}

func TestWhatHasNotLeftIsTakenBackFromAWorkerThatDrains(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	silent, err := net.Listen("tcp", "127.0.0.1:0") // nobody reads
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	l, _ := link(t, silent.Addr().String(), 8)
	l.mu.Lock() // nothing leaves meanwhile
	s := newConnection(l)
	l.connections = append(l.connections, s)
	a := attempt(5)
	l.attempts[a] = s
	s.queue.PushAttempt(5, a)
	l.mu.Unlock()
	attempts, _ := l.Drain(time.Second)
	if len(attempts) != 1 || attempts[0] != a || l.Abandon(a) {
		t.Errorf("%d attempts taken back, it may have left: %v", len(attempts), l.Abandon(a))
	}
	if r := l.Send(attempt(6)); r == nil || r.Status != scheduler.NotSent {
		t.Errorf("a call to a worker that drains: %+v", r)
	}
	if s := l.Load(&workerconn.LoadOrder{Load: muxframe.LoadOrder{Replicas: 1}}); s != scheduler.Overloaded {
		t.Errorf("an order to a worker that drains: %v", s)
	}
}

func TestOrdersAndProbes(t *testing.T) {
	got := make(chan workerframe.Frame, 4)
	l, h, _ := open(t, func(c *platformworker.Conn, f workerframe.Frame) {
		got <- f
		switch f.Code {
		case workerframe.Load:
			c.Answer(workerframe.Frame{Code: workerframe.OK, ID: f.ID, Fields: "replicas=2"})
		case workerframe.LoadReport:
			c.Answer(workerframe.Frame{Code: workerframe.Healthy, ID: f.ID, Fields: "rep=queue:1"})
		}
	})
	o := &workerconn.LoadOrder{Load: muxframe.LoadOrder{Replicas: 2, Replica: muxframe.ReplicaSpec{Function: "7f3a9c21e0b4d655"}}}
	if s := l.Load(o); s != 0 {
		t.Fatal(s)
	}
	if f := <-got; f.Code != workerframe.Load || f.Fields != "name=7f3a9c21e0b4d655,replicas=2" {
		t.Errorf("the executor got %+v", f)
	}
	if end := <-h.orders; end != fmt.Sprint(scheduler.OK, " ", 2) {
		t.Errorf("the order ended as %s", end)
	}
	l.CheckHealth()
	if f, s := <-got, <-h.probes; f.Code != workerframe.LoadReport || s != scheduler.OK {
		t.Errorf("the probe %+v ended as %v", f, s)
	}
	l.Unload("7f3a9c21e0b4d655")
	if f := <-got; f.Code != workerframe.Unload || f.ID != 0x7f3a9c21e0b4d655 {
		t.Errorf("the executor got %+v", f)
	}
}
