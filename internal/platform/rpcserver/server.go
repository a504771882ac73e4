package rpcserver

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/clientconn"
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

	conns *clientconn.Table[*conn]

	mu        sync.Mutex
	listener  net.Listener // while it is served
	finishing bool
	tasks     sync.WaitGroup

	accepted, turnedAway, evicted, closed, broken atomic.Uint64
}

// New returns a Server that hands calls to handler.
func New(cfg Config, handler Handler, log zerolog.Logger) *Server {
	return &Server{cfg: cfg, handler: handler, log: log, conns: clientconn.NewTable[*conn](cfg.MaxConns)}
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
	err := clientconn.AcceptLoop(l, s.take, s.retryAccept)
	if errors.Is(err, os.ErrDeadlineExceeded) { // the one that Finish sets
		return nil
	}
	return err
}

// retryAccept reports whether accepting goes on after an error. Where the system ran out of something, it first makes
// room and pauses.
func (s *Server) retryAccept(err error) bool {
	if errors.Is(err, os.ErrDeadlineExceeded) || !isPassing(err) {
		return false
	}
	s.evict()
	time.Sleep(acceptPause)
	return true
}

func (s *Server) take(nc net.Conn) {
	s.accepted.Add(1)
	c := newConn(s, nc)
	if !s.conns.Add(c) && !(s.evict() && s.conns.Add(c)) {
		s.turnedAway.Add(1)
		nc.Close()
		return
	}
	s.tasks.Go(c.read)
}

// evict closes the connection that may go soonest, if there is one.
func (s *Server) evict() bool {
	list, states := s.states()
	i := connadmission.SelectEviction(states)
	if i < 0 || !list[i].closeIf(connadmission.Evictable) {
		return false
	}
	s.evicted.Add(1)
	s.conns.Remove(list[i])
	return true
}

// states is how the connections stand.
func (s *Server) states() (list []*conn, states []connadmission.Connection) {
	now := time.Now()
	list = s.conns.All()
	for _, c := range list {
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
		list, states := s.states()
		s.mu.Lock()
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

// Conns is the number of connections.
func (s *Server) Conns() int { return s.conns.Len() }

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
	for _, c := range s.conns.All() {
		c.closeBehind()
	}
	s.tasks.Wait()
}
