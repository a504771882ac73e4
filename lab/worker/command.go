package worker

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"havencart/lab/model"
)

// Commands lists the commands that Command accepts, with their arguments.
const Commands = model.Commands + " | reset | handshake DURATION|never | late DURATION | twice on|off | garbage on|off"

// neverHandshake is the value of socketFaults.handshakeDelay for a worker that never sends its welcome.
const neverHandshake = -1

// socketFaults contains the current faults of the worker's socket. The faults of its process are part of the model.
type socketFaults struct {
	handshakeDelay     time.Duration // delay before the welcome, or neverHandshake
	responseDelay      time.Duration
	duplicateResponses bool
	garbageResponses   bool // send bytes that are not a valid frame instead of each response
}

// Command executes a command that injects a fault or ends one. The error of an invalid command lists the allowed
// commands.
func (s *Server) Command(line string) error {
	if err := s.command(line); err != nil {
		return fmt.Errorf("command %q: %w; allowed: %s", line, err, Commands)
	}
	return nil
}

func (s *Server) command(line string) error {
	var known bool
	var err error
	s.Do(func(w *model.Worker) { known, err = w.Command(line) })
	if err != nil {
		return err
	}
	verb, argument, _ := strings.Cut(strings.TrimSpace(line), " ")
	if !known {
		return s.socketCommand(verb, strings.TrimSpace(argument))
	}
	switch verb {
	case "die":
		s.closeSockets()
	case "start":
		s.closeSockets()
		s.changeFaults(func(f *socketFaults) { *f = socketFaults{} })
		return s.listen()
	}
	return nil
}

func (s *Server) socketCommand(verb, argument string) error {
	switch verb {
	case "reset":
		s.resetConnections()
		return nil
	case "handshake":
		if argument == "never" {
			s.changeFaults(func(f *socketFaults) { f.handshakeDelay = neverHandshake })
			return nil
		}
		return s.delayCommand(argument, func(f *socketFaults, d time.Duration) { f.handshakeDelay = d })
	case "late":
		return s.delayCommand(argument, func(f *socketFaults, d time.Duration) { f.responseDelay = d })
	case "twice":
		return s.switchCommand(argument, func(f *socketFaults, on bool) { f.duplicateResponses = on })
	case "garbage":
		return s.switchCommand(argument, func(f *socketFaults, on bool) { f.garbageResponses = on })
	}
	return errors.New("unknown")
}

func (s *Server) delayCommand(argument string, set func(*socketFaults, time.Duration)) error {
	d, err := time.ParseDuration(argument)
	if err != nil {
		return err
	}
	s.changeFaults(func(f *socketFaults) { set(f, d) })
	return nil
}

func (s *Server) switchCommand(argument string, set func(*socketFaults, bool)) error {
	if argument != "on" && argument != "off" {
		return fmt.Errorf("%q is neither on nor off", argument)
	}
	s.changeFaults(func(f *socketFaults) { set(f, argument == "on") })
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
