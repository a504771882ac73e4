package worker

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"havencart/internal/native/muxframe"
	"havencart/lab/model"
)

// partBytes is the most that goes into one frame of an answer; longer answers come in parts.
const partBytes = 16 << 10

// conn is one front end's connection.
type conn struct {
	s        *Server
	raw      net.Conn
	net      net.Conn // raw, or the ways over it
	frontEnd string

	mu      sync.Mutex
	out     []byte
	kick    chan struct{}
	done    chan struct{}
	once    sync.Once
	streams map[uint32]*outgoing
	calls   map[uint32]*model.Request
}

// outgoing is an answer that is being sent in parts.
type outgoing struct{ left, credit int }

func (s *Server) serve(nc net.Conn) {
	c := &conn{
		s: s, raw: nc, net: nc, kick: make(chan struct{}, 1), done: make(chan struct{}),
		streams: map[uint32]*outgoing{}, calls: map[uint32]*model.Request{},
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		nc.Close()
		return
	}
	s.conns[c] = true
	if s.cfg.Ways != nil {
		c.net = shape(nc, s.world, &s.tasks)
	}
	s.tasks.Go(c.write)
	s.tasks.Go(func() {
		_ = c.read() // however it ends, the connection is over; the front end judges why
		c.close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	})
}

func (c *conn) close() {
	c.once.Do(func() {
		close(c.done)
		c.net.Close()
	})
}

// write writes what is queued, so that nobody within the world waits for a socket.
func (c *conn) write() {
	for {
		select {
		case <-c.kick:
		case <-c.done:
			return
		}
		c.mu.Lock()
		out := c.out
		c.out = nil
		c.mu.Unlock()
		if _, err := c.net.Write(out); err != nil {
			c.close()
			return
		}
	}
}

func (c *conn) send(kind muxframe.Type, number uint32, header any, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.append(kind, number, header, body)
}

// append queues a frame; the lock is held.
func (c *conn) append(kind muxframe.Type, number uint32, header any, body []byte) {
	out, err := muxframe.Append(c.out, kind, number, header, body)
	if err != nil {
		panic(err) // the emulator's own messages are short
	}
	c.out = out
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

func (c *conn) read() error {
	in := muxframe.NewReader(bufio.NewReader(c.net), 0)
	if err := c.greet(in); err != nil {
		return err
	}
	for {
		f, err := in.Next()
		if err != nil {
			return err
		}
		if err := c.handle(f); err != nil {
			return err
		}
	}
}

func (c *conn) greet(in *muxframe.Reader) error {
	f, err := in.Next()
	if err != nil {
		return err
	}
	var hello muxframe.Hello
	if f.Type != muxframe.TypeHello || f.Decode(&hello) != nil {
		return fmt.Errorf("%v in place of hello", f.Type)
	}
	if wait := c.s.troubles().handshake; wait != 0 {
		if wait < 0 {
			wait = time.Hour
		}
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-c.done:
			return nil
		}
	}
	c.frontEnd = hello.FrontEnd
	if ways, ok := c.net.(*shaped); ok {
		ways.take(c.s.cfg.Ways(c.frontEnd))
	}
	_, up, life := c.s.Running()
	welcome := muxframe.Welcome{
		Version: muxframe.Version, Worker: c.s.cfg.Name, Incarnation: uint64(life),
		UptimeMillis: up.Milliseconds(), LoadReportFields: []string{"queue"},
	}
	if hello.Version != muxframe.Version {
		welcome.Rejection = fmt.Sprintf("version %d is not spoken here", hello.Version)
	}
	c.send(muxframe.TypeWelcome, 0, welcome, nil)
	return nil
}

func (c *conn) handle(f muxframe.Frame) error {
	switch f.Type {
	case muxframe.TypeRequest:
		return c.call(f)
	case muxframe.TypeCancel:
		c.cancel(f.StreamID)
	case muxframe.TypeCredit:
		var in muxframe.Credit
		if err := f.Decode(&in); err != nil {
			return err
		}
		c.credit(f.StreamID, int(in.Bytes))
	case muxframe.TypeLoadOrder:
		return c.load(f)
	case muxframe.TypeUnload:
		var in muxframe.Unload
		if err := f.Decode(&in); err != nil {
			return err
		}
		c.s.Do(func(w *model.Worker) { w.Unload(in.Function) })
	case muxframe.TypeHealthCheck:
		c.s.Do(func(w *model.Worker) {
			c.send(muxframe.TypeHealthReport, 0, muxframe.HealthReport{
				Status:     muxframe.StatusOK,
				LoadReport: []float64{float64(w.QueueLength())},
			}, nil)
		})
	case muxframe.TypePing:
		c.send(muxframe.TypePong, 0, nil, nil)
	case muxframe.TypePong:
	default:
		return fmt.Errorf("%v from a front end", f.Type)
	}
	return nil
}

// Body is what the body of a call asks of an emulated worker, as text: "work 120ms reply 2000".
func Body(work time.Duration, reply int) []byte {
	return fmt.Appendf(nil, "work %v reply %d", work, reply)
}

