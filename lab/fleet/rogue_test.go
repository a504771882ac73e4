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

// rogue is a front end that breaks rules: it says to clients what a test wants and sends to workers what it
// wants. The auditor sees it on the sockets as it would see any front end.
type rogue struct {
	*testing.T
	f      *Fleet
	answer func(call *http.Request, out io.Writer)
	pool   *client.Pool
}

func startRogue(t *testing.T, change func(*Config)) *rogue {
	t.Helper()
	cfg := small(4, 0)
	cfg.Slack = 100 * time.Millisecond
	if change != nil {
		change(&cfg)
	}
	r := &rogue{T: t, f: start(t, cfg), answer: func(*http.Request, io.Writer) {}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			in := bufio.NewReader(c)
			for {
				call, err := http.ReadRequest(in)
				if err != nil {
					break
				}
				_, _ = io.Copy(io.Discard, call.Body)
				r.answer(call, c)
			}
			c.Close()
		}
	}()
	r.pool = &client.Pool{Name: "rogue", Address: l.Addr().String(), Book: r.f.Book, Grace: cfg.Slack}
	t.Cleanup(func() { r.pool.Close(); l.Close(); <-done })
	return r
}

func say(out io.Writer, outcome string) {
	status := map[string]int{"served": 200, "refused": 503, "failed": 502}[outcome]
	fmt.Fprintf(out, "HTTP/1.1 %d X\r\nCall-Outcome: %s\r\nContent-Length: 0\r\n\r\n", status, outcome)
}

// link is the rogue's connection to one worker.
type link struct {
	*rogue
	conn net.Conn
	in   *muxframe.Reader
	last uint32
}

func (r *rogue) link(w *worker.Server) *link {
	r.Helper()
	c, err := net.Dial("tcp", w.Address())
	if err != nil {
		r.Fatal(err)
	}
	r.Cleanup(func() { c.Close() })
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	l := &link{rogue: r, conn: c, in: muxframe.NewReader(bufio.NewReader(c), 0)}
	l.write(muxframe.TypeHello, 0, muxframe.Hello{Version: muxframe.Version, FrontEnd: "rogue"}, nil)
	l.next(muxframe.TypeWelcome)
	return l
}

func (l *link) write(kind muxframe.Type, number uint32, header any, body []byte) {
	l.Helper()
	raw, err := muxframe.Append(nil, kind, number, header, body)
	if err != nil {
		l.Fatal(err)
	}
	if _, err := l.conn.Write(raw); err != nil {
		l.Fatal(err)
	}
}

func (l *link) next(kind muxframe.Type) muxframe.Frame {
	l.Helper()
	f, err := l.in.Next()
	if err != nil || f.Type != kind {
		l.Fatalf("%v %v in place of %v", f.Type, err, kind)
	}
	return f
}

// run sends an attempt and waits for the worker's answer.
func (l *link) run(id, class string, attempt int, work time.Duration) {
	l.Helper()
	l.send(id, class, attempt, work)
	l.next(muxframe.TypeResponse)
}

func (l *link) send(id, class string, attempt int, work time.Duration) {
	l.Helper()
	l.last++
	l.write(muxframe.TypeRequest, l.last, muxframe.Request{
		Replica: muxframe.ReplicaSpec{Function: "f", MemoryMB: 10, Concurrency: 9},
		ID:      id, Class: class, Attempt: attempt, TimeoutMillis: 5000, IdempotencyKey: map[string]string{"log": "key-" + id}[class],
	},
		worker.Body(work, 0))
}

func (l *link) order(copies int) {
	l.Helper()
	l.last++
	l.write(muxframe.TypeLoadOrder, l.last, muxframe.LoadOrder{
		Replica:  muxframe.ReplicaSpec{Function: "f", MemoryMB: 10, Concurrency: 1},
		Replicas: copies,
	}, nil)
	l.next(muxframe.TypeLoadResult)
}

