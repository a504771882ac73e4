package httpserver

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const soon = 20 * time.Second

// stub takes calls and answers them when a test says so.
type stub struct {
	taken chan *held
}

type held struct {
	call   *Request
	answer chan Response
	left   chan struct{}
	once   sync.Once
}

func (s *stub) Take(c *Request) (Pending, error) {
	if c.Class == "none" {
		return nil, errors.New("no class \"none\"")
	}
	h := &held{call: c, answer: make(chan Response, 1), left: make(chan struct{})}
	s.taken <- h
	return h, nil
}

func (h *held) Wait(gone <-chan struct{}) (Response, bool) {
	select {
	case a := <-h.answer:
		return a, true
	case <-gone:
		return Response{}, false
	}
}

func (h *held) Leave() { h.once.Do(func() { close(h.left) }) }

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

type rig struct {
	*testing.T
	stub   *stub
	server *Server
	addr   string
	stop   func()
}

func start(t *testing.T, change func(*Config)) *rig {
	t.Helper()
	cfg := Config{Idle: soon, Header: soon, Body: soon, Write: soon, Stall: soon, MaxHeader: 4096, MaxBody: 1000,
		Pipeline: 16, MaxConns: 100}
	if change != nil {
		change(&cfg)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{T: t, stub: &stub{make(chan *held, 1000)}, addr: l.Addr().String()}
	r.server = New(cfg, func() Handler { return r.stub }, zerolog.Nop())
	done := make(chan error, 1)
	go func() { done <- r.server.Serve(l) }()
	var once sync.Once
	r.stop = func() {
		once.Do(func() {
			l.Close()
			if err := await(t, "the end of Serve", done); err != nil {
				t.Error(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			r.server.Shutdown(ctx)
		})
	}
	t.Cleanup(r.stop)
	return r
}

// client is one raw connection.
type client struct {
	*testing.T
	net.Conn
	in *bufio.Reader
}

func (r *rig) dial() *client {
	r.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		r.Fatal(err)
	}
	r.Cleanup(func() { c.Close() })
	_ = c.SetReadDeadline(time.Now().Add(soon))
	return &client{r.T, c, bufio.NewReader(c)}
}

func (c *client) say(text string) {
	c.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.Fatal(err)
	}
}

func (c *client) read() (*http.Response, string) {
	c.Helper()
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.Fatalf("the client reads: %v", err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		c.Fatalf("the client reads a body: %v", err)
	}
	return r, string(body)
}

// closed waits for the connection's end, with nothing before it.
func (c *client) closed() {
	c.Helper()
	if n, err := io.Copy(io.Discard, c.in); n != 0 || err != nil && !strings.Contains(err.Error(), "reset") {
		c.Errorf("%d bytes and %v in place of the end", n, err)
	}
}

func post(function, headers, body string) string {
	return fmt.Sprintf("POST /call/%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n%s", function, len(body), headers, body)
}

func TestACallArrivesWithAllThatItTells(t *testing.T) {
	r := start(t, nil)
	c := r.dial()
	c.say(post("fare%20quote", "Call-Class: fare\r\nCall-Tenant: t\r\nCall-Patience: 1500\r\nCall-Cost: 20ms\r\n"+
		"Idempotency-Key: \"a \\\"b\"\r\nCall-Id: x\r\nCall-Memory: 300\r\nCall-Lanes: 2\r\nCall-Load: 1s\r\n", "hello"))
	h := await(t, "the call", r.stub.taken)
	got := *h.call
	if got.ReceivedAt.IsZero() {
		t.Error("no time of arrival")
	}
	got.ReceivedAt = time.Time{}
	want := Request{Function: "fare quote", Class: "fare", Tenant: "t", IdempotencyKey: `a "b`, ID: "x", Timeout: 1500 * time.Millisecond,
		WorkEstimate: 20 * time.Millisecond, MemoryMB: 300, Concurrency: 2, LoadTime: time.Second, Body: []byte("hello")}
	if fmt.Sprintf("%+v", got) != fmt.Sprintf("%+v", want) {
		t.Errorf("%+v", got)
	}
	h.answer <- Response{Outcome: Served, ContentType: "text/x", Body: []byte("out"), Worker: "w\r\nX: y", Attempts: 1}
	resp, body := c.read()
	if resp.StatusCode != 200 || body != "out" || resp.Header.Get("Call-Outcome") != "served" || resp.Header.Get("X") != "" {
		t.Errorf("%v %q", resp, body)
	}
}

func TestOutcomesCanBeToldApart(t *testing.T) {
	r := start(t, nil)
	for _, x := range []struct {
		answer  Response
		status  int
		seconds string
		ms      string
	}{
		{Response{Outcome: Rejected, Reason: "full", RetryAfter: 1200 * time.Millisecond, Attempts: 2}, 503, "2", "1200"},
		{Response{Outcome: Failed, Reason: "reset", Attempts: 1}, 502, "", ""},
		{Response{Outcome: Failed, TimedOut: true, Attempts: 1}, 504, "", ""},
	} {
		c := r.dial()
		c.say(post("f", "", ""))
		await(t, "the call", r.stub.taken).answer <- x.answer
		resp, body := c.read()
		var d Details
		if err := json.Unmarshal([]byte(body), &d); err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != x.status || resp.Header.Get("Call-Outcome") != string(x.answer.Outcome) ||
			d.Outcome != x.answer.Outcome || d.Status != x.status || d.Detail != x.answer.Reason ||
			resp.Header.Get("Retry-After") != x.seconds || resp.Header.Get("Retry-After-Ms") != x.ms {
			t.Errorf("%+v: %v %s", x.answer, resp, body)
		}
	}
}

func TestPipelinedCallsAreAnsweredInOrder(t *testing.T) {
	r := start(t, nil)
	c := r.dial()
	c.say(post("a", "", "1") + post("b", "", "2") + post("c", "", "3"))
	var calls []*held
	for range 3 {
		calls = append(calls, await(t, "a call", r.stub.taken))
	}
	for i := 2; i >= 0; i-- {
		calls[i].answer <- Response{Outcome: Served, Body: []byte(calls[i].call.Function)}
	}
	for _, want := range []string{"a", "b", "c"} {
		if _, body := c.read(); body != want {
			t.Errorf("answer %q, want %q", body, want)
		}
	}
}

// TestAPipelineIsBounded: what a client sends beyond it stays unread until an answer is out.
func TestAPipelineIsBounded(t *testing.T) {
	r := start(t, func(c *Config) { c.Pipeline = 2 })
	c := r.dial()
	c.say(strings.Repeat(post("f", "", ""), 5))
	hand := []*held{await(t, "a call", r.stub.taken), await(t, "a call", r.stub.taken)}
	for taken := 2; len(hand) > 0; {
		if len(r.stub.taken) > 0 {
			t.Fatal("more calls in hand than allowed")
		}
		hand[0].answer <- Response{Outcome: Served}
		hand = hand[1:]
		c.read()
		if taken < 5 {
			hand = append(hand, await(t, "a call", r.stub.taken))
			taken++
		}
	}
}

func TestAClientThatVanishesIsNoticed(t *testing.T) {
	r := start(t, nil)
	c := r.dial()
	c.say(strings.Repeat(post("f", "", ""), 10))
	var calls []*held
	for range 10 {
		calls = append(calls, await(t, "a call", r.stub.taken))
	}
	for i := range 3 {
		calls[i].answer <- Response{Outcome: Served}
		c.read()
	}
	c.Close()
	for _, h := range calls[3:] {
		await(t, "the client to be missed", h.left)
	}
	for _, h := range calls[:3] {
		select {
		case <-h.left:
			t.Error("a call that was answered was left")
		default:
		}
	}
}

func TestAHalfClosedClientLeftOrWaits(t *testing.T) {
	for _, waits := range []bool{false, true} {
		r := start(t, func(c *Config) { c.KeepHalves = waits })
		c := r.dial()
		c.say(post("f", "", ""))
		h := await(t, "the call", r.stub.taken)
		_ = c.Conn.(*net.TCPConn).CloseWrite()
		if !waits {
			await(t, "the client to be missed", h.left)
			continue
		}
		h.answer <- Response{Outcome: Served, Body: []byte("x")}
		if _, body := c.read(); body != "x" {
			t.Errorf("answer %q", body)
		}
		c.closed()
	}
}

func TestExpectIsAnsweredBehindEarlierCalls(t *testing.T) {
	r := start(t, nil)
	c := r.dial()
	c.say(post("a", "", ""))
	first := await(t, "the call", r.stub.taken)
	c.say("POST /call/b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	first.answer <- Response{Outcome: Served, Body: []byte("one")}
	if _, body := c.read(); body != "one" {
		t.Fatalf("%q", body)
	}
	if resp, err := http.ReadResponse(c.in, nil); err != nil || resp.StatusCode != 100 {
		t.Fatalf("%v %v", resp, err)
	}
	c.say("hi")
	if h := await(t, "the call", r.stub.taken); string(h.call.Body) != "hi" {
		t.Errorf("body %q", h.call.Body)
	} else {
		h.answer <- Response{Outcome: Served}
	}
}

func TestChunkedBodiesAreRead(t *testing.T) {
	r := start(t, nil)
	c := r.dial()
	c.say("POST /call/f HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	if h := await(t, "the call", r.stub.taken); string(h.call.Body) != "abcde" {
		t.Errorf("body %q", h.call.Body)
	} else {
		h.answer <- Response{Outcome: Served}
	}
	c.read()
}

// TestBadCallsGetAClearAnswer: none reaches the handler, and the connection goes on where it can.
func TestBadCallsGetAClearAnswer(t *testing.T) {
	r := start(t, nil)
	for name, x := range map[string]struct {
		request string
		status  int
		closes  bool
	}{
		"no call":            {"GET /elsewhere HTTP/1.1\r\nHost: h\r\n\r\n", 404, false},
		"method":             {"GET /call/f HTTP/1.1\r\nHost: h\r\n\r\n", 405, false},
		"no function":        {post("", "", ""), 400, false},
		"a slash":            {post("a%2Fb", "", ""), 400, false},
		"patience":           {post("f", "Call-Patience: soon\r\n", ""), 400, false},
		"a header twice":     {post("f", "Call-Class: a\r\nCall-Class: b\r\n", ""), 400, false},
		"no such class":      {post("f", "Call-Class: none\r\n", "body"), 400, false},
		"lanes":              {post("f", "Call-Lanes: 0\r\n", ""), 400, false},
		"memory":             {post("f", "Call-Memory: NaN\r\n", ""), 400, false},
		"expectation":        {post("f", "Expect: much\r\n", ""), 417, true},
		"body too long":      {post("f", "", strings.Repeat("x", 1001)), 413, true},
		"chunks too long":    {"POST /call/f HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + strings.Repeat("x", 1001) + "\r\n0\r\n\r\n", 413, true},
		"header too long":    {"POST /call/f HTTP/1.1\r\nHost: " + strings.Repeat("h", 20000), 431, true},
		"no HTTP":            {"\x16\x03\x01 hello\r\n\r\n", 400, true},
		"two lengths":        {"POST /call/f HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400, true},
		"an unread bad body": {post("a%2Fb", "", "body"), 400, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := r.dial()
			c.T = t
			c.say(x.request)
			resp, body := c.read()
			if resp.StatusCode != x.status || resp.Header.Get("Call-Outcome") != "invalid" || resp.Close != x.closes {
				t.Errorf("%v %s", resp, body)
			}
			if x.closes {
				return
			}
			c.say(post("f", "", ""))
			await(t, "the next call", r.stub.taken).answer <- Response{Outcome: Served}
			c.read()
		})
	}
	if len(r.stub.taken) != 0 {
		t.Error("a bad call was taken")
	}
}

func TestSlowClientsAreCutOffInEachPhase(t *testing.T) {
	short := 50 * time.Millisecond
	t.Run("idle", func(t *testing.T) {
		r := start(t, func(c *Config) { c.Idle = short })
		r.dial().closed()
	})
	t.Run("header", func(t *testing.T) {
		r := start(t, func(c *Config) { c.Header = short })
		c := r.dial()
		c.say("POST /call/f HTTP/1.1\r\nHos")
		if resp, _ := c.read(); resp.StatusCode != 408 {
			t.Error(resp)
		}
		c.closed()
	})
	t.Run("body", func(t *testing.T) {
		r := start(t, func(c *Config) { c.Body = short })
		c := r.dial()
		c.say("POST /call/f HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc")
		if resp, _ := c.read(); resp.StatusCode != 408 {
			t.Error(resp)
		}
		c.closed()
	})
	t.Run("an idle time does not end a call in hand", func(t *testing.T) {
		r := start(t, func(c *Config) { c.Idle = short })
		c := r.dial()
		c.say(post("f", "", ""))
		h := await(t, "the call", r.stub.taken)
		time.Sleep(3 * short) // the idle time must pass; later is as good
		h.answer <- Response{Outcome: Served, Body: []byte("x")}
		if _, body := c.read(); body != "x" {
			t.Error(body)
		}
	})
}

// parts is a stream that a test feeds.
type parts chan []byte

func (p parts) Next(ctx context.Context, stall time.Duration) ([]byte, error) {
	select {
	case b, ok := <-p:
		if !ok {
			return nil, errors.New("broke off")
		}
		return b, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func TestLongAnswersArePassedOnAsTheyCome(t *testing.T) {
	r := start(t, nil)
	c := r.dial()
	c.say(post("f", "", ""))
	p := make(parts, 10)
	await(t, "the call", r.stub.taken).answer <- Response{Outcome: Served, Stream: p, Length: -1}
	p <- []byte("first")
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil || resp.TransferEncoding[0] != "chunked" {
		t.Fatal(resp, err)
	}
	buf := make([]byte, 5)
	if _, err := io.ReadFull(resp.Body, buf); err != nil || string(buf) != "first" {
		t.Fatal(string(buf), err)
	}
	p <- []byte("second")
	p <- nil
	if rest, err := io.ReadAll(resp.Body); err != nil || string(rest) != "second" {
		t.Error(string(rest), err)
	}
}

// TestABrokenAnswerShows: a client must be able to see that an answer is incomplete.
func TestABrokenAnswerShows(t *testing.T) {
	for _, length := range []int64{-1, 100} {
		r := start(t, nil)
		c := r.dial()
		c.say(post("f", "", ""))
		h := await(t, "the call", r.stub.taken)
		p := make(parts, 10)
		h.answer <- Response{Outcome: Served, Stream: p, Length: length}
		p <- []byte("first")
		close(p)
		resp, err := http.ReadResponse(c.in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(resp.Body); err == nil {
			t.Error("the answer looks whole")
		}
		await(t, "the call to be left", h.left)
	}
}

func TestTooManyConnectionsAreTurnedAway(t *testing.T) {
	r := start(t, func(c *Config) { c.MaxConns = 1 })
	first := r.dial()
	first.say(post("f", "", ""))
	h := await(t, "the call", r.stub.taken)
	resp, _ := r.dial().read()
	if resp.StatusCode != 503 || resp.Header.Get("Call-Outcome") != "refused" {
		t.Error(resp)
	}
	h.answer <- Response{Outcome: Served}
	first.read()
}

func TestAStopLetsAnswersOut(t *testing.T) {
	r := start(t, nil)
	busy, idle := r.dial(), r.dial()
	busy.say(post("a", "", "") + post("b", "", ""))
	a, b := await(t, "a call", r.stub.taken), await(t, "a call", r.stub.taken)
	done := make(chan struct{})
	ctx, cancel := context.WithTimeout(context.Background(), soon)
	defer cancel()
	go func() { defer close(done); r.server.Shutdown(ctx) }()
	idle.closed()
	a.answer <- Response{Outcome: Served, Body: []byte("a")}
	b.answer <- Response{Outcome: Served, Body: []byte("b")}
	if resp, body := busy.read(); body != "a" || resp.Close {
		t.Error(resp, body)
	}
	if resp, body := busy.read(); body != "b" || !resp.Close {
		t.Error(resp, body)
	}
	busy.closed()
	await(t, "the stop", done)
}

// FuzzParseRequest holds that no bytes make the parser panic, and that what it accepts is within the bounds.
func FuzzParseRequest(f *testing.F) {
	f.Add([]byte(post("fare-quote", "Call-Class: fare\r\nCall-Patience: 1.5s\r\nIdempotency-Key: \"k\"\r\n", "body")))
	f.Add([]byte("POST /call/f HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c, err := ParseRequest(bytes.NewReader(raw), 4096, 100)
		if err != nil {
			return
		}
		if c.Function == "" || len(c.Body) > 100 || c.Timeout < 0 || c.Concurrency < 0 || !(c.MemoryMB >= 0) {
			t.Fatalf("accepted %+v", c)
		}
	})
}
