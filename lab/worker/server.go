// Package worker implements an emulated worker: the model of a worker behind a socket. It speaks the protocol of
// docs/protocol.md, as a real worker does, and injects faults on command.
package worker

import (
	"fmt"
	"net"
	"sync"
	"time"

	"havencart/lab/model"
	"havencart/lab/portreservation"
)

// Config configures an emulated worker and its socket.
type Config struct {
	model.WorkerConfig
	Address string        // host:port; with port 0, a free port is chosen
	Work    time.Duration // work of a request whose body does not specify it
	// Paths returns the paths of the emulated network from and to a front end. If Paths is nil, the network is not
	// emulated.
	Paths func(frontEnd string) (in, out *model.Path)
}

// Server is one emulated worker.
type Server struct {
	cfg         Config
	clock       *model.RealClock
	worker      *model.Worker                // accessed only within the clock
	reservation *portreservation.Reservation // reserves the address across restarts of the emulated process

	mu          sync.Mutex
	listener    net.Listener
	connections map[*connection]bool
	faults      socketFaults
	closed      bool
	tasks       sync.WaitGroup
}

// Start starts an emulated worker, which is warm.
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

// crashObserver is an observer that also closes the sockets of a worker that crashes from overload.
type crashObserver struct {
	model.Observer
	s *Server
}

// WorkerCrashed implements model.Observer.
func (o crashObserver) WorkerCrashed(w *model.Worker) {
	o.Observer.WorkerCrashed(w)
	o.s.closeSockets()
}

// Address returns the address that the worker listens on.
func (s *Server) Address() string { return s.reservation.Address() }

// Name returns the worker's name.
func (s *Server) Name() string { return s.cfg.Name }

// Running returns whether the emulated process is running, its uptime and its incarnation.
func (s *Server) Running() (up bool, uptime time.Duration, incarnation int) {
	s.Do(func(w *model.Worker) { up, uptime, incarnation = w.Up(), w.Uptime(), w.Incarnation() })
	return up, uptime, incarnation
}

// Do calls f with the model, within the clock.
func (s *Server) Do(f func(*model.Worker)) { s.clock.Do(func() { f(s.worker) }) }

// Close stops the worker and waits for all its goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.clock.Do(s.worker.Crash)
	s.closeSockets()
	s.tasks.Wait()
	s.reservation.Release()
}

// listen starts to accept connections at the worker's address.
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
			return // the listener was closed because the process ended
		}
		s.serve(c)
	}
}

// closeSockets closes the listener and all connections, as the end of a process does.
func (s *Server) closeSockets() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for c := range s.connections {
		c.close()
	}
}

// resetConnections ends all connections with a TCP reset. The process keeps running.
func (s *Server) resetConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		_ = c.raw.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
		c.close()
	}
}
