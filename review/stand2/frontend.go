//go:build review

package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// frontEnd is a process that the deploy file's run command starts.
type frontEnd struct {
	address   string
	directory string // temporary; holds the configuration and the log
	config    map[string]any
	command   *exec.Cmd
	exited    chan struct{}
}

// started holds all front ends that were started, for killAll.
var (
	startedMu sync.Mutex
	started   []*frontEnd
)

// killAll kills the front ends that run.
func killAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, f := range started {
		f.signal(syscall.SIGKILL)
		_ = os.RemoveAll(f.directory)
	}
}

// host is an executor as the configuration lists it.
type host struct {
	ID      uint32
	Address string
	Cell    int
	Site    string
	Born    int64
	Health  string // "" for up
}

// known returns the part of the configuration with the list of executors as event 1.
func known(hosts []host) map[string]any {
	list := []map[string]any{}
	for _, h := range hosts {
		list = append(list, map[string]any{
			"host": fmt.Sprintf("s-%08x", h.ID), "dial": h.Address, "site": h.Site, "class": "std", "block": h.Cell,
			"health": cmp.Or(h.Health, "up"), "share": 1, "born_ms": h.Born,
		})
	}
	roster := map[string]any{"seq": 1, "whole": true, "hosts": list}
	return map[string]any{"no": 1, "items": []any{map[string]any{"no": 1, "roster": roster}}}
}

// runCommand returns the run line of the deploy file.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if found == nil {
		return "", errors.New("deploy/balancer.toml has no run line")
	}
	return string(found[1]), nil
}

// anyCore lets a front end run on all cores.
const anyCore = -1

// startOnCore starts a command that runs on one core, which front ends share on the platform, or on all if core is anyCore.
func startOnCore(command *exec.Cmd, core int) error {
	if core == anyCore {
		return command.Start()
	}
	runtime.LockOSThread() // the thread ends with the goroutine, as it is not unlocked if its cores can't be restored
	var before, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		return err
	}
	for cpu := range 1024 {
		if before.IsSet(cpu) {
			if core == 0 {
				one.Set(cpu)
				break
			}
			core--
		}
	}
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return err
	}
	err := command.Start()
	if restoreErr := unix.SchedSetaffinity(0, &before); restoreErr == nil {
		runtime.UnlockOSThread()
	}
	return err
}

// startFrontEnd starts a front end, on all cores, and waits until it answers a heartbeat with true.
func startFrontEnd(settings map[string]any, bulletin string, hosts []host) (*frontEnd, error) {
	return startFrontEndOn(anyCore, settings, bulletin, hosts)
}

// startFrontEndOn starts a front end on one core.
func startFrontEndOn(core int, settings map[string]any, bulletin string, hosts []host) (*frontEnd, error) {
	return startConfigured(core, map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, settings, bulletin, hosts)
}

// startLimitedFrontEnd starts a front end with other limits than the usual ones.
func startLimitedFrontEnd(memoryMB, descriptors int, settings map[string]any, bulletin string, hosts []host) (*frontEnd, error) {
	return startConfigured(anyCore, map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": descriptors}, settings, bulletin, hosts)
}

func startConfigured(core int, limits, settings map[string]any, bulletin string, hosts []host) (*frontEnd, error) {
	run, err := runCommand()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &frontEnd{address: listener.Addr().String()}
	_ = listener.Close()
	if f.directory, err = os.MkdirTemp("", "stand2-"); err != nil {
		return nil, err
	}
	f.config = map[string]any{
		"name": "n0", "listen": f.address, "bulletin": bulletin, "settings": settings, "limits": limits,
	}
	if err := f.writeConfig(hosts); err != nil {
		return nil, err
	}
	if err := f.launch(run, core); err != nil {
		return nil, err
	}
	startedMu.Lock()
	started = append(started, f)
	startedMu.Unlock()
	return f, f.awaitReady()
}

// writeConfig writes the configuration for a start, with the executors that are known then.
func (f *frontEnd) writeConfig(hosts []host) error {
	f.config["known"] = known(hosts)
	f.config["seed"] = fmt.Sprintf("%016x", time.Now().UnixNano())
	text, err := json.Marshal(f.config)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(f.directory, "config.json"), text, 0o600)
}

// launch starts the process.
func (f *frontEnd) launch(run string, core int) error {
	log, err := os.OpenFile(filepath.Join(f.directory, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command, exited := exec.Command("/bin/sh", "-c", run), make(chan struct{})
	command.Env = append(os.Environ(), "RELAY_CONFIG="+filepath.Join(f.directory, "config.json"), "RELAY_NAME=n0", "RELAY_LISTEN="+f.address)
	command.Stdout, command.Stderr = log, log
	if err := startOnCore(command, core); err != nil {
		return err
	}
	f.command, f.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// restart kills the process and starts it again, with the executors that are known then.
func (f *frontEnd) restart(hosts []host) error {
	run, err := runCommand()
	if err != nil {
		return err
	}
	if err := f.writeConfig(hosts); err != nil {
		return err
	}
	f.signal(syscall.SIGKILL)
	<-f.exited
	if err := f.launch(run, anyCore); err != nil {
		return err
	}
	return f.awaitReady()
}

// awaitReady waits until the front end answers a heartbeat with true.
func (f *frontEnd) awaitReady() error {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if f.isReady() {
			return nil
		}
	}
	f.stop()
	return errors.New("the front end is not ready within 10 s")
}

func (f *frontEnd) isReady() bool {
	client, err := dialClient(f.address, nil)
	if err != nil {
		return false
	}
	defer client.close()
	return client.heartbeat()
}

// signal sends a signal to the process that run started.
func (f *frontEnd) signal(signal syscall.Signal) { _ = f.command.Process.Signal(signal) }

// hasExited reports whether the process has ended.
func (f *frontEnd) hasExited() bool {
	select {
	case <-f.exited:
		return true
	default:
		return false
	}
}

// stop kills the process and removes its folder, unless KEEP is set.
func (f *frontEnd) stop() {
	f.signal(syscall.SIGKILL)
	<-f.exited
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", f.directory)
		return
	}
	_ = os.RemoveAll(f.directory)
}
