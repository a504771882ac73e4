//go:build review

package kit

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"time"
)

// FrontEnd is one front end, started by the run line of the deploy file.
type FrontEnd struct {
	Name    string
	Address string
	config  string
	dir     string
	logs    *os.File
	process *exec.Cmd
	exited  chan struct{}
	root    string
	line    string
}

// FrontEndConfig is what a front end is told.
type FrontEndConfig struct {
	Ordinal  int
	Memory   int
	Sockets  int
	Cores    float64
	Bulletin string
	Known    []*Executor
	Zones    []string
	Kind     string
	Settings map[string]any
}

// RunLine returns the run line of the deploy file below root.
func RunLine(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if found == nil {
		return "", errors.New("the deploy file has no run line")
	}
	return string(found[1]), nil
}

// StartFrontEnd starts a front end whose files are in dir.
func StartFrontEnd(root, dir string, config FrontEndConfig) (*FrontEnd, error) {
	line, err := RunLine(root)
	if err != nil {
		return nil, err
	}
	probe, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	address := probe.Addr().String()
	_ = probe.Close()
	f := &FrontEnd{Name: "n" + strconv.Itoa(config.Ordinal+1), Address: address, dir: dir}
	f.config = filepath.Join(dir, f.Name+".json")
	if err := f.configure(config); err != nil {
		return nil, err
	}
	if f.logs, err = os.Create(filepath.Join(dir, f.Name+".log")); err != nil {
		return nil, err
	}
	f.root, f.line = root, line
	return f, f.start()
}

// start starts the process and waits until it is ready.
func (f *FrontEnd) start() error {
	f.process = exec.Command("/bin/sh", "-c", f.line)
	f.process.Dir = f.root
	f.process.Env = append(os.Environ(), "RELAY_CONFIG="+f.config, "RELAY_NAME="+f.Name, "RELAY_LISTEN="+f.Address, "TMPDIR="+f.dir)
	f.process.Stdout, f.process.Stderr = f.logs, f.logs
	if err := f.process.Start(); err != nil {
		return err
	}
	f.exited = make(chan struct{})
	go func() {
		_ = f.process.Wait()
		close(f.exited)
	}()
	for range 100 {
		if IsReady(f.Address) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", f.Name)
}

// configure writes the configuration file.
func (f *FrontEnd) configure(config FrontEndConfig) error {
	hosts := []map[string]any{}
	for _, e := range config.Known {
		hosts = append(hosts, map[string]any{
			"host": e.Name(), "dial": e.Path.Address(), "site": config.Zones[e.Zone], "class": config.Kind, "block": e.Cell,
			"health": "up", "share": 1, "born_ms": 0,
		})
	}
	text, err := json.MarshalIndent(map[string]any{
		"name": f.Name, "listen": f.Address, "seed": RandomHex(16),
		"limits":   map[string]any{"cores": config.Cores, "memory_mb": config.Memory, "sockets": config.Sockets},
		"bulletin": config.Bulletin,
		"known": map[string]any{"no": 1, "items": []any{
			map[string]any{"no": 1, "roster": map[string]any{"seq": 1, "whole": true, "hosts": hosts}},
		}},
		"settings": config.Settings,
	}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(f.config, text, 0o644)
}

// HasExited reports whether the process has ended.
func (f *FrontEnd) HasExited() bool {
	select {
	case <-f.exited:
		return true
	default:
		return false
	}
}

// Kill ends the process at once.
func (f *FrontEnd) Kill() {
	if f == nil || f.process == nil || f.process.Process == nil {
		return
	}
	_ = f.process.Process.Kill()
	<-f.exited
}

// AnonymousKB returns the anonymous memory of the front end's process, without the pages of its program file, in kB.
func (f *FrontEnd) AnonymousKB() (kb int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.process.Process.Pid))
	if found := regexp.MustCompile(`(?m)^RssAnon:\s*(\d+) kB$`).FindSubmatch(text); found != nil {
		kb, _ = strconv.Atoi(string(found[1]))
	}
	return kb
}
