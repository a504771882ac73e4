package httpserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Server serves clients' connections.
type Server struct {
	cfg  Config
	pick func() Handler // for each connection
	log  zerolog.Logger

	mu      sync.Mutex
	conns   map[*conn]bool
	closing bool
	tasks   sync.WaitGroup
}

// New returns a Server that hands each connection's calls to the Handler that pick gives for it.
func New(cfg Config, pick func() Handler, log zerolog.Logger) *Server {
	return &Server{cfg: cfg, pick: pick, log: log, conns: map[*conn]bool{}}
}

// Serve takes connections until l is closed; Shutdown closes what it took.
func (s *Server) Serve(l net.Listener) error {
	for {
		nc, err := l.Accept()
		var passing net.Error
		if errors.As(err, &passing) && passing.Timeout() {
			continue
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("accept: %w", err)
		}
		s.take(nc)
	}
}

func (s *Server) take(nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := newConn(s, nc)
	if s.closing || len(s.conns) >= s.cfg.MaxConns {
		s.tasks.Go(c.turnAway)
		return
	}
	c.handler = s.pick()
	s.conns[c] = true
	s.tasks.Go(c.read)
}

func (s *Server) gone(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Conns is the number of connections.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Shutdown lets the answers under way go out, each connection closing behind its last one, and closes all that
// still stand when ctx ends. The listener is to be closed before.
func (s *Server) Shutdown(ctx context.Context) {
	s.mu.Lock()
	s.closing = true
	for c := range s.conns {
		c.finish()
	}
	s.mu.Unlock()
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
	s.mu.Lock()
	for c := range s.conns {
		c.abort()
	}
	s.mu.Unlock()
	<-done
}

// Kill breaks all connections at once.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for c := range s.conns {
		c.abort()
	}
}

// deadline is d from now.
func deadline(d time.Duration) time.Time { return time.Now().Add(d) }
