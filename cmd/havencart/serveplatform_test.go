package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"havencart/internal/platform/workerframe"
	"havencart/lab/platformdiscovery"
	"havencart/lab/platformworker"
)

// These tests check how the process that the platform starts handles signals, and check its exit codes and its log.

// envRunAsFrontEnd is the environment variable that makes the test binary run as a front end. The command is "relay",
// the alias that deploy/balancer.toml uses.
const envRunAsFrontEnd = "HAVENCART_TEST_AS_FRONT_END"

// envRunAsFlood is the environment variable that makes the test binary run flooding clients.
const envRunAsFlood = "HAVENCART_TEST_AS_FLOOD"

func TestMain(m *testing.M) {
	if os.Getenv(envRunAsFrontEnd) != "" {
		os.Args = []string{"havencart", "relay"}
		main()
	}
	if os.Getenv(envRunAsFlood) != "" {
		os.Args = append([]string{"havencart", "flood"}, os.Args[1:]...)
		main()
		return
	}
	os.Exit(m.Run())
}

const platformConfig = `{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
	"limits":{"cores":1,"memory_mb":256,"sockets":256},"bulletin":%q,
	"known":{"no":1,"items":[{"no":1,"roster":{"seq":1,"whole":true,"hosts":[
	{"host":"s-00000001","dial":%q,"site":"room","class":"std","block":0,"health":"up","share":1,"born_ms":0}]}}]},
	"settings":{"azs":["room"],"skus":["std"],"limits":{"streamsPerConn":32,"connectTimeout":2000.0,"connIdle":30000.0},
	"familyInfo":{"keep":8000.0},"classes":[{"name":"quote","deadline":20000.0,"repeat":"retryable","worth":2.0}]}}`

// process is a front end that runs as a separate process, as on the platform.
type process struct {
	*exec.Cmd
	t      *testing.T
	config string // path of the configuration file
	log    *bufio.Scanner
}

// floodCommandOfTest returns a command that runs flooding clients, to which arguments are appended.
func floodCommandOfTest() *exec.Cmd {
	command := exec.Command(os.Args[0])
	command.Env = []string{envRunAsFlood + "=1"}
	return command
}

// frontEndCommand returns a command that runs this test's program as a front end.
func frontEndCommand() *exec.Cmd {
	command := exec.Command(os.Args[0])
	command.Env = []string{envRunAsFrontEnd + "=1"}
	return command
}

// startProcess starts a front end with the given configuration.
func startProcess(t *testing.T, config string) *process {
	t.Helper()
	p := &process{Cmd: exec.Command(os.Args[0]), t: t, config: filepath.Join(t.TempDir(), "config.json")}
	p.writeConfig(config)
	p.Env = append(os.Environ(), envRunAsFrontEnd+"=1", "RELAY_CONFIG="+p.config)
	log, err := p.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	p.log = bufio.NewScanner(log)
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Process.Kill() }) // fails if the process has already exited
	return p
}

func (p *process) writeConfig(config string) {
	p.t.Helper()
	if err := os.WriteFile(p.config, []byte(config), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

func (p *process) signal(s os.Signal) {
	p.t.Helper()
	if err := p.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Fatal(err)
	}
}

// waitForLog waits for a log line that contains text, and returns the fields of the line.
func (p *process) waitForLog(text string) map[string]any {
	p.t.Helper()
	for p.log.Scan() {
		if strings.Contains(p.log.Text(), text) {
			fields := map[string]any{}
			_ = json.Unmarshal(p.log.Bytes(), &fields) // a line that is not JSON has no fields
			return fields
		}
	}
	p.t.Fatalf("the process exited without logging %q", text)
	return nil
}

// waitForExit waits for the process to exit and returns its exit code.
func (p *process) waitForExit() int {
	p.t.Helper()
	for p.log.Scan() {
	}
	var exit *exec.ExitError
	if err := p.Wait(); err != nil && !errors.As(err, &exit) {
		p.t.Fatal(err)
	}
	return p.ProcessState.ExitCode()
}

// rpcClient is a client with one connection.
type rpcClient struct {
	net.Conn
	t      *testing.T
	dec    *msgpack.Decoder
	lastID int
}

func (p *process) connect(address string) *rpcClient {
	p.t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = c.Close() })
	return &rpcClient{Conn: c, t: p.t, dec: msgpack.NewDecoder(c)}
}

// send sends a request, waits for the response and returns its failure and its result.
func (c *rpcClient) send(method string, parameters ...any) (failure, result any) {
	c.t.Helper()
	c.lastID++
	c.writeMessage([]any{0, c.lastID, method, parameters})
	response, err := c.dec.DecodeSlice()
	if err != nil || len(response) != 4 {
		c.t.Fatalf("response to %s is %v, %v", method, response, err)
	}
	return response[2], response[3]
}

func (c *rpcClient) writeMessage(message []any) {
	c.t.Helper()
	raw, err := msgpack.Marshal(message)
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := c.Write(raw); err != nil {
		c.t.Fatal(err)
	}
}

func (c *rpcClient) call(id int) (failure, result any) {
	c.t.Helper()
	return c.send("quote", map[string]string{"id": fmt.Sprintf("%016x", id), "wait": "20000", "key": "7f3a9c21e0b4d655"}, []byte("body"))
}

