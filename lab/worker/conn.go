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
const maxDataBytes = 16 << 10

// conn is one front end's connection.
type connection struct {
	server        *Server
	raw      net.Conn
	stream      net.Conn // raw, or the ways over it
	frontEnd string

	mu      sync.Mutex
	sendQueue     []byte
	wakeWriter    chan struct{}
	done    chan struct{}
	once    sync.Once
	outgoing map[uint32]*responseBody
	requests   map[uint32]*model.Request
}

// outgoing is an answer that is being sent in parts.
type responseBody struct{ remaining, credit int }

func (s *Server) serve(nc net.Conn) {
	c := &connection{
		server: s, raw: nc, stream: nc, wakeWriter: make(chan struct{}, 1), done: make(chan struct{}),
		outgoing: map[uint32]*responseBody{}, requests: map[uint32]*model.Request{},
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		nc.Close()
		return
	}
	s.connections[c] = true
	if s.cfg.Paths != nil {
		c.stream = newDelayedConn(nc, s.clock, &s.tasks)
	}
	s.tasks.Go(c.write)
	s.tasks.Go(func() {
		_ = c.read() // however it ends, the connection is over; the front end judges why
		c.close()
		s.mu.Lock()
		delete(s.connections, c)
		s.mu.Unlock()
	})
}

func (c *connection) close() {
	c.once.Do(func() {
		close(c.done)
		c.stream.Close()
	})
}

// write writes what is queued, so that nobody within the world waits for a socket.
func (c *connection) write() {
	for {
		select {
		case <-c.wakeWriter:
		case <-c.done:
			return
		}
		c.mu.Lock()
		out := c.sendQueue
		c.sendQueue = nil
		c.mu.Unlock()
		if _, err := c.stream.Write(out); err != nil {
			c.close()
			return
		}
	}
}

func (c *connection) send(kind muxframe.Type, number uint32, header any, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appendFrame(kind, number, header, body)
}

// append queues a frame; the lock is held.
func (c *connection) appendFrame(kind muxframe.Type, number uint32, header any, body []byte) {
	out, err := muxframe.Append(c.sendQueue, kind, number, header, body)
	if err != nil {
		panic(err) // the emulator's own messages are short
	}
	c.sendQueue = out
	select {
	case c.wakeWriter <- struct{}{}:
	default:
	}
}

