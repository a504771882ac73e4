// Package rpcserver is the server for clients of the users' platform. It implements MessagePack-RPC over TCP, with many
// requests in flight on a connection and responses in any order. Requests are checked against the Rules before they are
// passed to a Handler. The package is independent of workers: the Handler provides the final response to each request.
//
// If a client violates the protocol, the server sends an error response, provided that the message ID is known,
// and closes the connection, which cancels all other requests in flight on it. Conforming clients do not violate
// the protocol. A single request that the Handler rejects does not close the connection: see conn.tooManyRejections.
package rpcserver

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/clientconn"
	"havencart/internal/decide/connadmission"
	"havencart/internal/memorybudget"
	"havencart/internal/periodic"
	"havencart/internal/socket"
)

// sweepInterval is the interval at which the server looks for idle connections to close.
const sweepInterval = 250 * time.Millisecond

// During Shutdown the server continues to read requests for at most finalReadPeriod. It checks at intervals of
// finalReadInterval which connections have become inactive and can be closed.
const (
	finalReadPeriod   = 50 * time.Millisecond
	finalReadInterval = 5 * time.Millisecond
)

// Config is the configuration of a Server.
type Config struct {
	Rules Rules
	// MaxConnections is the maximum number of connections. When it is reached, an idle connection is evicted to make
	// room for a new one. If none is idle, the new connection is rejected.
	MaxConnections int
	MaxInFlight    int                  // maximum requests in flight on a connection; exceeding it violates the protocol
	RequestMemory  *memorybudget.Budget // for requests until the Handler releases them; nil: no limit
	ResponseMemory *memorybudget.Budget // for the bodies of responses until they are written; nil: no limit
	MaxQueuedBytes int64                // maximum bytes of the bodies in a connection's output queue
	WriteTimeout   time.Duration        // timeout of one write of at most about maxBatchBytes
	// ObserveWriteDelay, if not nil, is called by the writing goroutines with the time from the queuing of a response
	// to the start of its write. That time does not depend on the client.
	ObserveWriteDelay func(delay time.Duration)
	// AcceptGracePeriod is the time for which a shutdown continues to accept connections from the listener's backlog.
	AcceptGracePeriod time.Duration
}

// Server serves the connections of clients. Its methods are safe for concurrent use.
type Server struct {
	cfg     Config
	handler Handler
	log     zerolog.Logger
	conns   *clientconn.Table[*conn]
	pacer   *pacer
	tasks   sync.WaitGroup // reading, writing and sweeping goroutines

	mu           sync.Mutex
	listener     net.Listener // set when Serve starts
	shuttingDown bool

	accepted, rejected, evicted, idleClosed, protocolErrors, writeFailed, requestsRefused, responsesDropped atomic.Uint64

	requests, heartbeats, cancellations, pauses, requestsUnwanted atomic.Uint64
	closed                                                        closeTotals
}

// New returns a Server that passes requests to handler.
func New(cfg Config, handler Handler, log zerolog.Logger) *Server {
	return &Server{cfg: cfg, handler: handler, log: log, conns: clientconn.NewTable[*conn](cfg.MaxConnections), pacer: newPacer()}
}

// ConnectionCount returns the number of open connections.
func (s *Server) ConnectionCount() int { return s.conns.Len() }

// Serve accepts connections from listener until listener is closed or a shutdown ends accepting. It closes listener
// before it returns. It also starts a goroutine that closes idle connections until ctx is done. Serve must be called
// once, before Shutdown.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	defer func() { _ = listener.Close() }() // may already be closed
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

// admit starts to serve a new connection. If the limit of connections is reached, it evicts an idle connection, or
// rejects the new one if none is idle. It does not serve a connection that its client has closed already.
func (s *Server) admit(netConn net.Conn) {
	s.accepted.Add(1)
	if socket.PeerHungUp(netConn) { // costs much less than to serve it
		s.closed[closedByClient].Add(1)
		_ = netConn.Close()
		return
	}
	c := newConn(s, netConn)
	if !s.conns.Add(c) && !s.replaceIdle(c) {
		s.rejected.Add(1)
		_ = netConn.Close()
		return
	}
	s.tasks.Go(c.read)
}

// replaceIdle evicts an idle connection and adds c in its place. It reports whether it added c.
func (s *Server) replaceIdle(c *conn) bool {
	return s.evict() && s.conns.Add(c)
}

// evict closes the connection that connadmission selects for eviction. It reports whether it closed a connection.
func (s *Server) evict() bool {
	conns, states := s.snapshots()
	i := connadmission.SelectEviction(states)
	if i < 0 || !conns[i].closeIf(closedEvicted, connadmission.Evictable) {
		return false
	}
	s.evicted.Add(1)
	s.conns.Remove(conns[i])
	return true
}

// snapshots returns the connections that are not closed and their states, in the same order.
func (s *Server) snapshots() ([]*conn, []connadmission.Connection) {
	now := time.Now()
	conns := slices.DeleteFunc(s.conns.All(), (*conn).isClosed)
	states := make([]connadmission.Connection, len(conns))
	for i, c := range conns {
		states[i] = c.snapshot(now)
	}
	return conns, states
}

// closeInactiveConnections repeatedly closes the connections that have no request in flight and no unread input, until
// all connections are closed or finalReadPeriod has passed.
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

// closeInactive closes the connections that have no request in flight and no unread input. It returns the number of
// connections that remain open.
func (s *Server) closeInactive() (open int) {
	for _, c := range s.conns.All() {
		if !c.closeIf(closedShutdown, func(connadmission.Connection) bool { return true }) && !c.isClosed() {
			open++
		}
	}
	return open
}

func (s *Server) sweepUntilDone(ctx context.Context) {
	periodic.Run(ctx, sweepInterval, s.sweep)
}

// sweep closes the connections that have sent no request in time.
func (s *Server) sweep() {
	conns, states := s.snapshots()
	shouldClose := connadmission.ShouldClose
	if s.isShuttingDown() {
		shouldClose = connadmission.ShouldCloseInShutdown
	}
	for i, c := range conns {
		if shouldClose(states[i]) && c.closeIf(closedIdle, shouldClose) {
			s.idleClosed.Add(1)
		}
	}
}

func (s *Server) isShuttingDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shuttingDown
}

// BeginShutdown starts a shutdown: the server stops accepting connections and closes each connection once no request is
// in flight on it.
func (s *Server) BeginShutdown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shuttingDown = true
	s.endAccepting()
}

// endAccepting stops accepting connections if a shutdown has started. It requires that s.mu is held. Connections in the
// listener's backlog are still accepted for AcceptGracePeriod, because closing the listener resets them and their
// requests would be lost.
func (s *Server) endAccepting() {
	if !s.shuttingDown || s.listener == nil {
		return
	}
	l, hasDeadline := s.listener.(interface{ SetDeadline(time.Time) error })
	if !hasDeadline || l.SetDeadline(time.Now().Add(s.cfg.AcceptGracePeriod)) != nil {
		_ = s.listener.Close()
	}
}

// Shutdown closes each connection once its queued responses are written, and returns when all goroutines of the server
// have ended. Before the call, Serve must have returned and its context must be done. As clients may still be sending,
// requests are read for up to finalReadPeriod, and a connection is closed earlier only if no request is in flight or
// unread on it.
func (s *Server) Shutdown() {
	s.closeInactiveConnections()
	for _, c := range s.conns.All() {
		c.drain(closedShutdown)
	}
	s.tasks.Wait()
}
