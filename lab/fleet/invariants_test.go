package fleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"havencart/internal/native/muxframe"
	"havencart/lab/client"
	"havencart/lab/invariant"
	"havencart/lab/loadgen"
	"havencart/lab/model"
	"havencart/lab/worker"
	"havencart/scheduler"
)

// misbehavingFrontEnd is a front end that violates invariants: a test decides what it sends to clients and workers. The
// event history records what passes through its sockets, as for any front end.
type misbehavingFrontEnd struct {
	*testing.T
	fleet   *Fleet
	respond func(request *http.Request, out io.Writer)
	pool    *client.Pool
}

func startMisbehavingFrontEnd(t *testing.T, change func(*Config)) *misbehavingFrontEnd {
	t.Helper()
	cfg := smallConfig(4, 0)
	cfg.Tolerance = 100 * time.Millisecond
	if change != nil {
		change(&cfg)
	}
	r := &misbehavingFrontEnd{T: t, fleet: start(t, cfg), respond: func(*http.Request, io.Writer) {}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(conn)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					break
				}
				_, _ = io.Copy(io.Discard, request.Body)
				r.respond(request, conn)
			}
			_ = conn.Close()
		}
	}()
	r.pool = &client.Pool{Name: "rogue", Address: listener.Addr().String(), History: r.fleet.History, Grace: cfg.Tolerance}
	t.Cleanup(func() { r.pool.Close(); _ = listener.Close(); <-done })
	return r
}

func writeResponse(out io.Writer, outcome string) {
	status := map[string]int{"served": 200, "refused": 503, "failed": 502}[outcome]
	_, _ = fmt.Fprintf(out, "HTTP/1.1 %d X\r\nCall-Outcome: %s\r\nContent-Length: 0\r\n\r\n", status, outcome)
}

// workerConnection is the misbehaving front end's connection to one worker.
type workerConnection struct {
	*misbehavingFrontEnd
	conn         net.Conn
	reader       *muxframe.Reader
	lastStreamID uint32
}

func (r *misbehavingFrontEnd) connect(w *worker.Server) *workerConnection {
	r.Helper()
	c, err := net.Dial("tcp", w.Address())
	if err != nil {
		r.Fatal(err)
	}
	r.Cleanup(func() { _ = c.Close() })
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	conn := &workerConnection{misbehavingFrontEnd: r, conn: c, reader: muxframe.NewReader(bufio.NewReader(c), 0)}
	conn.writeFrame(muxframe.TypeHello, 0, muxframe.Hello{Version: muxframe.Version, FrontEnd: "rogue"}, nil)
	conn.expectFrame(muxframe.TypeWelcome)
	return conn
}

func (c *workerConnection) writeFrame(frameType muxframe.Type, streamID uint32, header any, body []byte) {
	c.Helper()
	raw, err := muxframe.Append(nil, frameType, streamID, header, body)
	if err != nil {
		c.Fatal(err)
	}
	if _, err := c.conn.Write(raw); err != nil {
		c.Fatal(err)
	}
}

func (c *workerConnection) expectFrame(frameType muxframe.Type) {
	c.Helper()
	f, err := c.reader.Next()
	if err != nil || f.Type != frameType {
		c.Fatalf("received frame %v, error %v; want frame %v", f.Type, err, frameType)
	}
}

// requestID identifies the request whose attempts executeAttempt sends.
const requestID = "a"

// executeAttempt sends a short attempt and waits for the worker's response.
func (c *workerConnection) executeAttempt(class string, attempt int) {
	c.Helper()
	c.sendAttempt(requestID, class, attempt, time.Millisecond)
	c.expectFrame(muxframe.TypeResponse)
}

func (c *workerConnection) sendAttempt(id, class string, attempt int, work time.Duration) {
	c.Helper()
	c.lastStreamID++
	c.writeFrame(muxframe.TypeRequest, c.lastStreamID, muxframe.Request{
		Replica: muxframe.ReplicaSpec{Function: "f", MemoryMB: 10, Concurrency: 9},
		ID:      id, Class: class, Attempt: attempt, TimeoutMillis: 5000, IdempotencyKey: map[string]string{"log": "key-" + id}[class],
	},
		worker.Body(work, 0))
}

func (c *workerConnection) sendLoadOrder(replicas int) {
	c.Helper()
	c.lastStreamID++
	c.writeFrame(muxframe.TypeLoadOrder, c.lastStreamID, muxframe.LoadOrder{
		Replica:  muxframe.ReplicaSpec{Function: "f", MemoryMB: 10, Concurrency: 1},
		Replicas: replicas,
	}, nil)
	c.expectFrame(muxframe.TypeLoadResult)
}