func (c *connection) read() error {
	in := muxframe.NewReader(bufio.NewReader(c.stream), 0)
	if err := c.handshake(in); err != nil {
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

func (c *connection) handshake(in *muxframe.Reader) error {
	f, err := in.Next()
	if err != nil {
		return err
	}
	var hello muxframe.Hello
	if f.Type != muxframe.TypeHello || f.Decode(&hello) != nil {
		return fmt.Errorf("%v in place of hello", f.Type)
	}
	if wait := c.server.currentFaults().handshake; wait != 0 {
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
	if ways, ok := c.stream.(*delayedConn); ok {
		ways.setPaths(c.server.cfg.Paths(c.frontEnd))
	}
	_, up, life := c.server.Running()
	welcome := muxframe.Welcome{
		Version: muxframe.Version, Worker: c.server.cfg.Name, Incarnation: uint64(life),
		UptimeMillis: up.Milliseconds(), LoadReportFields: []string{"queue"},
	}
	if hello.Version != muxframe.Version {
		welcome.Rejection = fmt.Sprintf("version %d is not spoken here", hello.Version)
	}
	c.send(muxframe.TypeWelcome, 0, welcome, nil)
	return nil
}

func (c *connection) handle(f muxframe.Frame) error {
	switch f.Type {
	case muxframe.TypeRequest:
		return c.handleRequest(f)
	case muxframe.TypeCancel:
		c.cancel(f.StreamID)
	case muxframe.TypeCredit:
		var in muxframe.Credit
		if err := f.Decode(&in); err != nil {
			return err
		}
		c.addCredit(f.StreamID, int(in.Bytes))
	case muxframe.TypeLoadOrder:
		return c.handleLoadOrder(f)
	case muxframe.TypeUnload:
		var in muxframe.Unload
		if err := f.Decode(&in); err != nil {
			return err
		}
		c.server.Do(func(w *model.Worker) { w.Unload(in.Function) })
	case muxframe.TypeHealthCheck:
		c.server.Do(func(w *model.Worker) {
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

func (c *connection) handleRequest(f muxframe.Frame) error {
	var in muxframe.Request
	if err := f.Decode(&in); err != nil {
		return err
	}
	work, reply := ParseBody(string(f.Body), c.server.cfg.Work)
	number, window := f.StreamID, int(in.Window)
	c.server.Do(func(w *model.Worker) {
		call := &model.Request{
			ID: in.ID, Attempt: in.Attempt, FrontEnd: c.frontEnd, Class: in.Class, IdempotencyKey: in.IdempotencyKey,
			Function: in.Replica.Function, MemoryMB: in.Replica.MemoryMB, Concurrency: max(1, in.Replica.Concurrency),
			LoadTime: in.Replica.LoadTime(), Work: work,
			Deadline: c.server.clock.Now() + time.Duration(in.TimeoutMillis)*time.Millisecond,
		}
		c.mu.Lock()
		c.requests[number] = call
		c.mu.Unlock()
		w.Handle(call, func(a model.Response) { c.respond(number, window, reply, a) })
	})
	return nil
}

// answer sends a worker's answer, with the troubles that the socket has. It is called within the world.
func (c *connection) respond(number uint32, window, size int, a model.Response) {
	t := c.server.currentFaults()
	if t.responseDelay > 0 {
		c.server.clock.After(t.responseDelay, func() { c.sendResponse(number, window, size, a, t) })
		return
	}
	c.sendResponse(number, window, size, a, t)
}

func (c *connection) sendResponse(number uint32, window, size int, a model.Response, t socketFaults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.requests, number)
	if t.garbageBeforeResponses {
		c.sendQueue = append(c.sendQueue, "\x00\x00\x00\x03garbage, no frame"...)
		c.appendFrame(muxframe.TypePong, 0, nil, nil)
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
	if t.duplicateResponses {
		times = 2
	}
	for range times {
		if size <= maxDataBytes {
			c.appendFrame(muxframe.TypeResponse, number, head, make([]byte, size))
			continue
		}
		head.More, head.Length = true, int64(size)
		c.appendFrame(muxframe.TypeResponse, number, head, nil)
		c.outgoing[number] = &responseBody{remaining: size, credit: window}
		c.sendBody(number)
	}
}

// pump sends what the credit allows; the lock is held.
func (c *connection) sendBody(number uint32) {
	o := c.outgoing[number]
	if o == nil {
		return
	}
	for o.remaining > 0 && o.credit > 0 {
		n := min(maxDataBytes, o.remaining, o.credit)
		c.appendFrame(muxframe.TypeData, number, nil, make([]byte, n))
		o.remaining, o.credit = o.remaining-n, o.credit-n
	}
	if o.remaining == 0 {
		delete(c.outgoing, number)
		c.appendFrame(muxframe.TypeEnd, number, muxframe.End{}, nil)
	}
}

func (c *connection) addCredit(number uint32, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.outgoing[number]; o != nil {
		o.credit += n
		c.sendBody(number)
	}
}

func (c *connection) cancel(number uint32) {
	c.mu.Lock()
	delete(c.outgoing, number)
	call := c.requests[number]
	delete(c.requests, number)
	c.mu.Unlock()
	if call != nil {
		c.server.Do(func(w *model.Worker) { w.Cancel(call.ID, call.Attempt) })
	}
}

func (c *connection) handleLoadOrder(f muxframe.Frame) error {
	var in muxframe.LoadOrder
	if err := f.Decode(&in); err != nil {
		return err
	}
	number := f.StreamID
	c.server.Do(func(w *model.Worker) {
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