func (r *rogue) ask(id, class string) {
	r.Helper()
	if _, err := r.pool.Do(loadgen.Call{ID: id, Function: "f", Class: class, Timeout: 300 * time.Millisecond}); err != nil {
		r.Fatal(err)
	}
}

// caught fails the test unless the auditor found that rule broken, and no other.
func (r *rogue) caught(rule, word string) {
	r.Helper()
	breaks, _ := r.f.Judge()
	found := false
	for _, b := range breaks {
		if b.Rule != rule {
			r.Errorf("found broken too: %+v", b)
		}
		found = found || strings.Contains(b.What, word)
	}
	if !found {
		r.Errorf("no break of %q with %q in %+v", rule, word, breaks)
	}
}

func (r *rogue) innocent() {
	r.Helper()
	if breaks, tally := r.f.Judge(); len(breaks) > 0 || !tally.Balanced() {
		r.Errorf("an innocent front end: %+v, %v", breaks, tally)
	}
}

func TestTheAuditorFindsLostCalls(t *testing.T) {
	t.Run("no answer", func(t *testing.T) {
		r := startRogue(t, nil)
		r.ask("a", "quote")
		r.caught("lost", "no answer")
	})
	t.Run("late", func(t *testing.T) {
		r := startRogue(t, func(c *Config) { c.Slack = 0 })
		r.pool.Grace = 5 * time.Second
		r.answer = func(_ *http.Request, out io.Writer) { time.Sleep(400 * time.Millisecond); say(out, "served") }
		r.ask("a", "quote")
		r.caught("lost", "the client waits")
	})
	t.Run("twice", func(t *testing.T) {
		r := startRogue(t, nil)
		r.answer = func(_ *http.Request, out io.Writer) {
			fmt.Fprint(out, strings.Repeat("HTTP/1.1 200 OK\r\nCall-Outcome: served\r\nContent-Length: 0\r\n\r\n", 2))
		}
		r.ask("a", "quote")
		r.caught("lost", "2 final answers")
	})
	t.Run("the connection breaks", func(t *testing.T) {
		r := startRogue(t, nil)
		r.answer = func(_ *http.Request, out io.Writer) { out.(net.Conn).Close() }
		r.ask("a", "quote")
		r.caught("lost", "connection lost true")
	})
	t.Run("none", func(t *testing.T) {
		r := startRogue(t, nil)
		r.answer = func(_ *http.Request, out io.Writer) { say(out, "refused") }
		r.ask("a", "unlock")
		r.innocent()
	})
}

func TestTheAuditorFindsDoubleEffects(t *testing.T) {
	t.Run("unsafe", func(t *testing.T) {
		r := startRogue(t, nil)
		r.link(r.f.Workers[0]).run("a", "unlock", 0, time.Millisecond)
		r.link(r.f.Workers[1]).run("a", "unlock", 1, time.Millisecond)
		r.caught("twice", "2 effects")
	})
	t.Run("unsafe, sent again while the first is out", func(t *testing.T) {
		r := startRogue(t, nil)
		if err := r.f.Workers[0].Command("hang on"); err != nil {
			t.Fatal(err)
		}
		r.link(r.f.Workers[0]).send("a", "unlock", 0, time.Millisecond)
		for received := 0; received == 0; {
			r.f.Workers[0].Do(func(m *model.Worker) { received = m.QueueLength() })
		}
		r.link(r.f.Workers[1]).run("a", "unlock", 1, time.Millisecond)
		r.caught("twice", "may have run it")
	})
	t.Run("keyed, outside its cell", func(t *testing.T) {
		r := startRogue(t, nil)
		r.link(r.f.Workers[0]).run("a", "log", 0, time.Millisecond)
		r.link(r.f.Workers[1]).run("a", "log", 1, time.Millisecond)
		r.caught("twice", "cell-2")
	})
	t.Run("keyed, within its cell", func(t *testing.T) {
		r := startRogue(t, nil)
		r.link(r.f.Workers[0]).run("a", "log", 0, time.Millisecond)
		r.link(r.f.Workers[2]).run("a", "log", 1, time.Millisecond)
		r.innocent()
	})
	t.Run("refused after a run", func(t *testing.T) {
		r := startRogue(t, nil)
		l := r.link(r.f.Workers[0])
		r.answer = func(_ *http.Request, out io.Writer) {
			l.run("a", "unlock", 0, time.Millisecond)
			say(out, "refused")
		}
		r.ask("a", "unlock")
		r.caught("twice", "refused")
	})
	t.Run("unsafe, turned away first", func(t *testing.T) {
		r := startRogue(t, nil)
		if err := r.f.Workers[0].Command("drain on"); err != nil {
			t.Fatal(err)
		}
		r.link(r.f.Workers[0]).run("a", "unlock", 0, time.Millisecond)
		r.link(r.f.Workers[1]).run("a", "unlock", 1, time.Millisecond)
		r.innocent()
	})
}

