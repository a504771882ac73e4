// Package platformworker is a scripted stand-in for an executor of the users' platform: it speaks the frames of
// internal/platform/workerframe on loopback and does with each command what its script says.
package platformworker

import (
	"bufio"
	"fmt"
	"net"
	"sync"

	"havencart/internal/platform/workerframe"
)

// Script is told each command with the connection on which it came, in the order of that connection.
type Script func(c *Conn, f workerframe.Frame)

// Conn is one front end's connection.
type Conn struct {
	net.Conn
	Number int // from 1, in the order in which they were made
}

// Answer writes an answer.
func (c *Conn) Answer(f workerframe.Frame) {
	raw, err := workerframe.Append(nil, workerframe.FromWorker, f)
	if err == nil {
		c.Raw(raw)
	}
}

// Raw writes bytes as they are. One that fails is the connection's end, which the reading side sees.
func (c *Conn) Raw(raw []byte) { _, _ = c.Write(raw) }

// Reset breaks the connection so that the other side is told of a reset.
func (c *Conn) Reset() {
	if tcp, is := c.Conn.(*net.TCPConn); is {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
	c.Close()
}

// Server is one stand-in.
type Server struct {
	listener        net.Listener
	script          Script
	mu              sync.Mutex
	connections     map[*Conn]bool
	connectionCount int
	tasks           sync.WaitGroup
}

// Start starts one on loopback.
func Start(script Script) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("executor: %w", err)
	}
	s := &Server{listener: l, script: script, connections: map[*Conn]bool{}}
	s.tasks.Go(s.accept)
	return s, nil
}

// Address is where it listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Made is how many connections were made to it.
func (s *Server) Made() int {
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
	defer c.Close()
	r := workerframe.NewReader(bufio.NewReader(c), workerframe.FromFrontEnd, workerframe.MaxBody)
	for {
		f, err := r.Next()
		if err != nil {
			return
		}
		s.script(c, f)
	}
}

// Close ends it: the process is gone, its connections are closed and new ones are refused.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	for c := range s.connections {
		c.Reset()
	}
	s.mu.Unlock()
	s.tasks.Wait()
}
