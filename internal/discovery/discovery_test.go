package discovery_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"havencart/internal/discovery"
	lab "havencart/lab/discoveryserver"
	"havencart/scheduler"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const waitLimit = 20 * time.Second

// recordingSink records each report, and the list that results from it in the order of the workers' names.
type recordingSink struct {
	reports  chan []discovery.Worker
	lists    chan []discovery.Worker
	failures chan error
	listed   map[string]discovery.Worker // current list by name; used only by the source's goroutine
}

func (sink recordingSink) EndpointsListed(l []discovery.Worker) {
	clear(sink.listed)
	sink.EndpointsUpdated(l)
}

func (sink recordingSink) EndpointsUpdated(changed []discovery.Worker) {
	for _, worker := range changed {
		if sink.listed[worker.Name] = worker; worker.State == scheduler.Removed {
			delete(sink.listed, worker.Name)
		}
	}
	var list []discovery.Worker
	for _, name := range slices.Sorted(maps.Keys(sink.listed)) {
		list = append(list, sink.listed[name])
	}
	sink.reports <- changed
	sink.lists <- list
}

func (sink recordingSink) WatchFailed(err error) { sink.failures <- err }

func (recordingSink) ListRequested(time.Time) {}

func (recordingSink) ListConfirmed(time.Time) {}

func (sink recordingSink) list(t *testing.T) []discovery.Worker {
	t.Helper()
	select {
	case l := <-sink.lists:
		return l
	case <-time.After(waitLimit):
		t.Fatalf("no list was reported within %v", waitLimit)
		return nil
	}
}

func (sink recordingSink) failure(t *testing.T) error {
	t.Helper()
	select {
	case err := <-sink.failures:
		return err
	case <-time.After(waitLimit):
		t.Fatalf("no failure was reported within %v", waitLimit)
		return nil
	}
}

func follow(t *testing.T, source discovery.Source) recordingSink {
	t.Helper()
	sink := recordingSink{
		make(chan []discovery.Worker, 100), make(chan []discovery.Worker, 100), make(chan error, 100), map[string]discovery.Worker{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); source.Run(ctx, sink) }()
	t.Cleanup(func() { cancel(); <-done })
	return sink
}

// summary gives the name and state of each worker as NAME:STATE, separated by blanks.
func summary(list []discovery.Worker) string {
	var all []string
	for _, w := range list {
		all = append(all, fmt.Sprintf("%s:%d", w.Name, w.State))
	}
	return strings.Join(all, " ")
}

func startConsul(t *testing.T, n int) (*lab.Server, recordingSink, *discovery.Consul) {
	t.Helper()
	server, err := lab.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	for i := range n {
		server.Set(entry(i+1, scheduler.Ready))
	}
	c := discovery.NewConsul(server.URL(), "workers", "test")
	return server, follow(t, c), c
}

func entry(i int, state scheduler.WorkerState) lab.Entry {
	return lab.Entry{
		Name: fmt.Sprint("w", i), Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Cell: "c", State: state,
		Started: time.UnixMilli(1000),
	}
}

func TestConsul_EntriesChange_ReportsEachList(t *testing.T) {
	server, sink, _ := startConsul(t, 2)
	list := sink.list(t)
	if summary(list) != "w1:1 w2:1" || list[0].Cell != "c" || !list[0].Started.Equal(time.UnixMilli(1000)) {
		t.Fatalf("unexpected first list %+v", list)
	}
	server.Set(entry(1, scheduler.Draining))
	if got := summary(sink.list(t)); got != "w1:2 w2:1" {
		t.Error(got)
	}
	server.Set(entry(1, scheduler.Removed))
	if got := summary(sink.list(t)); got != "w2:1" {
		t.Error(got)
	}
	critical := entry(2, scheduler.Removed)
	critical.Critical = true
	server.Set(critical)
	if got := summary(sink.list(t)); got != "" {
		t.Error(got)
	}
	for _, want := range []string{"w1:1 w2:1", "w1:2", "w1:3", "w2:3"} {
		if got := summary(<-sink.reports); got != want {
			t.Errorf("reported %s, want %s", got, want)
		}
	}
}