// ParseBody reads what Body writes; what is missing or no such text leaves the worker's own.
func ParseBody(text string, work time.Duration) (time.Duration, int) {
	words, reply := strings.Fields(text), 0
	for i := 0; i+1 < len(words); i += 2 {
		switch words[i] {
		case "work":
			if d, err := time.ParseDuration(words[i+1]); err == nil {
				work = max(0, d)
			}
		case "reply":
			if n, err := strconv.Atoi(words[i+1]); err == nil {
				reply = min(max(0, n), 64<<20)
			}
		}
	}
	return work, reply
}

func (c *conn) call(f muxframe.Frame) error {
	var in muxframe.Request
	if err := f.Decode(&in); err != nil {
		return err
	}
	work, reply := ParseBody(string(f.Body), c.s.cfg.Work)
	number, window := f.StreamID, int(in.Window)
	c.s.Do(func(w *model.Worker) {
		call := &model.Request{
			ID: in.ID, Attempt: in.Attempt, FrontEnd: c.frontEnd, Class: in.Class, IdempotencyKey: in.IdempotencyKey,
			Function: in.Replica.Function, MemoryMB: in.Replica.MemoryMB, Concurrency: max(1, in.Replica.Concurrency),
			LoadTime: in.Replica.LoadTime(), Work: work,
			Deadline: c.s.world.Now() + time.Duration(in.TimeoutMillis)*time.Millisecond,
		}
		c.mu.Lock()
		c.calls[number] = call
		c.mu.Unlock()
		w.Handle(call, func(a model.Response) { c.answer(number, window, reply, a) })
	})
	return nil
}

// answer sends a worker's answer, with the troubles that the socket has. It is called within the world.
func (c *conn) answer(number uint32, window, size int, a model.Response) {
	t := c.s.troubles()
	if t.late > 0 {
		c.s.world.After(t.late, func() { c.reply(number, window, size, a, t) })
		return
	}
	c.reply(number, window, size, a, t)
}

func (c *conn) reply(number uint32, window, size int, a model.Response, t faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, number)
	if t.garbage {
		c.out = append(c.out, "\x00\x00\x00\x03garbage, no frame"...)
		c.append(muxframe.TypePong, 0, nil, nil)
		return
	}
	crowd := a.QueueDepth
	head := muxframe.Response{
		Status: muxframe.Status(a.Outcome), ColdStart: muxframe.ColdStart(a.ColdStart), QueueDepth: &crowd,
		LoadReport: []float64{float64(a.Waiting)}, ContentType: "text/plain", RunMillis: float64(a.RunTime) / float64(time.Millisecond),
	}
	if a.Outcome != model.OK {
		head.Problem, size = "emulated", 0
	}
	times := 1
	if t.twice {
		times = 2
	}
	for range times {
		if size <= partBytes {
			c.append(muxframe.TypeResponse, number, head, make([]byte, size))
			continue
		}
		head.More, head.Length = true, int64(size)
		c.append(muxframe.TypeResponse, number, head, nil)
		c.streams[number] = &outgoing{left: size, credit: window}
		c.pump(number)
	}
}

// pump sends what the credit allows; the lock is held.
func (c *conn) pump(number uint32) {
	o := c.streams[number]
	if o == nil {
		return
	}
	for o.left > 0 && o.credit > 0 {
		n := min(partBytes, o.left, o.credit)
		c.append(muxframe.TypeData, number, nil, make([]byte, n))
		o.left, o.credit = o.left-n, o.credit-n
	}
	if o.left == 0 {
		delete(c.streams, number)
		c.append(muxframe.TypeEnd, number, muxframe.End{}, nil)
	}
}

func (c *conn) credit(number uint32, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.streams[number]; o != nil {
		o.credit += n
		c.pump(number)
	}
}

func (c *conn) cancel(number uint32) {
	c.mu.Lock()
	delete(c.streams, number)
	call := c.calls[number]
	delete(c.calls, number)
	c.mu.Unlock()
	if call != nil {
		c.s.Do(func(w *model.Worker) { w.Cancel(call.ID, call.Attempt) })
	}
}

func (c *conn) load(f muxframe.Frame) error {
	var in muxframe.LoadOrder
	if err := f.Decode(&in); err != nil {
		return err
	}
	number := f.StreamID
	c.s.Do(func(w *model.Worker) {
		order := model.LoadOrder{
			FrontEnd:    c.frontEnd,
			Function:    in.Replica.Function,
			Replicas:    in.Replicas,
			MemoryMB:    in.Replica.MemoryMB,
			Concurrency: in.Replica.Concurrency,
			LoadTime:    in.Replica.LoadTime(),
		}
		w.HandleLoadOrder(order, func(o model.Outcome, replicas int) {
			c.send(muxframe.TypeLoadResult, number, muxframe.LoadResult{Status: muxframe.Status(o), Replicas: replicas}, nil)
		})
	})
	return nil
}