func (c *rpcClient) isReady() bool {
	c.t.Helper()
	_, result := c.send("heartbeat", map[string]string{})
	list, is := result.([]any)
	return is && len(list) > 0 && list[0] == true
}

func startPeers(t *testing.T) (*platformdiscovery.Server, *platformworker.Server) {
	t.Helper()
	discovery, err := platformdiscovery.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Close)
	worker, err := platformworker.Start(func(c *platformworker.Conn, f workerframe.Frame) {
		c.Respond(workerframe.Frame{Code: workerframe.OK, ID: f.ID, Body: f.Body})
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(worker.Close)
	return discovery, worker
}

// The signals are a second SIGTERM and a SIGHUP, both sent after the first SIGTERM has started the shutdown.
func TestServePlatform_SignalsDuringShutdown_AreIgnored(t *testing.T) {
	discovery, worker := startPeers(t)
	p := startProcess(t, fmt.Sprintf(platformConfig, discovery.Address(), worker.Address()))
	c := p.connect(p.waitForLog("running")["listen"].(string))
	if !c.isReady() {
		t.Error("the front end is not ready after its start")
	}
	if failure, _ := c.call(1); failure != nil {
		t.Errorf("a request before the shutdown failed: %v", failure)
	}
	p.signal(syscall.SIGTERM)
	p.waitForLog("stopping")
	p.signal(syscall.SIGTERM)
	p.signal(syscall.SIGHUP)
	if code := p.waitForExit(); code != 0 {
		t.Errorf("ended with code %d", code)
	}
}

// Discovery is unreachable, and no client connects.
func TestServePlatform_StopWithoutDiscoveryOrClients_ExitsCleanly(t *testing.T) {
	p := startProcess(t, fmt.Sprintf(platformConfig, "127.0.0.1:1", "127.0.0.1:1"))
	p.waitForLog("running")
	p.signal(syscall.SIGTERM)
	if code := p.waitForExit(); code != 0 {
		t.Errorf("ended with code %d", code)
	}
}

// The reloads read a truncated file, then the configuration of another deployment, and then a valid file twice in a
// row.
func TestServePlatform_InvalidReload_KeepsConfiguration(t *testing.T) {
	discovery, worker := startPeers(t)
	newDiscovery, _ := startPeers(t)
	config := fmt.Sprintf(platformConfig, discovery.Address(), worker.Address())
	p := startProcess(t, config)
	address := p.waitForLog("running")["listen"].(string)
	if last := <-discovery.Resumed(); last != 1 {
		t.Errorf("the front end resumed the endpoint stream from event %d, want 1", last)
	}
	newConfig := fmt.Sprintf(platformConfig, newDiscovery.Address(), worker.Address())
	p.writeConfig(newConfig[:len(newConfig)/2])
	p.signal(syscall.SIGHUP)
	p.waitForLog("configuration reload failed; keeping the current configuration")
	p.writeConfig(strings.Replace(newConfig, `"name":"quote"`, `"name":"another customer's"`, 1))
	p.signal(syscall.SIGHUP)
	if field := p.waitForLog("new configuration ignored")["field"]; field != "settings.classes" {
		t.Errorf("the log names %v as the setting that differs, want settings.classes", field)
	}
	p.writeConfig(newConfig)
	p.signal(syscall.SIGHUP)
	p.signal(syscall.SIGHUP)
	if last := <-newDiscovery.Resumed(); last != 1 {
		t.Errorf("the front end resumed the endpoint stream at the new address from event %d, want 1", last)
	}
	if failure, _ := p.connect(address).call(1); failure != nil {
		t.Errorf("a request after the reloads failed: %v", failure)
	}
	if len(discovery.Resumed()) > 0 {
		t.Error("the front end connected to the old address again")
	}
	p.signal(syscall.SIGTERM)
	if code := p.waitForExit(); code != 0 {
		t.Errorf("ended with code %d", code)
	}
}

// The error message names the invalid setting.
func TestServePlatform_InvalidConfiguration_ExitsBeforeListening(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	// The listener occupies the front end's address: a front end that listens before it checks its configuration would
	// report that the address is in use.
	defer func() { _ = listener.Close() }()
	config := fmt.Sprintf(platformConfig, "127.0.0.1:1", "127.0.0.1:1")
	config = strings.Replace(config, "127.0.0.1:0", listener.Addr().String(), 1)
	for change, field := range map[[2]string]string{
		{`"deadline":20000.0`, `"deadline":-1`}: "settings.classes[0].deadline",
		{`"health":"up"`, `"health":"fine"`}:    "known",
	} {
		p := startProcess(t, strings.Replace(config, change[0], change[1], 1))
		p.waitForLog(field)
		if code := p.waitForExit(); code != exitSettings {
			t.Errorf("the front end with %s exited with code %d, want %d", change[1], code, exitSettings)
		}
	}
}

// collectLog reads the log until the process exits, and returns the lines that contain one of the texts.
func (p *process) collectLog(texts ...string) (lines []string) {
	for p.log.Scan() {
		if slices.ContainsFunc(texts, func(text string) bool { return strings.Contains(p.log.Text(), text) }) {
			lines = append(lines, p.log.Text())
		}
	}
	return lines
}