func (r *misbehavingFrontEnd) request(id, class string) {
	r.Helper()
	if _, err := r.pool.Do(loadgen.Request{ID: id, Function: "f", Class: class, Timeout: 300 * time.Millisecond}); err != nil {
		r.Fatal(err)
	}
}

// expectViolation fails the test unless the checker finds a violation of the rule whose detail contains word, and none
// of another rule.
func (r *misbehavingFrontEnd) expectViolation(rule, word string) {
	r.Helper()
	violations, _ := r.fleet.Check()
	found := false
	for _, violation := range violations {
		if violation.Rule != rule {
			r.Errorf("violation of another rule: %+v", violation)
		}
		found = found || strings.Contains(violation.Detail, word)
	}
	if !found {
		r.Errorf("no violation of %q with %q in %+v", rule, word, violations)
	}
}

func (r *misbehavingFrontEnd) expectNoViolation() {
	r.Helper()
	if violations, tally := r.fleet.Check(); len(violations) > 0 || !tally.Balanced() {
		r.Errorf("violations or unbalanced tally for a correct front end: %+v, %v", violations, tally)
	}
}

func TestCheck_MissingLateOrDuplicateResponse_IsFound(t *testing.T) {
	t.Run("no response", func(t *testing.T) {
		r := startMisbehavingFrontEnd(t, nil)
		r.request("a", "quote")
		r.expectViolation("lost", "no answer")
	})
	t.Run("late", func(t *testing.T) {
		r := startMisbehavingFrontEnd(t, func(c *Config) { c.Tolerance = 0 })
		r.pool.Grace = 5 * time.Second
		r.respond = func(_ *http.Request, out io.Writer) { time.Sleep(400 * time.Millisecond); writeResponse(out, "served") }
		r.request("a", "quote")
		r.expectViolation("lost", "the client waits")
	})
	t.Run("twice", func(t *testing.T) {
		r := startMisbehavingFrontEnd(t, nil)
		r.respond = func(_ *http.Request, out io.Writer) {
			_, _ = fmt.Fprint(out, strings.Repeat("HTTP/1.1 200 OK\r\nCall-Outcome: served\r\nContent-Length: 0\r\n\r\n", 2))
		}
		r.request("a", "quote")
		r.expectViolation("lost", "2 final answers")
	})
	t.Run("connection closed", func(t *testing.T) {
		r := startMisbehavingFrontEnd(t, nil)
		r.respond = func(_ *http.Request, out io.Writer) { _ = out.(net.Conn).Close() }
		r.request("a", "quote")
		r.expectViolation("lost", "connection lost true")
	})
	t.Run("rejected in time", func(t *testing.T) {
		r := startMisbehavingFrontEnd(t, nil)
		r.respond = func(_ *http.Request, out io.Writer) { writeResponse(out, "refused") }
		r.request("a", "unlock")
		r.expectNoViolation()
	})
}

func TestCheck_SecondExecution_IsFound(t *testing.T) {
	t.Run("unsafe", func(t *testing.T) {
		r := startMisbehavingFrontEnd(t, nil)
		r.connect(r.fleet.Workers[0]).executeAttempt("unlock", 0)
		r.connect(r.fleet.Workers[1]).executeAttempt("unlock", 1)
		r.expectViolation("twice", "2 effects")
	})
	t.Run("unsafe, sent again during the first attempt", func(t *testing.T) {
		r := startMisbehavingFrontEnd(t, nil)
		if err := r.fleet.Workers[0].Command("hang on"); err != nil {
			t.Fatal(err)
		}
		r.connect(r.fleet.Workers[0]).sendAttempt("a", "unlock", 0, time.Millisecond)
		for received := 0; received == 0; {
			r.fleet.Workers[0].Do(func(m *model.Worker) { received = m.QueueLength() })
		}
		r.connect(r.fleet.Workers[1]).executeAttempt("unlock", 1)
		r.expectViolation("twice", "may have run it")
	})
	t.Run("keyed, outside its cell", func(t *testing.T) {
		r := startMisbehavingFrontEnd(t, nil)
		r.connect(r.fleet.Workers[0]).executeAttempt("log", 0)
		r.connect(r.fleet.Workers[1]).executeAttempt("log", 1)
		r.expectViolation("twice", "cell-2")
	})
	t.Run("keyed, within its cell", func(t *testing.T) {
		r := startMisbehavingFrontEnd(t, nil)
		r.connect(r.fleet.Workers[0]).executeAttempt("log", 0)
		r.connect(r.fleet.Workers[2]).executeAttempt("log", 1)
		r.expectNoViolation()
	})
	t.Run("rejected after an execution", func(t *testing.T) {
		r := startMisbehavingFrontEnd(t, nil)
		conn := r.connect(r.fleet.Workers[0])
		r.respond = func(_ *http.Request, out io.Writer) {
			conn.executeAttempt("unlock", 0)
			writeResponse(out, "refused")
		}
		r.request("a", "unlock")
		r.expectViolation("twice", "refused")
	})
	t.Run("unsafe, first attempt rejected by its worker", func(t *testing.T) {
		r := startMisbehavingFrontEnd(t, nil)
		if err := r.fleet.Workers[0].Command("drain on"); err != nil {
			t.Fatal(err)
		}
		r.connect(r.fleet.Workers[0]).executeAttempt("unlock", 0)
		r.connect(r.fleet.Workers[1]).executeAttempt("unlock", 1)
		r.expectNoViolation()
	})
}

