package httpserver

import (
	"context"
	"net"
	"sync"

	"github.com/rs/zerolog"

	"havencart/internal/clientconn"
)

// Server serves clients' connections.
type Server struct {
	cfg  Config
	pick func() Handler // for each connection
	log  zerolog.Logger

	conns *clientconn.Table[*conn]

	mu      sync.Mutex
	closing bool
	tasks   sync.WaitGroup
}

// New returns a Server that hands each connection's calls to the Handler that pick gives for it.
func New(cfg Config, pick func() Handler, log zerolog.Logger) *Server {
	return &Server{cfg: cfg, pick: pick, log: log, conns: clientconn.NewTable[*conn](cfg.MaxConns)}
}

// Serve takes connections until l is closed; Shutdown closes what it took.
func (s *Server) Serve(l net.Listener) error {
	return clientconn.AcceptLoop(l, s.take, clientconn.IsTimeout)
}

func (s *Server) take(nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := newConn(s, nc)
	if s.closing || !s.conns.Add(c) {
		s.tasks.Go(c.turnAway)
		return
	}
	c.handler = s.pick()
	s.tasks.Go(c.read)
}

// Conns is the number of connections.
func (s *Server) Conns() int { return s.conns.Len() }

// Shutdown lets the answers under way go out, each connection closing behind its last one, and closes all that
// still stand when ctx ends. The listener is to be closed before.
func (s *Server) Shutdown(ctx context.Context) {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	for _, c := range s.conns.All() {
		c.finish()
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.tasks.Wait()
	}()
	select {
	case <-done:
		return
	case <-ctx.Done():
	}
	for _, c := range s.conns.All() {
		c.abort()
	}
	<-done
}

// Kill breaks all connections at once.
func (s *Server) Kill() {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	for _, c := range s.conns.All() {
		c.abort()
	}
}
