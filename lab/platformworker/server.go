// Package platformworker emulates a worker of the users' platform, an "executor", by a script: it speaks the frames of
// internal/platform/workerframe on loopback and handles each frame as its script says.
package platformworker

import (
	"bufio"
	"fmt"
	"net"
	"sync"

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
	tasks           sync.WaitGroup
}

// Start starts a worker on loopback.
func Start(script Script) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("executor: %w", err)
	}
	s := &Server{listener: l, script: script, connections: map[*Conn]bool{}}
	s.tasks.Go(s.accept)
	return s, nil
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