func TestCheck_WorkAfterDrain_IsFound(t *testing.T) {
	announce := func(r *misbehavingFrontEnd, state scheduler.WorkerState, ago time.Duration) {
		r.fleet.History.EndpointsUpdated(invariant.EndpointUpdate{
			At: r.fleet.History.Now() - ago, FrontEnd: "rogue",
			States: map[string]scheduler.WorkerState{"worker-1": state},
		})
	}
	t.Run("request", func(t *testing.T) {
		r := startMisbehavingFrontEnd(t, nil)
		announce(r, scheduler.Draining, time.Minute)
		r.connect(r.fleet.Workers[0]).executeAttempt("quote", 0)
		r.expectViolation("drains", "call a")
	})
	t.Run("load order to a worker that is no longer listed", func(t *testing.T) {
		r := startMisbehavingFrontEnd(t, nil)
		r.fleet.History.EndpointsUpdated(invariant.EndpointUpdate{At: 0, FrontEnd: "rogue"})
		conn := r.connect(r.fleet.Workers[0])
		r.fleet.Settings.DrainGrace, r.fleet.cfg.Tolerance = 0, 0
		conn.sendLoadOrder(1)
		r.expectViolation("drains", "order")
	})
	t.Run("residency query, and request within the grace", func(t *testing.T) {
		r := startMisbehavingFrontEnd(t, nil)
		r.fleet.Settings.DrainGrace = time.Hour
		announce(r, scheduler.Draining, time.Minute)
		conn := r.connect(r.fleet.Workers[0])
		conn.sendLoadOrder(0)
		conn.executeAttempt("quote", 0)
		r.expectNoViolation()
	})
	t.Run("request after the worker is ready again", func(t *testing.T) {
		r := startMisbehavingFrontEnd(t, nil)
		announce(r, scheduler.Removed, time.Hour)
		announce(r, scheduler.Ready, time.Minute)
		r.connect(r.fleet.Workers[0]).executeAttempt("quote", 0)
		r.expectNoViolation()
	})
}

func TestCheck_OverloadedColdWorker_IsFound(t *testing.T) {
	r := startMisbehavingFrontEnd(t, func(c *Config) { c.Worker.SlowStart, c.Worker.OverloadWindow = time.Hour, time.Hour })
	if err := r.fleet.Workers[0].Command("start"); err != nil {
		t.Fatal(err)
	}
	conn := r.connect(r.fleet.Workers[0])
	conn.executeAttempt("quote", 0)
	conn.sendAttempt("b", "quote", 0, 24*time.Hour)
	for up := true; up; {
		up, _, _ = r.fleet.Workers[0].Running()
	}
	r.expectViolation("cold", "fell over")
	r.expectViolation("cold", "would push it over")
}

func TestCheck_LoadOrdersBeyondRateLimit_AreFound(t *testing.T) {
	r := startMisbehavingFrontEnd(t, func(c *Config) { c.Settings += "load-window 1h\nload-free 1\nload-share 0.5\n" })
	r.respond = func(_ *http.Request, out io.Writer) { writeResponse(out, "refused") }
	r.request("a", "quote")
	r.request("b", "quote")
	conn := r.connect(r.fleet.Workers[0])
	conn.sendLoadOrder(1)
	conn.sendLoadOrder(1)
	conn.sendLoadOrder(0)
	r.expectNoViolation()
	conn.sendLoadOrder(1)
	r.expectViolation("loads", "3 orders for 2 calls")
}
