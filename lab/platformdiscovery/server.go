// Package platformdiscovery emulates the endpoint discovery stream of the users' platform, its "bulletin", on loopback.
package platformdiscovery

import (
	"fmt"
	"net"
	"sync"

	"havencart/internal/platform/endpointstream"
)

// Server sends its events to each front end that connects, from the event on with which it resumes.
type Server struct {
	listener    net.Listener
	mu          sync.Mutex
	events      []endpointstream.Event
	connections map[net.Conn]bool
	resumed     chan uint64
	tasks       sync.WaitGroup
}

// Start starts a server on loopback.
func Start() (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("bulletin: %w", err)
	}
	s := &Server{listener: l, connections: map[net.Conn]bool{}, resumed: make(chan uint64, 64)}
	s.tasks.Go(s.accept)
	return s, nil
}

// Address is where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Resumed delivers, for each connection, the number of the last event that the front end has. Where nobody receives them,
// the first ones are kept.
func (s *Server) Resumed() <-chan uint64 { return s.resumed }

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return // closed
		}
		s.tasks.Go(func() { s.serve(c) })
	}
}

func (s *Server) serve(c net.Conn) {
	last, err := endpointstream.ReadHello(c)
	if err != nil {
		_ = c.Close()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections[c] = true
	for _, e := range s.events {
		if e.Number > last {
			write(c, endpointstream.AppendEvent(nil, e))
		}
	}
	select {
	case s.resumed <- last:
	default: // nobody receives them
	}
}

// write writes; a connection that broke is noticed by its other side.
func write(c net.Conn, raw []byte) { _, _ = c.Write(raw) }

// Publish adds an event and sends it to all that are connected.
func (s *Server) Publish(e endpointstream.Event) {
	s.mu.Lock()
	s.events = append(s.events, e)
	s.mu.Unlock()
	s.WriteRaw(endpointstream.AppendEvent(nil, e))
}

// WriteRaw writes bytes as they are to all that are connected.
func (s *Server) WriteRaw(raw []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		write(c, raw)
	}
}

// CloseConnections closes all connections.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		_ = c.Close()
		delete(s.connections, c)
	}
}

// Close ends the server and its connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.CloseConnections()
	s.tasks.Wait()
}
