// Package platformdiscovery emulates the endpoint discovery stream of the users' platform, which calls it the bulletin,
// on loopback.
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

// heartbeatInterval is the interval between heartbeats, which are events without changes.
const heartbeatInterval = time.Second

// Reachability says how the server treats the connections of front ends.
type Reachability int

// The kinds of reachability.
const (
	Reachable   Reachability = iota
	Silent                   // connections are accepted and stay open, but nothing is sent
	Unreachable              // open connections are closed, and new ones once the front end has sent its hello
)

// Server sends its events to every connected front end, beginning after the last event that the front end names when it
// connects, and a heartbeat each second.
type Server struct {
	listener     net.Listener
	mu           sync.Mutex
	reachability Reachability
	events       []endpointstream.Event
	connections  map[net.Conn]uint64 // number of the last event sent on each connection
	resumed      chan uint64         // channel that Resumed returns
	tasks        sync.WaitGroup
	stop         context.CancelFunc // stops the heartbeats
}

// Start starts a server on loopback.
func Start() (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("platform discovery: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: l, connections: map[net.Conn]uint64{}, resumed: make(chan uint64, 64), stop: cancel}
	s.tasks.Go(s.accept)
	s.tasks.Go(func() { periodic.Run(ctx, heartbeatInterval, s.sendHeartbeats) })
	return s, nil
}

// Address returns the address at which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Resumed returns a channel that receives, for each connection, the number of the last event that the front end names
// when it connects. Numbers are dropped while the channel's buffer is full.
func (s *Server) Resumed() <-chan uint64 { return s.resumed }

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return // the server is closed
		}
		s.tasks.Go(func() { s.serve(c) })
	}
}

// serve reads the hello of a connection and sends it the events that the front end does not have.
func (s *Server) serve(c net.Conn) {
	last, err := endpointstream.ReadHello(c)
	if err != nil {
		_ = c.Close()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reachability == Unreachable {
		_ = c.Close()
		return
	}
	s.connections[c] = last
	s.sendEvents()
	select {
	case s.resumed <- last:
	default: // the buffer is full
	}
}

// write writes to a connection. It ignores errors, because the front end notices a broken connection itself.
func write(c net.Conn, raw []byte) { _, _ = c.Write(raw) }

// sendEvents sends every connected front end the events that it does not have. The caller holds the lock.
func (s *Server) sendEvents() {
	if s.reachability != Reachable {
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

// sendHeartbeats sends an event without changes to every connected front end.
func (s *Server) sendHeartbeats() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reachability != Reachable {
		return
	}
	for c, last := range s.connections {
		write(c, endpointstream.AppendEvent(nil, endpointstream.Event{Number: last, Kind: endpointstream.NoChange}))
	}
}

// Publish adds an event and sends it to every connected front end, or does so once the server is reachable again.
func (s *Server) Publish(e endpointstream.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, e)
	s.sendEvents()
}

// SetReachability begins or ends an outage.
func (s *Server) SetReachability(reachability Reachability) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reachability = reachability
	if reachability == Unreachable {
		s.closeConnections()
	}
	s.sendEvents()
}

// WriteRaw writes bytes unchanged to every connected front end.
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

// closeConnections closes all connections. The caller holds the lock.
func (s *Server) closeConnections() {
	for c := range s.connections {
		_ = c.Close()
		delete(s.connections, c)
	}
}

// Close stops the server, closes its connections and waits for its goroutines.
func (s *Server) Close() {
	s.stop()
	_ = s.listener.Close()
	s.CloseConnections()
	s.tasks.Wait()
}