func TestTheAuditorFindsWorkAfterADrain(t *testing.T) {
	told := func(r *rogue, state scheduler.WorkerState, ago time.Duration) {
		r.f.Book.EndpointsUpdated(invariant.EndpointUpdate{
			At: r.f.Book.Now() - ago, FrontEnd: "rogue",
			States: map[string]scheduler.WorkerState{"worker-1": state},
		})
	}
	t.Run("call", func(t *testing.T) {
		r := startRogue(t, nil)
		told(r, scheduler.Draining, time.Minute)
		r.link(r.f.Workers[0]).run("a", "quote", 0, time.Millisecond)
		r.caught("drains", "call a")
	})
	t.Run("order to a worker that is listed no longer", func(t *testing.T) {
		r := startRogue(t, nil)
		r.f.Book.EndpointsUpdated(invariant.EndpointUpdate{At: 0, FrontEnd: "rogue"})
		l := r.link(r.f.Workers[0])
		r.f.Settings.DrainGrace, r.f.cfg.Slack = 0, 0
		l.order(1)
		r.caught("drains", "order")
	})
	t.Run("a question, and a call within the grace", func(t *testing.T) {
		r := startRogue(t, nil)
		r.f.Settings.DrainGrace = time.Hour
		told(r, scheduler.Draining, time.Minute)
		l := r.link(r.f.Workers[0])
		l.order(0)
		l.run("a", "quote", 0, time.Millisecond)
		r.innocent()
	})
	t.Run("a call once it is ready again", func(t *testing.T) {
		r := startRogue(t, nil)
		told(r, scheduler.Removed, time.Hour)
		told(r, scheduler.Ready, time.Minute)
		r.link(r.f.Workers[0]).run("a", "quote", 0, time.Millisecond)
		r.innocent()
	})
}

func TestTheAuditorFindsAColdWorkerPushedOver(t *testing.T) {
	r := startRogue(t, func(c *Config) { c.Worker.SlowStart, c.Worker.OverloadWindow = time.Hour, time.Hour })
	if err := r.f.Workers[0].Command("start"); err != nil {
		t.Fatal(err)
	}
	l := r.link(r.f.Workers[0])
	l.run("a", "quote", 0, time.Millisecond)
	l.send("b", "quote", 0, 24*time.Hour)
	for up := true; up; {
		up, _, _ = r.f.Workers[0].Running()
	}
	r.caught("cold", "fell over")
	r.caught("cold", "would push it over")
}

func TestTheAuditorFindsOrdersBeyondTheRation(t *testing.T) {
	r := startRogue(t, func(c *Config) { c.Settings += "load-window 1h\nload-free 1\nload-share 0.5\n" })
	r.answer = func(_ *http.Request, out io.Writer) { say(out, "refused") }
	r.ask("a", "quote")
	r.ask("b", "quote")
	l := r.link(r.f.Workers[0])
	l.order(1)
	l.order(1)
	l.order(0)
	r.innocent()
	l.order(1)
	r.caught("loads", "3 orders for 2 calls")
}