func TestConsul_PartialList_ReportedThenReversed(t *testing.T) {
	server, sink, _ := startConsul(t, 4)
	sink.list(t)
	server.SetListedShare(0.5)
	if got := summary(sink.list(t)); got != "w1:1 w2:1" {
		t.Error(got)
	}
	server.SetListedShare(1)
	if got := summary(sink.list(t)); got != "w1:1 w2:1 w3:1 w4:1" {
		t.Error(got)
	}
}

func TestConsul_ServerDown_RetriesOnRefresh(t *testing.T) {
	server, sink, c := startConsul(t, 1)
	sink.list(t)
	server.SetDown(true)
	_ = sink.failure(t)
	c.Refresh()
	_ = sink.failure(t)
	server.SetDown(false)
	c.Refresh()
	if got := summary(sink.list(t)); got != "w1:1" {
		t.Error(got)
	}
}

func TestConsul_IndexDecreases_ReportsLaterChange(t *testing.T) {
	server, sink, _ := startConsul(t, 3)
	sink.list(t)
	server.ResetIndex()
	server.Set(entry(3, scheduler.Draining))
	for range 3 { // the list from before the reset may be reported again
		if got := summary(sink.list(t)); got == "w1:1 w2:1 w3:2" {
			return
		}
	}
	t.Error("the change after the index was reset was not reported")
}

func TestParseConsul_MalformedResponse_WrapsErrMalformed(t *testing.T) {
	for name, body := range map[string]string{
		"not JSON":        "<html>",
		"no address":      `[{"Service":{"ID":"w1"}}]`,
		"same name twice": `[{"Service":{"ID":"w","Address":"h","Port":1}},{"Service":{"ID":"w","Address":"h","Port":2}}]`,
		"bad scale":       `[{"Service":{"ID":"w","Address":"h","Port":1,"Meta":{"scale":"-1"}}}]`,
		"bad start":       `[{"Service":{"ID":"w","Address":"h","Port":1,"Meta":{"started":"noon"}}}]`,
	} {
		if _, err := discovery.ParseConsul([]byte(body)); !errors.Is(err, discovery.ErrMalformed) {
			t.Errorf("%s: error %v, want ErrMalformed", name, err)
		}
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "[]") }))
	defer server.Close()
	if err := follow(t, discovery.NewConsul(server.URL, "workers", "test")).failure(t); !errors.Is(err, discovery.ErrMalformed) {
		t.Errorf("a response without X-Consul-Index: %v", err)
	}
}

func TestFile_Changes_ReportsListOrError(t *testing.T) {
	path := filepath.Join(t.TempDir(), "workers")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	write("worker w1 127.0.0.1:9001 zone a # the first\n\nworker w2 127.0.0.1:9002 state draining\n")
	source := discovery.NewFile(path)
	sink := follow(t, source)
	if got := summary(sink.list(t)); got != "w1:1 w2:2" {
		t.Error(got)
	}
	write("worker w1 127.0.0.1:9001 colour red\n")
	if err := sink.failure(t); !errors.Is(err, discovery.ErrMalformed) || !strings.Contains(err.Error(), "workers:1: found \"colour\"") {
		t.Error(err)
	}
	write("worker w3 127.0.0.1:9003\n")
	if got := summary(sink.list(t)); got != "w3:1" {
		t.Error(got)
	}
}

func FuzzParseConsul(f *testing.F) {
	f.Add([]byte(`[{"Node":{"Address":"h"},"Service":{"ID":"w","Port":1,"Meta":{"scale":"1","started":"5"}},"Checks":[{"CheckID":"_node_maintenance","Status":"critical"}]}]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		list, err := discovery.ParseConsul(raw)
		for _, w := range list {
			if err == nil && (w.Name == "" || w.Address == "" || !(w.Scale > 0) || w.State == 0) {
				t.Fatalf("accepted a list with the invalid worker %+v", w)
			}
		}
	})
}

func FuzzParseFile(f *testing.F) {
	f.Add("worker w1 127.0.0.1:9001 zone a scale 2 started 2026-01-02T03:04:05Z state gone # text")
	f.Fuzz(func(t *testing.T, text string) {
		list, err := discovery.ParseFile("f", text)
		for _, w := range list {
			if err == nil && (w.Name == "" || w.Address == "" || !(w.Scale > 0) || w.State == 0) {
				t.Fatalf("accepted a list with the invalid worker %+v", w)
			}
		}
	})
}
