// Package httpserver serves clients over HTTP/1.1 (RFC 9112), with keep-alive and pipelining: POST /call/FUNCTION.
// Requests are parsed by the standard library; responses that are not a worker's are problem details (RFC 9457). The
// package knows nothing of workers: a Handler gives each request its final response. docs/running.md lists the headers.
package httpserver

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/clientconn"
)

// Config bounds what clients may do. All times and sizes are above 0.
type Config struct {
	IdleTimeout    time.Duration // for which a connection without a request stays open
	HeaderTimeout  time.Duration // from the first byte of a request to the end of its header
	BodyTimeout    time.Duration // to the end of its body
	WriteTimeout   time.Duration // for each part of a response
	StallTimeout   time.Duration // that a streamed response may pause
	MaxHeaderBytes int           // bytes of a request's header
	MaxBodyBytes   int           // bytes of a request's body
	MaxPipelined   int           // requests of one connection without a response; further ones are not read
	MaxConnections int           // connections; further ones get a 503 response and are closed
	KeepHalfClosed bool          // a client that closed its side for writing still waits for its responses
}

// Server serves clients' connections. Its methods may be called from any goroutine.
type Server struct {
	cfg        Config
	newHandler func() Handler // of one connection
	log        zerolog.Logger
	conns      *clientconn.Table[*conn]
	tasks      sync.WaitGroup // reading and writing goroutines, and those that reject connections

	mu           sync.Mutex
	shuttingDown bool
}

// New returns a Server that passes the requests of each connection to a Handler that newHandler returns for it.
func New(cfg Config, newHandler func() Handler, log zerolog.Logger) *Server {
	return &Server{cfg: cfg, newHandler: newHandler, log: log, conns: clientconn.NewTable[*conn](cfg.MaxConnections)}
}

// Serve accepts connections until l is closed, which is the caller's to do.
func (s *Server) Serve(l net.Listener) error {
	return clientconn.AcceptLoop(l, s.admit, clientconn.IsTimeout)
}

// admit starts to serve a connection, or rejects it. The lock keeps Shutdown from missing its goroutine.
func (s *Server) admit(nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := newConn(s, nc)
	if s.shuttingDown || !s.conns.Add(c) {
		s.tasks.Go(c.reject)
		return
	}
	c.handler = s.newHandler()
	s.tasks.Go(c.read)
}

// Shutdown lets the responses in flight be sent and closes each connection behind its last one. It closes all that are
// open when ctx ends, and returns when all goroutines of the server have ended. The listener must be closed before.
func (s *Server) Shutdown(ctx context.Context) {
	s.beginShutdown()
	for _, c := range s.conns.All() {
		c.drain()
	}
	done := make(chan struct{})
	go func() { // ends with the last task, which this function waits for
		defer close(done)
		s.tasks.Wait()
	}()
	select {
	case <-done:
		return
	case <-ctx.Done():
	}
	s.abortAll()
	<-done
}

// Close closes all connections at once. It does not wait for their goroutines.
func (s *Server) Close() {
	s.beginShutdown()
	s.abortAll()
}

func (s *Server) beginShutdown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shuttingDown = true
}

func (s *Server) abortAll() {
	for _, c := range s.conns.All() {
		c.abort()
	}
}
