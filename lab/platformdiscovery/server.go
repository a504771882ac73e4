// Package platformdiscovery emulates the endpoint discovery stream of the users' platform, its "bulletin", on loopback.
package platformdiscovery

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"havencart/internal/periodic"
	"havencart/internal/platform/endpointstream"
)

// heartbeatInterval is the time between two events without changes.
const heartbeatInterval = time.Second

// Reachability is what becomes of front ends' connections.
type Reachability int

// The kinds of reachability.
const (
	Reachable   Reachability = iota
	Silent                   // connections are accepted and stay open, and nothing is sent
	Unreachable              // connections are closed
)

// Server sends its events to each front end that connects, from the event on with which it resumes, and an event without
// changes each second.
type Server struct {
	listener    net.Listener
	mu          sync.Mutex
	reach       Reachability
	events      []endpointstream.Event
	connections map[net.Conn]uint64 // by number of the last event sent
	resumed     chan uint64
	tasks       sync.WaitGroup
	stop        context.CancelFunc // ends the heartbeats
}

// Start starts a server on loopback.
func Start() (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("bulletin: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: l, connections: map[net.Conn]uint64{}, resumed: make(chan uint64, 64), stop: cancel}
	s.tasks.Go(s.accept)
	s.tasks.Go(func() { periodic.Run(ctx, heartbeatInterval, s.sendHeartbeats) })
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
	if s.reach == Unreachable {
		_ = c.Close()
		return
	}
	s.connections[c] = last
	s.sendEvents()
	select {
	case s.resumed <- last:
	default: // nobody receives them
	}
}

// write writes; a connection that broke is noticed by its other side.
func write(c net.Conn, raw []byte) { _, _ = c.Write(raw) }

// sendEvents sends what is new to all that are connected. The lock is held.
func (s *Server) sendEvents() {
	if s.reach != Reachable {
		return
	}
	for c, last := range s.connections {
		for _, e := range s.events {
			if e.Number > last {
				write(c, endpointstream.AppendEvent(nil, e))
				s.connections[c] = e.Number
			}
		}
	}
}

// sendHeartbeats sends an event without changes to all that are connected.
func (s *Server) sendHeartbeats() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reach != Reachable {
		return
	}
	for c, last := range s.connections {
		write(c, endpointstream.AppendEvent(nil, endpointstream.Event{Number: last, Kind: endpointstream.NoChange}))
	}
}

// Publish adds an event. It is sent to all that are connected, at once or when the server is reachable again.
func (s *Server) Publish(e endpointstream.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, e)
	s.sendEvents()
}

// SetReachability begins or ends an outage.
func (s *Server) SetReachability(reach Reachability) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reach = reach
	if reach == Unreachable {
		s.closeConnections()
	}
	s.sendEvents()
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
	s.closeConnections()
}

// closeConnections is CloseConnections for a caller that holds the lock.
func (s *Server) closeConnections() {
	for c := range s.connections {
		_ = c.Close()
		delete(s.connections, c)
	}
}

// Close ends the server and its connections.
func (s *Server) Close() {
	s.stop()
	_ = s.listener.Close()
	s.CloseConnections()
	s.tasks.Wait()
}
