// Package worker puts the model of a worker behind a socket: an emulated worker that speaks the protocol of
// docs/protocol.md as a real one does, and misbehaves on command.
package worker

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"havencart/lab/model"
)

// Config describes an emulated worker and its socket.
type Config struct {
	model.WorkerConfig
	Address string        // host:port; port 0 takes a free one
	Work    time.Duration // of a call whose body does not tell
	// Ways are the ways from and to a front end; nil: there is nothing between them.
	Paths func(frontEnd string) (in, out *model.Path)
}

// Server is one emulated worker.
type Server struct {
	cfg   Config
	clock *model.RealClock
	worker *model.Worker // within world

	mu       sync.Mutex
	address  string
	listener net.Listener
	connections    map[*connection]bool
	faults   socketFaults
	closed   bool
	tasks    sync.WaitGroup
}

// faults are the troubles of the socket; those of the process are the model's.
type socketFaults struct {
	handshake time.Duration // before welcome; negative: never
	responseDelay      time.Duration // added to each answer
	duplicateResponses     bool
	garbageBeforeResponses   bool
}

// Start starts a worker that runs since long ago.
func Start(world *model.RealClock, cfg Config, store model.Fetcher, group *model.KeyCache, seen model.Observer) (*Server, error) {
	s := &Server{cfg: cfg, clock: world, connections: map[*connection]bool{}, address: cfg.Address}
	world.Do(func() { s.worker = model.NewWorker(world, cfg.WorkerConfig, store, group, crashObserver{seen, s}) })
	if err := s.listen(); err != nil {
		return nil, err
	}
	return s, nil
}

// fallen closes the sockets of a worker that fell over.
type crashObserver struct {
	model.Observer
	s *Server
}

func (f crashObserver) WorkerCrashed(w *model.Worker) {
	f.Observer.WorkerCrashed(w)
	f.s.closeSockets()
}

// Address is where the worker listens.
func (s *Server) Address() string { return s.address }

// Name is the worker's name.
func (s *Server) Name() string { return s.cfg.Name }

func (s *Server) listen() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("worker %s: %w", s.cfg.Name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener, s.address = l, l.Addr().String()
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

// unplug closes the sockets as the end of a process does.
func (s *Server) closeSockets() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener.Close()
	for c := range s.connections {
		c.close()
	}
}

// Close ends the worker and all its goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.clock.Do(s.worker.Crash)
	s.closeSockets()
	s.tasks.Wait()
}

// Running says whether the process runs, and since when by its own clock.
func (s *Server) Running() (up bool, uptime time.Duration, life int) {
	s.clock.Do(func() { up, uptime, life = s.worker.Up(), s.worker.Uptime(), s.worker.Incarnation() })
	return up, uptime, life
}

// Do runs f on the model, between its events.
func (s *Server) Do(f func(*model.Worker)) { s.clock.Do(func() { f(s.worker) }) }

// Commands names the commands that Command takes, each with its argument.
const Commands = model.Commands + " | reset | handshake DURATION|never | late DURATION | twice on|off | garbage on|off"

// Command makes the worker misbehave, or behave again.
func (s *Server) Command(line string) error {
	known, err := false, error(nil)
	s.Do(func(w *model.Worker) { known, err = w.Command(line) })
	verb, argument, _ := strings.Cut(strings.TrimSpace(line), " ")
	switch {
	case err != nil:
	case !known:
		err = s.socketCommand(verb, strings.TrimSpace(argument))
	case verb == "die":
		s.closeSockets()
	case verb == "start":
		s.closeSockets()
		s.changeFaults(func(f *socketFaults) { *f = socketFaults{} })
		err = s.listen()
	}
	if err != nil {
		return fmt.Errorf("command %q: %w; allowed: %s", line, err, Commands)
	}
	return nil
}

func (s *Server) socketCommand(verb, argument string) error {
	switch verb {
	case "reset":
		s.resetConnections()
		return nil
	case "handshake", "late":
		return s.delayCommand(verb, argument)
	case "twice", "garbage":
		if argument != "on" && argument != "off" {
			return fmt.Errorf("%q is neither on nor off", argument)
		}
		s.changeFaults(func(f *socketFaults) {
			if verb == "twice" {
				f.duplicateResponses = argument == "on"
			} else {
				f.garbageBeforeResponses = argument == "on"
			}
		})
		return nil
	}
	return fmt.Errorf("unknown")
}

func (s *Server) delayCommand(verb, argument string) error {
	d, err := time.ParseDuration(argument)
	if verb == "handshake" && argument == "never" {
		d, err = -1, nil
	}
	if err != nil {
		return err
	}
	s.changeFaults(func(f *socketFaults) {
		if verb == "late" {
			f.responseDelay = d
		} else {
			f.handshake = d
		}
	})
	return nil
}

func (s *Server) changeFaults(change func(*socketFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

func (s *Server) currentFaults() socketFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// reset breaks all connections with a reset; the process lives on.
func (s *Server) resetConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		_ = c.raw.(*net.TCPConn).SetLinger(0)
		c.close()
	}
}
