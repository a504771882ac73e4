package rpcserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/decide/connadmission"
)

// Config bounds what clients may do.
type Config struct {
	Rules    Rules
	MaxConns int // beyond, one that asks nothing is closed, or the new one
	MaxOpen  int // requests of one connection; one more breaks the protocol
	MaxOut   int // bytes of answers that a client has not taken; beyond, its connection is closed
	Write    time.Duration
	Wrote    func(took time.Duration) // where set, told how long answers waited to be written
	Rest     time.Duration            // for which connections that the machine took are still accepted once Finish was called
}

// Counts are totals of a Server.
type Counts struct {
	Accepted, TurnedAway, Evicted, Closed, Broken uint64 // connections: Closed for asking nothing, Broken for breaking the protocol
}

// Server serves clients' connections.
type Server struct {
	cfg     Config
	handler Handler
	log     zerolog.Logger

	mu        sync.Mutex
	conns     map[*conn]bool // bounded by MaxConns
	listener  net.Listener   // while it is served
	finishing bool
	tasks     sync.WaitGroup

	accepted, turnedAway, evicted, closed, broken atomic.Uint64
}

// New returns a Server that hands calls to handler.
func New(cfg Config, handler Handler, log zerolog.Logger) *Server {
	return &Server{cfg: cfg, handler: handler, log: log, conns: map[*conn]bool{}}
}

// Counts returns the totals.
func (s *Server) Counts() Counts {
	return Counts{s.accepted.Load(), s.turnedAway.Load(), s.evicted.Load(), s.closed.Load(), s.broken.Load()}
}

// lookEvery is how often connections are looked over.
const lookEvery = 250 * time.Millisecond

// acceptPause is how long accepting rests where the system has no descriptor left.
const acceptPause = 5 * time.Millisecond

// Serve takes connections until l is closed or Finish was called, and looks over those that stand until ctx ends. It
// closes l.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	defer l.Close()
	s.tasks.Go(func() { s.look(ctx) })
	s.mu.Lock()
	s.listener = l
	s.endAccepting()
	s.mu.Unlock()
	for {
		nc, err := l.Accept()
		switch {
		case err == nil:
			s.take(nc)
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
			return nil
		case isPassing(err):
			s.evict()
			time.Sleep(acceptPause)
		default:
			return fmt.Errorf("accept: %w", err)
		}
	}
}

func (s *Server) take(nc net.Conn) {
	s.accepted.Add(1)
	c := newConn(s, nc)
	s.mu.Lock()
	full := len(s.conns) >= s.cfg.MaxConns
	s.mu.Unlock()
	if full && !s.evict() {
		s.turnedAway.Add(1)
		nc.Close()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	s.tasks.Go(c.read)
}

// evict closes the connection that may go soonest, if there is one.
func (s *Server) evict() bool {
	s.mu.Lock()
	list, states := s.states()
	s.mu.Unlock()
	i := connadmission.SelectEviction(states)
	if i < 0 || !list[i].closeIf(connadmission.Evictable) {
		return false
	}
	s.evicted.Add(1)
	s.gone(list[i])
	return true
}

// states is how the connections stand; the lock is held.
func (s *Server) states() (list []*conn, states []connadmission.Connection) {
	now := time.Now()
	for c := range s.conns {
		list = append(list, c)
		states = append(states, c.standing(now))
	}
	return list, states
}

// look closes connections that ask nothing.
func (s *Server) look(ctx context.Context) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		list, states := s.states()
		finishing := s.finishing
		s.mu.Unlock()
		over := connadmission.ShouldClose
		if finishing {
			over = connadmission.ShouldCloseInShutdown
		}
		for i, c := range list {
			if over(states[i]) && c.closeIf(over) {
				s.closed.Add(1)
			}
		}
	}
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

// Finish makes each connection close once nothing is open on it, and ends the accepting.
func (s *Server) Finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finishing = true
	s.endAccepting()
}

// endAccepting ends the accepting of one that finishes; the lock is held. Connections that the machine took before are
// still accepted, for Rest: closing a listener resets those that wait there, and the requests on them are lost.
func (s *Server) endAccepting() {
	if !s.finishing || s.listener == nil {
		return
	}
	l, can := s.listener.(interface{ SetDeadline(time.Time) error })
	if !can || l.SetDeadline(time.Now().Add(s.cfg.Rest)) != nil {
		s.listener.Close()
	}
}

// Shutdown closes all connections behind the answers that are on their way, each at once where nothing is, and
// returns when all is closed. Serve's context is to have ended.
func (s *Server) Shutdown() {
	s.mu.Lock()
	list, _ := s.states()
	s.mu.Unlock()
	for _, c := range list {
		c.closeBehind()
	}
	s.tasks.Wait()
}
