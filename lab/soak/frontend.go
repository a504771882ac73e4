package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Waits for a front end's process.
const (
	readyWithin = 10 * time.Second
	endsWithin  = 6 * time.Second // after SIGTERM: the longest deadline and 0.7 s, and room
)

// frontEnd is one front end, which may be started several times.
type frontEnd struct {
	index   int
	address string // where clients connect, the same after a restart
	path    string // of its configuration
	run     *run

	mu       sync.Mutex
	process  *exec.Cmd
	exited   chan struct{} // closed when the process has ended
	stopping bool          // it was told to end
	access   clientAccess
	crowded  bool // clients send many times as much
}

// clientAccess is what clients may do with a front end.
type clientAccess int

const (
	noRequests      clientAccess = iota
	openConnections              // send requests, but make no new connection
	allConnections
)

// start starts the process with the endpoints that are known now, and waits until it is ready.
func (f *frontEnd) start() error {
	if err := f.writeConfig(); err != nil {
		return err
	}
	command := f.run.config.Command()
	command.Env = append(append(os.Environ(), command.Env...), "RELAY_CONFIG="+f.path)
	output, err := command.StderrPipe()
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	if err := command.Start(); err != nil {
		return fmt.Errorf("soak: start a front end: %w", err)
	}
	exited := make(chan struct{})
	ready := make(chan struct{})
	f.mu.Lock()
	f.process, f.exited, f.stopping = command, exited, false
	f.mu.Unlock()
	f.run.tasks.Go(func() {
		defer close(exited)
		f.readLog(bufio.NewScanner(output), ready)
		f.noteExit(command.Wait())
	})
	select {
	case <-ready:
	case <-exited:
		return fmt.Errorf("soak: front end %d ended at its start", f.index)
	case <-time.After(readyWithin):
		return fmt.Errorf("soak: front end %d is not ready", f.index)
	}
	f.setAccess(allConnections)
	return nil
}

// writeConfig writes the configuration of the next start, or for SIGHUP.
func (f *frontEnd) writeConfig() error {
	settings := frontEndSettings{
		index:           f.index,
		count:           f.run.config.FrontEnds,
		listen:          f.address,
		discovery:       f.run.endpoints.server.Address(),
		seed:            uint64(f.index) + f.run.config.Seed<<16,
		connectTimeout:  f.run.connectTimeout,
		hasHealthChecks: f.run.config.Seed%noHealthChecksEvery != 0,
		known:           f.run.endpoints.known(),
	}
	config, err := settings.json()
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	temporary := f.path + ".new"
	if err := os.WriteFile(temporary, config, 0o600); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	return os.Rename(temporary, f.path)
}

// loggedTotals is what is read of a log line.
type loggedTotals struct {
	Message string `json:"message"`
	Counts  struct {
		Violations map[string]uint64
	} `json:"counts"`
}

// readLog reads the process's log until it ends, and notes violations that it counted itself.
func (f *frontEnd) readLog(lines *bufio.Scanner, ready chan<- struct{}) {
	lines.Buffer(nil, 1<<20)
	kept, err := os.Create(filepath.Join(f.run.directory, fmt.Sprintf("n%d-%d.log", f.index, f.run.history.Now().Milliseconds())))
	if err == nil {
		defer func() { _ = kept.Close() }()
	}
	for lines.Scan() {
		if kept != nil {
			_, _ = kept.WriteString(lines.Text() + "\n")
		}
		var line loggedTotals
		_ = json.Unmarshal(lines.Bytes(), &line) // another line has neither field
		if line.Message == "running" {
			close(ready)
		}
		if len(line.Counts.Violations) > 0 {
			f.run.history.Fault(fmt.Sprintf("front end %d counts violations: %v", f.index, line.Counts.Violations))
		}
		if strings.HasPrefix(lines.Text(), "panic:") || strings.HasPrefix(lines.Text(), "fatal error:") {
			f.run.history.Fault(fmt.Sprintf("front end %d: %s", f.index, lines.Text()))
		}
	}
}

// noteExit notes an end that nobody asked for, or that is not clean.
func (f *frontEnd) noteExit(err error) {
	f.mu.Lock()
	stopping := f.stopping
	f.mu.Unlock()
	f.setAccess(noRequests)
	switch {
	case !stopping:
		f.run.history.Fault(fmt.Sprintf("front end %d ended by itself: %v", f.index, err))
	case err != nil && !strings.Contains(err.Error(), "killed"):
		f.run.history.Fault(fmt.Sprintf("front end %d ended with %v", f.index, err))
	}
}

func (f *frontEnd) setAccess(access clientAccess) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.access = access
}

// refuseConnects lets clients make no new connections.
func (f *frontEnd) refuseConnects() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.access = min(f.access, openConnections)
}

// permits is whether clients may do this much.
func (f *frontEnd) permits(access clientAccess) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.access >= access
}

// setCrowded has clients send many times as much, or as usual again.
func (f *frontEnd) setCrowded(crowded bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crowded = crowded
}

func (f *frontEnd) isCrowded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crowded
}

// signal sends a signal to the process, if it runs.
func (f *frontEnd) signal(signal syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.process.Process.Signal(signal) // fails if it has ended
}

// kill ends the process at once, and returns once it has ended.
func (f *frontEnd) kill() {
	f.expectEnd()
	f.setAccess(noRequests)
	f.signal(syscall.SIGKILL)
	<-f.exitedChannel()
}

// terminate asks the process to end at the end of the run, when clients send nothing new, and waits until it has.
func (f *frontEnd) terminate() {
	f.expectEnd()
	f.setAccess(noRequests)
	f.signal(syscall.SIGTERM)
	select {
	case <-f.exitedChannel():
	case <-time.After(endsWithin):
		f.run.history.Fault(fmt.Sprintf("front end %d did not end in %v after SIGTERM", f.index, endsWithin))
		f.signal(syscall.SIGKILL)
		<-f.exitedChannel()
	}
}

// expectEnd notes that the process is about to be ended.
func (f *frontEnd) expectEnd() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopping = true
}

func (f *frontEnd) exitedChannel() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.exited
}
