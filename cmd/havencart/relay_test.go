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
	"strings"
	"syscall"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"havencart/internal/platform/workerframe"
	"havencart/lab/platformdiscovery"
	"havencart/lab/platformworker"
)

// These tests are of the process that the platform starts: its signals, its exit and what it says.

const asRelay = "HAVENCART_TEST_AS_RELAY"

func TestMain(m *testing.M) {
	if os.Getenv(asRelay) != "" {
		os.Args = []string{"havencart", "relay"}
		main()
	}
	os.Exit(m.Run())
}

const relayConfig = `{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
	"limits":{"cores":1,"memory_mb":256,"sockets":256},"bulletin":%q,
	"known":{"no":1,"items":[{"no":1,"roster":{"seq":1,"whole":true,"hosts":[
	{"host":"s-00000001","dial":%q,"site":"room","class":"std","block":0,"health":"up","share":1,"born_ms":0}]}}]},
	"settings":{"azs":["room"],"skus":["std"],"limits":{"streamsPerConn":32,"connectTimeout":2000.0,"connIdle":30000.0},
	"familyInfo":{"keep":8000.0},"classes":[{"name":"quote","deadline":20000.0,"repeat":"retryable","worth":2.0}]}}`

// process is a front end as the platform starts it.
type process struct {
	*exec.Cmd
	t      *testing.T
	config string
	log    *bufio.Scanner
}

// started starts one with a configuration.
func started(t *testing.T, config string) *process {
	t.Helper()
	p := &process{Cmd: exec.Command(os.Args[0]), t: t, config: filepath.Join(t.TempDir(), "config.json")}
	p.write(config)
	p.Env = append(os.Environ(), asRelay+"=1", "RELAY_CONFIG="+p.config)
	log, err := p.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	p.log = bufio.NewScanner(log)
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Process.Kill() }) // fails where it has ended
	return p
}

func (p *process) write(config string) {
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

// says waits for a line of the log with this text, and returns its fields.
func (p *process) says(text string) map[string]any {
	p.t.Helper()
	for p.log.Scan() {
		if strings.Contains(p.log.Text(), text) {
			fields := map[string]any{}
			_ = json.Unmarshal(p.log.Bytes(), &fields) // a line that is no JSON has no fields
			return fields
		}
	}
	p.t.Fatalf("it ended without saying %q", text)
	return nil
}

// ends waits for its end and returns its exit code.
func (p *process) ends() int {
	p.t.Helper()
	for p.log.Scan() {
	}
	var exit *exec.ExitError
	if err := p.Wait(); err != nil && !errors.As(err, &exit) {
		p.t.Fatal(err)
	}
	return p.ProcessState.ExitCode()
}

// client is one client's connection.
type caller struct {
	net.Conn
	t      *testing.T
	dec    *msgpack.Decoder
	number int
}

func (p *process) connect(address string) *caller {
	p.t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { c.Close() })
	return &caller{Conn: c, t: p.t, dec: msgpack.NewDecoder(c)}
}

// ask sends a request and returns what the answer holds.
func (c *caller) ask(method string, parameters ...any) (failure, result any) {
	c.t.Helper()
	c.number++
	raw, err := msgpack.Marshal([]any{0, c.number, method, parameters})
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := c.Write(raw); err != nil {
		c.t.Fatal(err)
	}
	answer, err := c.dec.DecodeSlice()
	if err != nil || len(answer) != 4 {
		c.t.Fatalf("%s was answered %v, %v", method, answer, err)
	}
	return answer[2], answer[3]
}

func (c *caller) call(id int) (failure, result any) {
	c.t.Helper()
	return c.ask("quote", map[string]string{"id": fmt.Sprintf("%016x", id), "wait": "20000", "key": "7f3a9c21e0b4d655"}, []byte("body"))
}

func (c *caller) well() bool {
	c.t.Helper()
	_, result := c.ask("heartbeat", map[string]string{})
	list, is := result.([]any)
	return is && len(list) > 0 && list[0] == true
}

