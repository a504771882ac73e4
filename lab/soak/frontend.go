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

// Timeouts for the start and the end of a front end's process.
const (
	readyTimeout     = 10 * time.Second
	terminateTimeout = 6 * time.Second // profile.killAfter and a margin, counted from SIGTERM
)

// frontEnd is one front end. Its process may be started several times.
type frontEnd struct {
	index   int
	address string // address for clients; stays the same after a restart
	path    string // the configuration file's path
	run     *run

	mu           sync.Mutex
	process      *exec.Cmd
	exited       chan struct{} // closed when the process has ended
	stopping     bool          // the process was told to end
	access       clientAccess
	trafficSpike bool // clients send trafficSpikeFactor times the usual requests
}

// clientAccess is what clients may do with a front end. Each value includes what the ones before it allow.
type clientAccess int

const (
	noRequests      clientAccess = iota
	openConnections              // clients may send requests on open connections, but make no new ones
	allConnections
)

// start starts the process with the current endpoint list, and waits until it is ready to serve.
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
		f.checkExit(command.Wait())
	})
	select {
	case <-ready:
	case <-exited:
		return fmt.Errorf("soak: front end %d exited during start-up", f.index)
	case <-time.After(readyTimeout):
		return fmt.Errorf("soak: front end %d did not become ready in time", f.index)
	}
	f.setAccess(allConnections)
	return nil
}

// writeConfig replaces the configuration file atomically. The process reads it at its start and on SIGHUP.
func (f *frontEnd) writeConfig() error {
	settings := frontEndSettings{
		index:           f.index,
		count:           f.run.config.FrontEnds,
		listen:          f.address,
		discovery:       f.run.endpoints.server.Address(),
		seed:            uint64(f.index) + f.run.config.Seed<<16,
		connectTimeout:  f.run.connectTimeout,
		profile:         f.run.profile,
		hasHealthChecks: f.run.config.Seed%noHealthChecksEvery != 0,
		known:           f.run.endpoints.snapshot(),
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

// logLine holds the fields that readLog uses of a line of the process's log.
type logLine struct {
	Message string `json:"message"`
	Counts  struct {
		Violations map[string]uint64
	} `json:"counts"`
}

// readLog reads the process's log to its end and stores a copy. It closes ready when the process is ready to serve, and
// records panics and the violations that the process counts itself.
func (f *frontEnd) readLog(lines *bufio.Scanner, ready chan<- struct{}) {
	lines.Buffer(nil, 1<<20)
	logFile, err := os.Create(filepath.Join(f.run.directory, fmt.Sprintf("n%d-%d.log", f.index, f.run.history.Now().Milliseconds())))
	if err == nil {
		defer func() { _ = logFile.Close() }()
	}
	for lines.Scan() {
		if logFile != nil {
			_, _ = logFile.WriteString(lines.Text() + "\n")
		}
		var line logLine
		_ = json.Unmarshal(lines.Bytes(), &line) // other lines have neither field
		if line.Message == "running" {
			close(ready)
		}
		if len(line.Counts.Violations) > 0 {
			f.run.history.RecordViolation(fmt.Sprintf("front end %d reports invariant violations: %v", f.index, line.Counts.Violations))
		}
		if strings.HasPrefix(lines.Text(), "panic:") || strings.HasPrefix(lines.Text(), "fatal error:") {
			f.run.history.RecordViolation(fmt.Sprintf("front end %d: %s", f.index, lines.Text()))
		}
	}
}

// checkExit records an unexpected exit of the process, and an expected one with an error, unless the process was
// killed.
func (f *frontEnd) checkExit(err error) {
	f.mu.Lock()
	stopping := f.stopping
	f.mu.Unlock()
	f.setAccess(noRequests)
	switch {
	case !stopping:
		f.run.history.RecordViolation(fmt.Sprintf("front end %d exited unexpectedly: %v", f.index, err))
	case err != nil && !strings.Contains(err.Error(), "killed"):
		f.run.history.RecordViolation(fmt.Sprintf("front end %d exited with %v", f.index, err))
	}
}

func (f *frontEnd) setAccess(access clientAccess) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.access = access
}

// refuseConnects keeps clients from making new connections.
func (f *frontEnd) refuseConnects() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.access = min(f.access, openConnections)
}

// permits reports whether clients have at least the given access.
func (f *frontEnd) permits(access clientAccess) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.access >= access
}

// setTrafficSpike starts or ends a traffic spike of the front end's clients.
func (f *frontEnd) setTrafficSpike(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trafficSpike = on
}

func (f *frontEnd) inTrafficSpike() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.trafficSpike
}

// signal sends a signal to the process. It has no effect if the process has ended.
func (f *frontEnd) signal(signal syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.process.Process.Signal(signal) // fails if the process has ended
}

// kill kills the process and waits until it has ended.
func (f *frontEnd) kill() {
	f.expectExit()
	f.setAccess(noRequests)
	f.signal(syscall.SIGKILL)
	<-f.exitedChannel()
}

// terminate sends SIGTERM to the process at the end of the run, when clients send no more requests, and waits until the
// process has ended. It kills a process that does not end within terminateTimeout.
func (f *frontEnd) terminate() {
	f.expectExit()
	f.setAccess(noRequests)
	f.signal(syscall.SIGTERM)
	select {
	case <-f.exitedChannel():
	case <-time.After(terminateTimeout):
		f.run.history.RecordViolation(fmt.Sprintf("front end %d did not exit within %v of SIGTERM", f.index, terminateTimeout))
		f.signal(syscall.SIGKILL)
		<-f.exitedChannel()
	}
}

// expectExit marks the process's next exit as intended, so that checkExit does not record it.
func (f *frontEnd) expectExit() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopping = true
}

// exitedChannel returns a channel that is closed when the current process has ended.
func (f *frontEnd) exitedChannel() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.exited
}
