package rpcserver

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/goleak"

	"havencart/internal/platform/rpcframe"
)

// taker is a Handler that hands calls to the test.
type taker struct {
	calls chan *taken
	left  chan string
}

type taken struct {
	*Request
	answer func(Response)
}

func (h taker) Handle(c *Request, answer func(Response)) (func(), error) {
	if c.ID == refused {
		return nil, ErrProtocol
	}
	h.calls <- &taken{c, answer}
	return func() { h.left <- c.ID }, nil
}

// refused is an id that the Handler would not have.
const refused = "00000000000000ff"

func (h taker) Ready() bool { return true }

var rules = Rules{Classes: []Class{{Name: "quote", MaxTimeout: time.Second}, {Name: "log", MaxTimeout: time.Second, RequiresKey: true}},
	Tenants: []string{"acme", "other"}, MemoryMB: 1000}

func serve(t *testing.T, maxConns int) (taker, string) {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := taker{make(chan *taken, 64), make(chan string, 64)}
	s := New(Config{Rules: rules, MaxConns: maxConns, MaxOpen: 4, MaxOut: 1 << 20, Write: time.Minute}, h, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, l) }()
	t.Cleanup(func() {
		l.Close()
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
		s.Shutdown()
	})
	return h, l.Addr().String()
}

func connect(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func good(id int) map[string]string {
	return map[string]string{"id": fmt.Sprintf("%016x", id), "wait": "900", "tenant": "other", "key": "7f3a9c21e0b4d655",
		"attrs": "memory_mb:512;lanes:2;load_ms:300"}
}

func message(t *testing.T, v ...any) []byte {
	t.Helper()
	raw, err := msgpack.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func ask(t *testing.T, number int, method string, fields map[string]string) []byte {
	t.Helper()
	return message(t, 0, number, method, []any{fields, []byte("body")})
}

func write(t *testing.T, c net.Conn, raw []byte) {
	t.Helper()
	if _, err := c.Write(raw); err != nil {
		t.Fatal(err)
	}
}

func expect(t *testing.T, c net.Conn, want []byte) {
	t.Helper()
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, want) {
		t.Errorf("read %q, %v; wanted %q", got, err, want)
	}
}

func TestCallsAreAnsweredInAnyOrder(t *testing.T) {
	h, address := serve(t, 4)
	c := connect(t, address)
	write(t, c, append(ask(t, 1, "quote", good(1)), ask(t, 2, "quote", good(2))...))
	first, second := <-h.calls, <-h.calls
	if first.Class != 0 || first.Tenant != 1 || first.Timeout != 900*time.Millisecond || first.MemoryMB != 512 ||
		first.Concurrency != 2 || first.LoadTime != 300*time.Millisecond || string(first.Body) != "body" {
		t.Errorf("took %+v", first.Request)
	}
	second.answer(Response{Kind: Served, Body: []byte("two")})
	expect(t, c, rpcframe.AppendServed(nil, 2, []byte("two")))
	first.answer(Response{Kind: Rejected, RetryAfter: 250 * time.Millisecond})
	expect(t, c, rpcframe.AppendError(nil, 1, "Backoff", "after", "250"))
	first.answer(Response{Kind: Served}) // one answer is all
	write(t, c, message(t, 0, 3, "heartbeat", []any{map[string]string{}}))
	expect(t, c, rpcframe.AppendTrue(nil, 3, true))
}

func TestRevokedCallIsLeftAndOwedNothing(t *testing.T) {
	h, address := serve(t, 4)
	c := connect(t, address)
	write(t, c, append(ask(t, 1, "quote", good(1)), message(t, 2, "revoke", []int{1, 9})...))
	call := <-h.calls
	if id := <-h.left; id != call.ID {
		t.Errorf("left %s", id)
	}
	call.answer(Response{Kind: Served})
	write(t, c, message(t, 0, 2, "heartbeat", []any{map[string]string{}}))
	expect(t, c, rpcframe.AppendTrue(nil, 2, true))
}

func TestClientThatLeavesLeavesItsCalls(t *testing.T) {
	h, address := serve(t, 4)
	c := connect(t, address)
	write(t, c, ask(t, 1, "quote", good(1)))
	call := <-h.calls
	c.Close()
	if id := <-h.left; id != call.ID {
		t.Errorf("left %s", id)
	}
}

// TestWhatBreaksTheProtocolIsAnsweredWithAnErrorAndClosed goes through requests that no usual client makes.
func TestWhatBreaksTheProtocolIsAnsweredWithAnErrorAndClosed(t *testing.T) {
	with := func(name, value string) map[string]string {
		f := good(1)
		if f[name] = value; value == "" {
			delete(f, name)
		}
		return f
	}
	for name, test := range map[string]struct {
		method string
		fields map[string]string
	}{
		"class":          {"none", good(1)},
		"no id":          {"quote", with("id", "")},
		"id":             {"quote", with("id", "9B1F03AA5C7E2D41")},
		"key":            {"quote", with("key", "7f3a9c21e0b4d65,")},
		"tenant":         {"quote", with("tenant", "nobody")},
		"no wait":        {"quote", with("wait", "")},
		"negative wait":  {"quote", with("wait", "-1")},
		"huge wait":      {"quote", with("wait", "999999999")},
		"retry":          {"quote", with("retry", "yes")},
		"no once":        {"log", good(1)},
		"once":           {"log", with("once", "name=x")},
		"memory":         {"quote", with("attrs", "memory_mb:1e9")},
		"no number":      {"quote", with("attrs", "lanes:NaN")},
		"negative lanes": {"quote", with("attrs", "lanes:-2")},
		"endless lanes":  {"quote", with("attrs", "lanes:Inf")},
	} {
		t.Run(name, func(t *testing.T) {
			h, address := serve(t, 4)
			c := connect(t, address)
			write(t, c, ask(t, 1, test.method, test.fields))
			expect(t, c, rpcframe.AppendError(nil, 1, "Malformed", "", ""))
			if rest, err := io.ReadAll(c); len(rest) > 0 || err != nil {
				t.Errorf("then %q, %v", rest, err)
			}
			if len(h.calls) > 0 {
				t.Error("the call was taken")
			}
		})
	}
}

func TestNumbersAndFloodsEndTheConnectionWithAllThatIsOpenOnIt(t *testing.T) {
	for name, second := range map[string][]byte{
		"the number again": ask(t, 5, "quote", good(2)),
		"a lower number":   ask(t, 4, "quote", good(2)),
		"one too many": bytes.Join([][]byte{ask(t, 6, "quote", good(2)), ask(t, 7, "quote", good(3)), ask(t, 8, "quote", good(4)),
			ask(t, 9, "quote", good(5))}, nil),
		"noise": []byte("GET / HTTP/1.1\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			h, address := serve(t, 4)
			c := connect(t, address)
			write(t, c, ask(t, 5, "quote", good(1)))
			first := <-h.calls
			write(t, c, second)
			for id := ""; id != first.ID; id = <-h.left {
			}
			if _, err := io.Copy(io.Discard, c); err != nil && !strings.Contains(err.Error(), "reset") {
				t.Error(err)
			}
		})
	}
}