func stands(t *testing.T) (*platformdiscovery.Server, *platformworker.Server) {
	t.Helper()
	board, err := platformdiscovery.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(board.Close)
	worker, err := platformworker.Start(func(c *platformworker.Conn, f workerframe.Frame) {
		c.Answer(workerframe.Frame{Code: workerframe.OK, ID: f.ID, Body: f.Body})
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(worker.Close)
	return board, worker
}

// TestSignalsWhileItStopsChangeNothing: a second SIGTERM and a SIGHUP, behind the first one.
func TestSignalsWhileItStopsChangeNothing(t *testing.T) {
	board, worker := stands(t)
	p := started(t, fmt.Sprintf(relayConfig, board.Address(), worker.Address()))
	c := p.connect(p.says("running")["listen"].(string))
	if !c.well() {
		t.Error("not well at the start")
	}
	if failure, _ := c.call(1); failure != nil {
		t.Errorf("before the stop: %v", failure)
	}
	p.signal(syscall.SIGTERM)
	p.says("stopping")
	p.signal(syscall.SIGTERM)
	p.signal(syscall.SIGHUP)
	if code := p.ends(); code != 0 {
		t.Errorf("ended with code %d", code)
	}
}

// TestAStopBeforeAnythingElseEndsByItself: the list's service is down, and nobody ever came.
func TestAStopBeforeAnythingElseEndsByItself(t *testing.T) {
	p := started(t, fmt.Sprintf(relayConfig, "127.0.0.1:1", "127.0.0.1:1"))
	p.says("running")
	p.signal(syscall.SIGTERM)
	if code := p.ends(); code != 0 {
		t.Errorf("ended with code %d", code)
	}
}

// TestAReloadThatCannotBeReadChangesNothing: half written, of another customer, then right, and twice at once.
func TestAReloadThatCannotBeReadChangesNothing(t *testing.T) {
	board, worker := stands(t)
	next, _ := stands(t)
	config := fmt.Sprintf(relayConfig, board.Address(), worker.Address())
	p := started(t, config)
	address := p.says("running")["listen"].(string)
	if last := <-board.Asked(); last != 1 {
		t.Errorf("asked from %d", last)
	}
	moved := fmt.Sprintf(relayConfig, next.Address(), worker.Address())
	p.write(moved[:len(moved)/2])
	p.signal(syscall.SIGHUP)
	p.says("the configuration stays as it was")
	p.write(strings.Replace(moved, `"name":"quote"`, `"name":"another customer's"`, 1))
	p.signal(syscall.SIGHUP)
	if field := p.says("the configuration stays as it was")["field"]; field != "settings.classes" {
		t.Errorf("the field that differs is told as %v", field)
	}
	p.write(moved)
	p.signal(syscall.SIGHUP)
	p.signal(syscall.SIGHUP)
	if last := <-next.Asked(); last != 1 {
		t.Errorf("at the new address asked from %d", last)
	}
	if failure, _ := p.connect(address).call(1); failure != nil {
		t.Errorf("after reloads: %v", failure)
	}
	if len(board.Asked()) > 0 {
		t.Error("the old address was asked again")
	}
	p.signal(syscall.SIGTERM)
	if code := p.ends(); code != 0 {
		t.Errorf("ended with code %d", code)
	}
}

// TestAWrongConfigurationEndsTheStart with one message that names the field, and before it listens.
func TestAWrongConfigurationEndsTheStart(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close() // its address is taken: one that listens first would say so
	config := fmt.Sprintf(relayConfig, "127.0.0.1:1", "127.0.0.1:1")
	config = strings.Replace(config, "127.0.0.1:0", l.Addr().String(), 1)
	for change, field := range map[[2]string]string{
		{`"deadline":20000.0`, `"deadline":-1`}: "settings.classes[0].deadline",
		{`"health":"up"`, `"health":"fine"`}:    "known",
	} {
		p := started(t, strings.Replace(config, change[0], change[1], 1))
		p.says(field)
		if code := p.ends(); code != exitSettings {
			t.Errorf("with %s ended with code %d", change[1], code)
		}
	}
}
