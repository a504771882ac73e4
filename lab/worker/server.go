// Package worker puts the model of a worker behind a socket: an emulated worker that speaks the protocol of
// docs/protocol.md as a real one does, and has faults on command.
package worker

import (
	"fmt"
	"net"
	"sync"
	"time"

	"havencart/lab/model"
	"havencart/lab/portreservation"
)

// Config describes an emulated worker and its socket.
type Config struct {
	model.WorkerConfig
	Address string        // host:port; port 0 chooses a free one
	Work    time.Duration // of a request whose body does not say
	// Paths returns the network's paths from and to a front end; nil: there is no emulated network.
	Paths func(frontEnd string) (in, out *model.Path)
}

// Server is one emulated worker.
type Server struct {
	cfg         Config
	clock       *model.RealClock
	worker      *model.Worker                // accessed within the clock only
	reservation *portreservation.Reservation // of its address, for all its processes

	mu          sync.Mutex
	listener    net.Listener
	connections map[*connection]bool
	faults      socketFaults
	closed      bool
	tasks       sync.WaitGroup
}

// Start starts a worker that has been running for long enough to be warm.
func Start(clock *model.RealClock, cfg Config, store model.Fetcher, keys *model.KeyCache, observer model.Observer) (*Server, error) {
	reservation, err := portreservation.Reserve(cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("worker %s: %w", cfg.Name, err)
	}
	s := &Server{cfg: cfg, clock: clock, connections: map[*connection]bool{}, reservation: reservation}
	clock.Do(func() { s.worker = model.NewWorker(clock, cfg.WorkerConfig, store, keys, crashObserver{observer, s}) })
	if err := s.listen(); err != nil {
		reservation.Release()
		return nil, err
	}
	return s, nil
}

// crashObserver closes the sockets of a worker that crashes from overload.
type crashObserver struct {
	model.Observer
	s *Server
}

// WorkerCrashed implements model.Observer.
func (o crashObserver) WorkerCrashed(w *model.Worker) {
	o.Observer.WorkerCrashed(w)
	o.s.closeSockets()
}

// Address is where the worker listens.
func (s *Server) Address() string { return s.reservation.Address() }

// Name is the worker's name.
func (s *Server) Name() string { return s.cfg.Name }

// Running reports whether the process runs, for how long, and its incarnation.
func (s *Server) Running() (up bool, uptime time.Duration, incarnation int) {
	s.Do(func(w *model.Worker) { up, uptime, incarnation = w.Up(), w.Uptime(), w.Incarnation() })
	return up, uptime, incarnation
}

// Do calls f with the model, between its events.
func (s *Server) Do(f func(*model.Worker)) { s.clock.Do(func() { f(s.worker) }) }

// Close ends the worker and all its goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.clock.Do(s.worker.Crash)
	s.closeSockets()
	s.tasks.Wait()
	s.reservation.Release()
}

// listen opens the socket, at the worker's address.
func (s *Server) listen() error {
	l, err := net.Listen("tcp", s.Address())
	if err != nil {
		return fmt.Errorf("worker %s: %w", s.cfg.Name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
	s.tasks.Go(func() { s.accept(l) })
	return nil
}

func (s *Server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return // closed: the process ended
		}
		s.serve(c)
	}
}

// closeSockets closes the sockets as the end of a process does.
func (s *Server) closeSockets() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for c := range s.connections {
		c.close()
	}
}

// resetConnections ends all connections with a TCP reset; the process goes on.
func (s *Server) resetConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		_ = c.raw.(*net.TCPConn).SetLinger(0) // fails on a closed connection only
		c.close()
	}
}
