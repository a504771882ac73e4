// Package httpserver implements the HTTP/1.1 server (RFC 9112) to which clients send requests, as POST /call/FUNCTION.
// It supports keep-alive and pipelining. Requests are parsed by the standard library. Responses that do not come from a
// worker carry problem details (RFC 9457). The package does not depend on workers: a Handler provides the final
// response to each request. docs/running.md lists the headers.
package httpserver

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/clientconn"
)

// Config holds the limits and timeouts of a Server. All durations and sizes must be greater than 0.
type Config struct {
	IdleTimeout    time.Duration // a connection without a request is closed after this time
	HeaderTimeout  time.Duration // limit from the first byte of a request to the end of its header
	BodyTimeout    time.Duration // limit for reading a request's body, after its header and any 100 Continue
	WriteTimeout   time.Duration // limit for writing each part of a response
	StallTimeout   time.Duration // longest wait for the next part of a streamed response
	MaxHeaderBytes int           // largest request header in bytes
	MaxBodyBytes   int           // largest request body in bytes
	MaxPipelined   int           // requests in flight per connection; further requests are not read
	MaxConnections int           // open connections; further connections get a 503 response and are closed
	KeepHalfClosed bool          // whether a client that closed its side for writing still gets its responses
}

// Server serves client connections. Its methods are safe for concurrent use.
type Server struct {
	cfg        Config
	newHandler func() Handler // returns the Handler of a new connection
	log        zerolog.Logger
	conns      *clientconn.Table[*conn]
	tasks      sync.WaitGroup // goroutines that read from, write to or reject connections

	mu           sync.Mutex
	shuttingDown bool
}

// New returns a Server. It calls newHandler once for each connection and passes the connection's requests to the
// returned Handler.
func New(cfg Config, newHandler func() Handler, log zerolog.Logger) *Server {
	return &Server{cfg: cfg, newHandler: newHandler, log: log, conns: clientconn.NewTable[*conn](cfg.MaxConnections)}
}

// Serve accepts connections until l is closed. The caller closes l.
func (s *Server) Serve(l net.Listener) error {
	return clientconn.AcceptLoop(l, s.admit, clientconn.IsTimeout)
}

// admit starts serving a connection, or rejects it. It holds the lock so that Shutdown, which waits for all
// goroutines, cannot miss the goroutine started here.
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

// Shutdown shuts the server down gracefully: each connection is closed after the response to its last request in
// flight. When ctx is done, the connections that are still open are closed at once. Shutdown returns when all
// goroutines of the server have ended. The listener must be closed before Shutdown is called.
func (s *Server) Shutdown(ctx context.Context) {
	s.beginShutdown()
	for _, c := range s.conns.All() {
		c.drain()
	}
	done := make(chan struct{})
	go func() { // ends before Shutdown returns, because Shutdown waits for done
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

// Close closes all connections at once. It does not wait for the server's goroutines to end.
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