// TestSilentConnectionMakesRoom holds that connections that ask nothing take no place from one that does.
func TestSilentConnectionMakesRoom(t *testing.T) {
	h, address := serve(t, 2)
	silent, asks := connect(t, address), connect(t, address)
	write(t, asks, ask(t, 1, "quote", good(1)))
	call := <-h.calls
	third := connect(t, address)
	write(t, third, ask(t, 1, "quote", good(2)))
	(<-h.calls).answer(Response{Kind: Failed})
	expect(t, third, rpcframe.AppendError(nil, 1, "Lost", "", ""))
	if _, err := io.ReadAll(silent); err != nil && !strings.Contains(err.Error(), "reset") {
		t.Error(err)
	}
	call.answer(Response{Kind: Served})
	expect(t, asks, rpcframe.AppendServed(nil, 1, nil))
}

// TestTurnedDownRequestLosesNoOtherOnItsConnection holds that a client whose id another used before keeps its other
// requests, and that one which goes on with such ids is closed.
func TestTurnedDownRequestLosesNoOtherOnItsConnection(t *testing.T) {
	h, address := serve(t, 4)
	c := connect(t, address)
	write(t, c, append(ask(t, 1, "quote", good(1)), ask(t, 2, "quote", good(255))...))
	call := <-h.calls
	expect(t, c, rpcframe.AppendError(nil, 2, "Malformed", "", ""))
	call.answer(Response{Kind: Served})
	expect(t, c, rpcframe.AppendServed(nil, 1, nil))
	for n := range mostFaults - 1 {
		write(t, c, ask(t, 3+n, "quote", good(255)))
		expect(t, c, rpcframe.AppendError(nil, uint32(3+n), "Malformed", "", ""))
	}
	if rest, err := io.ReadAll(c); len(rest) > 0 || err != nil {
		t.Errorf("then %q, %v", rest, err)
	}
}
