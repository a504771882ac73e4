package worker

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"

	"havencart/internal/native/muxframe"
	"havencart/lab/model"
)

// maxHandshakeDelay is the delay of a handshake that never ends. It exceeds the lifetime of any connection.
const maxHandshakeDelay = time.Hour

// connection is a connection from a front end.
type connection struct {
	server   *Server
	raw      net.Conn
	stream   net.Conn // raw, or a delayedConn on top of it if there is an emulated network
	frontEnd string   // name of the front end; set by the handshake

	mu             sync.Mutex
	sendQueue      []byte
	outgoingBodies map[uint32]*responseBody  // bodies being sent, by stream identifier
	requests       map[uint32]*model.Request // requests without a response, by stream identifier
	wakeWriter     chan struct{}
	done           chan struct{}
	closeOnce      sync.Once // closes done
}

// serve starts the goroutines of a connection.
func (s *Server) serve(raw net.Conn) {
	conn := &connection{
		server:         s,
		raw:            raw,
		stream:         raw,
		outgoingBodies: map[uint32]*responseBody{},
		requests:       map[uint32]*model.Request{},
		wakeWriter:     make(chan struct{}, 1),
		done:           make(chan struct{}),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = raw.Close()
		return
	}
	s.connections[conn] = true
	if s.cfg.Paths != nil {
		conn.stream = newDelayedConn(raw, s.clock, &s.tasks)
	}
	s.tasks.Go(conn.writeLoop)
	s.tasks.Go(func() {
		_ = conn.readLoop() // the error is ignored: the front end reports why the connection ended
		conn.close()
		s.mu.Lock()
		delete(s.connections, conn)
		s.mu.Unlock()
	})
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.stream.Close()
	})
}

// writeLoop writes the queued frames to the socket, so that no callback of the clock blocks on the socket.
func (c *connection) writeLoop() {
	for {
		select {
		case <-c.wakeWriter:
		case <-c.done:
			return
		}
		c.mu.Lock()
		queued := c.sendQueue
		c.sendQueue = nil
		c.mu.Unlock()
		if _, err := c.stream.Write(queued); err != nil {
			c.close()
			return
		}
	}
}

// send appends a frame without a body to the send queue.
func (c *connection) send(kind muxframe.Type, streamID uint32, header any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appendFrame(kind, streamID, header, nil)
}

// appendFrame appends a frame to the send queue. The caller must hold c.mu.
func (c *connection) appendFrame(kind muxframe.Type, streamID uint32, header any, body []byte) {
	queue, err := muxframe.Append(c.sendQueue, kind, streamID, header, body)
	if err != nil {
		panic(err) // the frames of an emulated worker are below the size limits
	}
	c.sendQueue = queue
	select {
	case c.wakeWriter <- struct{}{}:
	default:
	}
}

// readLoop handles frames until the connection ends.
func (c *connection) readLoop() error {
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

// handshake receives the hello message and sends the welcome message.
func (c *connection) handshake(in *muxframe.Reader) error {
	f, err := in.Next()
	if err != nil {
		return err
	}
	var hello muxframe.Hello
	if f.Type != muxframe.TypeHello || f.Decode(&hello) != nil {
		return fmt.Errorf("expected hello frame, received %v", f.Type)
	}
	if !c.delayHandshake(c.server.currentFaults().handshakeDelay) {
		return nil
	}
	c.frontEnd = hello.FrontEnd
	if delayed, ok := c.stream.(*delayedConn); ok {
		delayed.setPaths(c.server.cfg.Paths(c.frontEnd))
	}
	_, uptime, incarnation := c.server.Running()
	welcome := muxframe.Welcome{
		Version:          muxframe.Version,
		Worker:           c.server.cfg.Name,
		Incarnation:      uint64(incarnation),
		UptimeMillis:     uptime.Milliseconds(),
		LoadReportFields: []string{"queue"},
	}
	if hello.Version != muxframe.Version {
		welcome.RejectionReason = fmt.Sprintf("version %d is not spoken here", hello.Version)
	}
	c.send(muxframe.TypeWelcome, 0, welcome)
	return nil
}

// delayHandshake waits for the given delay, or for maxHandshakeDelay if delay is neverHandshake. It returns false if
// the connection ended meanwhile.
func (c *connection) delayHandshake(delay time.Duration) bool {
	if delay == 0 {
		return true
	}
	if delay < 0 {
		delay = maxHandshakeDelay
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.done:
		return false
	}
}

func (c *connection) handle(frame muxframe.Frame) error {
	switch frame.Type {
	case muxframe.TypeRequest:
		return c.handleRequest(frame)
	case muxframe.TypeCancel:
		c.cancel(frame.StreamID)
	case muxframe.TypeCredit:
		return c.handleCredit(frame)
	case muxframe.TypeLoadOrder:
		return c.handleLoadOrder(frame)
	case muxframe.TypeUnload:
		return c.handleUnload(frame)
	case muxframe.TypeHealthCheck:
		c.reportHealth()
	case muxframe.TypePing:
		c.send(muxframe.TypePong, 0, nil)
	case muxframe.TypePong:
	default:
		return fmt.Errorf("unexpected %v frame from a front end", frame.Type)
	}
	return nil
}
