// Package platformworker emulates a worker of the users' platform, an "executor", by a script: it speaks the frames of
// internal/platform/workerframe on loopback and handles each frame as its script says.
package platformworker

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"havencart/internal/platform/workerframe"
)

// Script handles a frame from a front end. It is called with the frames of one connection in their order.
type Script func(c *Conn, f workerframe.Frame)

// Conn is one front end's connection.
type Conn struct {
	net.Conn
	Number int // from 1, in the order in which they were made
}

// Respond writes a response.
func (c *Conn) Respond(f workerframe.Frame) {
	raw, err := workerframe.Append(nil, workerframe.FromWorker, f)
	if err == nil {
		c.WriteRaw(raw)
	}
}

// WriteRaw writes bytes as they are. A write that fails is the end of the connection, which the reading side notices.
func (c *Conn) WriteRaw(raw []byte) { _, _ = c.Write(raw) }

// Reset closes the connection with a TCP reset.
func (c *Conn) Reset() {
	if tcp, is := c.Conn.(*net.TCPConn); is {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
	_ = c.Close()
}

// Server is one emulated worker.
type Server struct {
	listener        net.Listener
	script          Script
	mu              sync.Mutex
	connections     map[*Conn]bool
	connectionCount int
	draining        atomic.Bool
	tasks           sync.WaitGroup
}

// Start starts a worker on loopback that drains when it is told to: it then says so to health checks and rejects new work,
// and its script gets neither. Residency queries go to the script, as a draining worker answers them like any other.
func Start(script Script) (*Server, error) {
	return StartObserved(script, func(workerframe.Frame) {})
}

// StartObserved is Start with an observer that is called with each frame before it is handled.
func StartObserved(script Script, observe func(workerframe.Frame)) (*Server, error) {
	s := newServer(script)
	s.script = func(c *Conn, f workerframe.Frame) {
		observe(f)
		if response, isGiven := s.ownResponse(f); isGiven {
			c.Respond(response)
		} else {
			script(c, f)
		}
	}
	return s, s.listen()
}

// ownResponse returns the response that the worker gives without its script.
func (s *Server) ownResponse(f workerframe.Frame) (response workerframe.Frame, isGiven bool) {
	draining := s.draining.Load()
	switch {
	case IsHealthCheck(f):
		return Health(f, draining), true
	case IsNewWork(f) && draining:
		return workerframe.Frame{Code: workerframe.Overloaded, ID: f.ID}, true
	}
	return response, false
}

// IsHealthCheck reports whether a frame asks a worker for its health.
func IsHealthCheck(f workerframe.Frame) bool {
	return f.Code == workerframe.HealthCheck || f.Code == workerframe.LoadReport
}

// Health is the response to a health check: a worker that drains is not healthy.
func Health(check workerframe.Frame, draining bool) workerframe.Frame {
	code := workerframe.Healthy
	if draining {
		code = workerframe.Unhealthy
	}
	return workerframe.Frame{Code: code, ID: check.ID}
}

// IsNewWork reports whether a frame makes a worker execute or load something.
func IsNewWork(f workerframe.Frame) bool {
	if f.Code == workerframe.Load {
		replicas, _ := workerframe.Count(f.Fields, "replicas", 0)
		return replicas > 0
	}
	return f.Code == workerframe.Request
}

// SetDraining has the worker drain, or accept new work again.
func (s *Server) SetDraining(draining bool) { s.draining.Store(draining) }

// StartScripted starts a worker on loopback whose script handles each frame.
func StartScripted(script Script) (*Server, error) {
	s := newServer(script)
	return s, s.listen()
}

func newServer(script Script) *Server { return &Server{script: script, connections: map[*Conn]bool{}} }

func (s *Server) listen() (err error) {
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return fmt.Errorf("executor: %w", err)
	}
	s.tasks.Go(s.accept)
	return nil
}

// Address is where the worker listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// ConnectionCount is the number of connections that were made to the worker.
func (s *Server) ConnectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connectionCount
}

func (s *Server) accept() {
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			return // closed
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
	r := workerframe.NewReader(bufio.NewReader(c), workerframe.FromFrontEnd, workerframe.MaxBody)
	for {
		f, err := r.Next()
		if err != nil {
			return
		}
		s.script(c, f)
	}
}

// Close ends the worker as the end of its process does: connections are reset and new ones refused.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for c := range s.connections {
		c.Reset()
	}
	s.mu.Unlock()
	s.tasks.Wait()
}
