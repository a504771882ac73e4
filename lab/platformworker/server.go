// Package platformworker emulates a worker of the users' platform, which calls it an executor. The worker exchanges the
// frames of internal/platform/workerframe on loopback, and a script handles each frame.
package platformworker

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"havencart/internal/platform/workerframe"
)

// Script handles a frame from a front end. It is called for the frames of one connection in their order, and
// concurrently for those of different connections.
type Script func(c *Conn, f workerframe.Frame)

// Conn is one front end's connection.
type Conn struct {
	net.Conn
	Number int // number of the connection at its worker, from 1 in the order of acceptance
}

// Respond writes a response frame. It drops a frame that cannot be encoded.
func (c *Conn) Respond(f workerframe.Frame) {
	raw, err := workerframe.Append(nil, workerframe.MagicWorker, f)
	if err == nil {
		c.WriteRaw(raw)
	}
}

// WriteRaw writes bytes unchanged. It ignores write errors, because the goroutine that reads the connection notices its
// end.
func (c *Conn) WriteRaw(raw []byte) { _, _ = c.Write(raw) }

// Reset closes the connection with a TCP reset.
func (c *Conn) Reset() {
	if tcp, is := c.Conn.(*net.TCPConn); is {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
	_ = c.Close()
}

// Server is an emulated worker.
type Server struct {
	listener        net.Listener
	script          Script
	mu              sync.Mutex // guards connections and connectionCount
	connections     map[*Conn]bool
	connectionCount int // number of connections accepted so far
	draining        atomic.Bool
	tasks           sync.WaitGroup
}

// Start starts a worker on loopback that can drain. The worker itself responds to health checks and, while it drains,
// rejects new work. Its script handles all other frames; these include residency queries, to which a draining worker
// responds as usual.
func Start(script Script) (*Server, error) {
	return StartObserved(script, func(workerframe.Frame) {})
}

// StartObserved starts a worker as Start does and calls observe with each frame before the frame is handled.
func StartObserved(script Script, observe func(workerframe.Frame)) (*Server, error) {
	s := newServer(script)
	s.script = func(c *Conn, f workerframe.Frame) {
		observe(f)
		if response, handled := s.builtInResponse(f); handled {
			c.Respond(response)
		} else {
			script(c, f)
		}
	}
	return s, s.listen()
}

// builtInResponse returns the response to a frame that the worker handles without its script. handled is false for
// other frames.
func (s *Server) builtInResponse(f workerframe.Frame) (response workerframe.Frame, handled bool) {
	draining := s.draining.Load()
	switch {
	case IsHealthCheck(f):
		return HealthResponse(f, draining), true
	case IsNewWork(f) && draining:
		return workerframe.Frame{Code: workerframe.Overloaded, ID: f.ID}, true
	}
	return response, false
}

// IsHealthCheck reports whether a frame is a health check or asks for a load report.
func IsHealthCheck(f workerframe.Frame) bool {
	return f.Code == workerframe.HealthCheck || f.Code == workerframe.LoadReport
}

// HealthResponse returns the response to a health check. A draining worker responds that it is unhealthy.
func HealthResponse(check workerframe.Frame, draining bool) workerframe.Frame {
	code := workerframe.Healthy
	if draining {
		code = workerframe.Unhealthy
	}
	return workerframe.Frame{Code: code, ID: check.ID}
}

// IsNewWork reports whether a frame makes a worker execute a request or load replicas. A load order for no replicas is
// a residency query and not new work.
func IsNewWork(f workerframe.Frame) bool {
	if f.Code == workerframe.Load {
		replicas, _ := workerframe.Count(f.Fields, "replicas", 0)
		return replicas > 0
	}
	return f.Code == workerframe.Request
}

// SetDraining makes the worker drain or accept new work again.
func (s *Server) SetDraining(draining bool) { s.draining.Store(draining) }

// StartFullyScripted starts a worker on loopback whose script handles all frames, health checks included.
func StartFullyScripted(script Script) (*Server, error) {
	s := newServer(script)
	return s, s.listen()
}

func newServer(script Script) *Server { return &Server{script: script, connections: map[*Conn]bool{}} }

func (s *Server) listen() (err error) {
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return fmt.Errorf("platform worker: %w", err)
	}
	s.tasks.Go(s.accept)
	return nil
}

// Address returns the address at which the worker listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// ConnectionCount returns the number of connections that the worker has accepted so far.
func (s *Server) ConnectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connectionCount
}

func (s *Server) accept() {
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			return // the server is closed
		}
		s.mu.Lock()
		s.connectionCount++
		c := &Conn{nc, s.connectionCount}
		s.connections[c] = true
		s.mu.Unlock()
		s.tasks.Go(func() { s.serve(c) })
	}
}

func (s *Server) serve(c *Conn) {
	defer func() { _ = c.Close() }()
	r := workerframe.NewReader(bufio.NewReader(c), workerframe.MagicFrontEnd, workerframe.MaxBody)
	for {
		f, err := r.Next()
		if err != nil {
			return
		}
		s.script(c, f)
	}
}

// Close stops the worker. As at the end of a process, connections are reset and new ones are refused.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for c := range s.connections {
		c.Reset()
	}
	s.mu.Unlock()
	s.tasks.Wait()
}
