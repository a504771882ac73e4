// Package rpcserver serves the users' platform's clients: MessagePack-RPC over TCP, with many requests in flight on a
// connection and responses in any order. Requests are checked against the Rules before a Handler sees them. The package
// knows nothing of workers: the Handler gives each request its final response.
//
// A client that breaks the protocol gets an error, where its request has a number, and its connection is closed, which
// cancels whatever else is in flight on it. No well-behaved client does that.
package rpcserver

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/clientconn"
	"havencart/internal/decide/connadmission"
	"havencart/internal/periodic"
)

// sweepInterval is the time between searches for connections to close.
const sweepInterval = 250 * time.Millisecond

// At the end of a shutdown connections on which something is under way are closed no later than finalReadPeriod after the
// others.
const (
	finalReadPeriod   = 50 * time.Millisecond
	finalReadInterval = 5 * time.Millisecond
)

// Config bounds what clients may do.
type Config struct {
	Rules          Rules
	MaxConnections int           // beyond, an idle connection is evicted, or else the new one rejected
	MaxInFlight    int           // requests in flight on one connection; one more breaks the protocol
	MaxQueuedBytes int           // bytes of responses that a client has not read; beyond, its connection is closed
	WriteTimeout   time.Duration // for one write of queued responses
	// ObserveWriteDelay, unless nil, is called from the writing goroutines with the time between the queuing of a response
	// and the start of its write. That time does not depend on the client.
	ObserveWriteDelay func(delay time.Duration)
	AcceptGracePeriod time.Duration // for which connections in the listener's backlog are still accepted during a shutdown
}

// Counts are totals of a Server since its start, as its log line and docs/oncall.md name them.
type Counts struct {
	Accepted       uint64 // connections accepted
	Rejected       uint64 // connections closed at once as there were too many
	Evicted        uint64 // idle connections closed to make room
	IdleClosed     uint64 // connections closed for sending no request in time
	ProtocolErrors uint64 // requests that broke the protocol
}

// Server serves clients' connections. Its methods may be called from any goroutine.
type Server struct {
	cfg     Config
	handler Handler
	log     zerolog.Logger
	conns   *clientconn.Table[*conn]
	tasks   sync.WaitGroup // reading and writing goroutines, and the sweep

	mu           sync.Mutex
	listener     net.Listener // from the start of Serve
	shuttingDown bool

	accepted, rejected, evicted, idleClosed, protocolErrors atomic.Uint64
}

// New returns a Server that passes requests to handler.
func New(cfg Config, handler Handler, log zerolog.Logger) *Server {
	return &Server{cfg: cfg, handler: handler, log: log, conns: clientconn.NewTable[*conn](cfg.MaxConnections)}
}

// Counts returns the totals.
func (s *Server) Counts() Counts {
	return Counts{
		Accepted:       s.accepted.Load(),
		Rejected:       s.rejected.Load(),
		Evicted:        s.evicted.Load(),
		IdleClosed:     s.idleClosed.Load(),
		ProtocolErrors: s.protocolErrors.Load(),
	}
}

// ConnectionCount returns the number of open connections.
func (s *Server) ConnectionCount() int { return s.conns.Len() }

// Serve accepts connections of l until l is closed or a shutdown began, and then closes l. Until ctx ends, a goroutine
// that it starts goes on to close idle connections. It must be called once, before Shutdown.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	defer func() { _ = listener.Close() }() // it may be closed already
	s.tasks.Go(func() { s.sweepUntilDone(ctx) })
	s.mu.Lock()
	s.listener = listener
	s.endAccepting()
	s.mu.Unlock()
	err := clientconn.AcceptLoop(listener, s.admit, s.retryAccept)
	if isAcceptDeadline(err) {
		return nil
	}
	return err
}

// admit starts to serve a connection, in the place of an idle one if there is no other.
func (s *Server) admit(netConn net.Conn) {
	s.accepted.Add(1)
	c := newConn(s, netConn)
	if !s.conns.Add(c) && !s.replaceIdle(c) {
		s.rejected.Add(1)
		_ = netConn.Close()
		return
	}
	s.tasks.Go(c.read)
}

// replaceIdle adds a connection to the full table if another can be evicted.
func (s *Server) replaceIdle(c *conn) bool {
	return s.evict() && s.conns.Add(c)
}

// evict closes the connection that is the first choice to make room. It reports whether there was one.
func (s *Server) evict() bool {
	conns, states := s.snapshots()
	i := connadmission.SelectEviction(states)
	if i < 0 || !conns[i].closeIf(connadmission.Evictable) {
		return false
	}
	s.evicted.Add(1)
	s.conns.Remove(conns[i])
	return true
}

// snapshots returns the connections and the state of each.
func (s *Server) snapshots() ([]*conn, []connadmission.Connection) {
	now := time.Now()
	conns := s.conns.All()
	states := make([]connadmission.Connection, len(conns))
	for i, c := range conns {
		states[i] = c.snapshot(now)
	}
	return conns, states
}

// closeInactiveConnections closes the connections on which nothing is under way, for finalReadPeriod or until all are closed.
func (s *Server) closeInactiveConnections() {
	deadline := time.NewTimer(finalReadPeriod)
	defer deadline.Stop()
	ticker := time.NewTicker(finalReadInterval)
	defer ticker.Stop()
	for s.closeInactive() > 0 {
		select {
		case <-ticker.C:
		case <-deadline.C:
			return
		}
	}
}

// closeInactive is one try of closeInactiveConnections. It returns how many connections stay open.
func (s *Server) closeInactive() (open int) {
	for _, c := range s.conns.All() {
		if !c.closeIf(func(connadmission.Connection) bool { return true }) && !c.isClosed() {
			open++
		}
	}
	return open
}

func (s *Server) sweepUntilDone(ctx context.Context) {
	periodic.Run(ctx, sweepInterval, s.sweep)
}

// sweep closes the connections that send no request in time.
func (s *Server) sweep() {
	conns, states := s.snapshots()
	shouldClose := connadmission.ShouldClose
	if s.isShuttingDown() {
		shouldClose = connadmission.ShouldCloseInShutdown
	}
	for i, c := range conns {
		if shouldClose(states[i]) && c.closeIf(shouldClose) {
			s.idleClosed.Add(1)
		}
	}
}

func (s *Server) isShuttingDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shuttingDown
}

// BeginShutdown begins a shutdown: accepting ends, and each connection is closed once nothing is in flight on it.
func (s *Server) BeginShutdown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shuttingDown = true
	s.endAccepting()
}

// endAccepting ends accepting if a shutdown began; the lock is held. Connections in the listener's backlog are still
// accepted for the time of AcceptGracePeriod: closing a listener resets them, and the requests on them would be lost.
func (s *Server) endAccepting() {
	if !s.shuttingDown || s.listener == nil {
		return
	}
	l, hasDeadline := s.listener.(interface{ SetDeadline(time.Time) error })
	if !hasDeadline || l.SetDeadline(time.Now().Add(s.cfg.AcceptGracePeriod)) != nil {
		_ = s.listener.Close()
	}
}

// Shutdown closes each connection behind the responses that are queued on it, and returns when all goroutines of the
// server have ended. Serve must have returned and its context ended before. Clients may go on sending meanwhile: for
// finalReadPeriod requests are still read, and a connection is closed when none is on its way.
func (s *Server) Shutdown() {
	s.closeInactiveConnections()
	for _, c := range s.conns.All() {
		c.drain()
	}
	s.tasks.Wait()
}
