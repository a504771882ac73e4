// Package measure sets a front end beside a direct call to the emulated workers and beside a plain reverse proxy
// (net/http/httputil, round robin) over the same workers, in one run on one machine: calls a second, latency,
// memory of a connection. All of it runs in one process, clients and workers included, so that only ratios
// mean anything.
package measure

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"havencart/internal/config/gatewayconfig"
	"havencart/internal/gateway"
	"havencart/lab/discoveryserver"
	"havencart/lab/functionstore"
	"havencart/lab/model"
	"havencart/lab/worker"

	"havencart/scheduler"
)

// Config says what is measured.
type Config struct {
	Workers     int
	Connections int           // of clients, each with one call out
	Work        time.Duration // of a call at its worker
	Reply       int           // bytes of an answer
	Lasts       time.Duration // of each measurement
	Rounds      int
	Loops       int
}

// Sample is one measurement of one way.
type Sample struct {
	Rate             float64 // calls a second, clients waiting for each answer
	P50, P99, P999   time.Duration
	Half50, Half99   time.Duration // open loop at half the slowest way's rate
	Half999          time.Duration
	Errors           int
	CPUPerCallMicros float64
}

// Way is one way from a client to a worker.
type Way struct {
	Name    string
	Address []string // clients spread over them
	Samples []Sample
}

// rig is the installation that is measured.
type benchmark struct {
	cfg          Config
	routes       []*Way
	discoveryURL string // the directory's URL
	cleanups     []func()
}

// Run measures and returns the ways: direct, proxy, gateway. tell is told how it goes.
func Run(ctx context.Context, cfg Config, tell func(string)) ([]*Way, error) {
	r := &benchmark{cfg: cfg}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	for _, w := range r.routes { // copies load, connections stand, means settle
		if _, err := r.measureClosedLoop(ctx, w, cfg.Lasts/4); err != nil {
			return nil, err
		}
	}
	for round := range cfg.Rounds {
		slowest := math.Inf(1)
		for _, w := range r.routes {
			s, err := r.measureClosedLoop(ctx, w, cfg.Lasts)
			if err != nil {
				return nil, err
			}
			w.Samples = append(w.Samples, s)
			slowest = min(slowest, s.Rate)
		}
		for _, w := range r.routes {
			s := &w.Samples[round]
			if err := r.measureOpenLoop(ctx, w, s, slowest/2); err != nil {
				return nil, err
			}
			tell(fmt.Sprintf("round %d %-8s %8.0f/s p50 %v p99 %v p999 %v; half load p50 %v p99 %v p999 %v; errors %d", round+1,
				w.Name, s.Rate, s.P50, s.P99, s.P999, s.Half50, s.Half99, s.Half999, s.Errors))
		}
	}
	return r.routes, nil
}

func (r *benchmark) close() {
	for _, f := range slices.Backward(r.cleanups) {
		f()
	}
}

func (r *benchmark) addCleanup(f func()) { r.cleanups = append(r.cleanups, f) }

const settings = "keep-alive 60s\nmax-calls 100000\nqueue 100000\nclass echo\naim 1s\ngive-up 5s\nrepeat safe\nlanes 64\nend\n"

// start starts workers with both faces, a directory, the proxy and the gateway.
func (r *benchmark) start() error {
	dir, err := discoveryserver.Start("127.0.0.1:0")
	if err != nil {
		return err
	}
	r.addCleanup(dir.Close)
	var faces []string
	for i := range r.cfg.Workers {
		w, face, err := r.worker(i)
		if err != nil {
			return err
		}
		faces = append(faces, face)
		dir.Set(discoveryserver.Entry{Name: w.Name(), Address: w.Address(), Cell: "c", State: scheduler.Ready})
	}
	proxy, err := r.proxy(faces)
	if err != nil {
		return err
	}
	gate, err := r.gateway(dir.URL(), settings)
	if err != nil {
		return err
	}
	r.discoveryURL = dir.URL()
	r.routes = []*Way{
		{Name: "direct", Address: faces},
		{Name: "proxy", Address: []string{proxy}},
		{Name: "gateway", Address: []string{gate.Address()}},
	}
	return nil
}

// quiet sees nothing: a Book would grow with each call.
type discardObserver struct{}

func (discardObserver) RequestReceived(*model.Worker, *model.Request)             {}
func (discardObserver) ResponseSent(*model.Worker, *model.Request, model.Outcome) {}
func (discardObserver) RequestExecuted(*model.Worker, *model.Request)             {}
func (discardObserver) LoadOrderReceived(*model.Worker, string, string, int)      {}
func (discardObserver) WorkerCrashed(*model.Worker)                               {}

// worker starts one emulated worker in a world of its own, with an HTTP face beside its socket.
func (r *benchmark) worker(i int) (*worker.Server, string, error) {
	world := model.NewWorld()
	store, err := functionstore.Start(world, model.StoreConfig{Places: 8, Limit: 40}, "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	r.addCleanup(store.Close)
	fetcher := functionstore.NewClient(world, store.Address())
	r.addCleanup(fetcher.Close)
	w, err := worker.Start(world, worker.Config{Address: "127.0.0.1:0", Work: r.cfg.Work, WorkerConfig: model.WorkerConfig{
		Name: fmt.Sprint("w", i), Cell: "c", Cores: 64, Speed: 1, MemoryMB: 1e6, Queue: 100000, MaxConcurrentLoads: 4,
		KeepAlive: time.Hour,
	}}, fetcher, model.NewGroup(), discardObserver{})
	if err != nil {
		return nil, "", err
	}
	r.addCleanup(w.Close)
	face, err := r.serve(httpHandler{world, w})
	return w, face, err
}

// serve runs an HTTP server until the rig closes.
func (r *benchmark) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(l) }()
	r.addCleanup(func() { s.Close(); <-done })
	return l.Addr().String(), nil
}

// face is an emulated worker's HTTP face: the same model, reached without the worker protocol.
type httpHandler struct {
	world *model.RealClock
	w     *worker.Server
}

func (f httpHandler) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	work, reply := worker.ParseBody(string(body), 0)
	answer := make(chan model.Response, 1)
	f.w.Do(func(m *model.Worker) {
		m.Handle(&model.Request{
			Function: "echo", MemoryMB: 100, Concurrency: 64, LoadTime: time.Millisecond, Work: work,
			Deadline: f.world.Now() + time.Minute,
		}, func(a model.Response) { answer <- a })
	})
	select {
	case a := <-answer:
		if a.Outcome != model.OK {
			out.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = out.Write(make([]byte, reply))
	case <-r.Context().Done():
	}
}

// proxy starts the plain reverse proxy.
func (r *benchmark) proxy(faces []string) (string, error) {
	var next atomic.Uint64
	var targets []*url.URL
	for _, f := range faces {
		targets = append(targets, &url.URL{Scheme: "http", Host: f})
	}
	transport := &http.Transport{MaxIdleConnsPerHost: r.cfg.Connections, MaxIdleConns: 0}
	r.addCleanup(transport.CloseIdleConnections)
	return r.serve(&httputil.ReverseProxy{Transport: transport, Rewrite: func(p *httputil.ProxyRequest) {
		p.SetURL(targets[next.Add(1)%uint64(len(targets))])
	}})
}

func (r *benchmark) gateway(dir, settings string) (*gateway.Service, error) {
	set, err := gatewayconfig.Parse("measure", fmt.Sprintf("listen 127.0.0.1:0\ndirectory consul %s workers\nloops %d\nfront-ends %d\n%s",
		dir, r.cfg.Loops, r.cfg.Loops, settings))
	if err != nil {
		return nil, err
	}
	s, err := gateway.NewService(set, zerolog.Nop())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _, _ = s.Run(ctx) }()
	r.addCleanup(func() { cancel(); <-done })
	return s, nil
}

// caller is one client's connection.
type connection struct {
	conn    net.Conn
	in      *bufio.Reader
	request []byte
}

func (r *benchmark) connect(w *Way, i int) (*connection, error) {
	address := w.Address[i%len(w.Address)]
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", w.Name, err)
	}
	body := worker.Body(r.cfg.Work, r.cfg.Reply)
	return &connection{c, bufio.NewReader(c), fmt.Appendf(nil, "POST /call/echo HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s",
		len(body), body)}, nil
}

// call makes one call and says whether it was served.
func (c *connection) roundTrip() (bool, error) {
	if _, err := c.conn.Write(c.request); err != nil {
		return false, err
	}
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return false, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r.StatusCode == http.StatusOK, err
}

// tally gathers latencies of many callers.
type latencies struct {
	mu     sync.Mutex
	hist   *hdrhistogram.Histogram
	errors int
}

func newLatencies() *latencies { return &latencies{hist: hdrhistogram.New(1, int64(time.Minute), 3)} }

func (t *latencies) add(d time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !ok {
		t.errors++
		return
	}
	_ = t.hist.RecordValue(int64(d)) // within the bounds: no call lasts a minute
}

func (t *latencies) quantile(q float64) time.Duration {
	return time.Duration(t.hist.ValueAtQuantile(q)).Round(time.Microsecond)
}

// each runs f on every connection at once and returns the first error.
func (r *benchmark) forEachConnection(w *Way, f func(i int, c *connection) error) error {
	var tasks sync.WaitGroup
	errs := make(chan error, r.cfg.Connections)
	for i := range r.cfg.Connections {
		tasks.Go(func() {
			c, err := r.connect(w, i)
			if err == nil {
				err = f(i, c)
				c.conn.Close()
			}
			if err != nil {
				errs <- fmt.Errorf("%s: %w", w.Name, err)
			}
		})
	}
	tasks.Wait()
	close(errs)
	return <-errs
}

// closed measures with clients that each wait for an answer before the next call: the most that goes through.
func (r *benchmark) measureClosedLoop(ctx context.Context, w *Way, lasts time.Duration) (Sample, error) {
	t := newLatencies()
	began, cpu := time.Now(), cpuTime()
	err := r.forEachConnection(w, func(_ int, c *connection) error {
		for time.Since(began) < lasts && ctx.Err() == nil {
			at := time.Now()
			ok, err := c.roundTrip()
			if err != nil {
				return err
			}
			t.add(time.Since(at), ok)
		}
		return nil
	})
	took, n := time.Since(began), float64(t.hist.TotalCount())
	s := Sample{Rate: n / took.Seconds(), P50: t.quantile(50), P99: t.quantile(99), P999: t.quantile(99.9), Errors: t.errors}
	s.CPUPerCallMicros = float64((cpuTime() - cpu).Microseconds()) / max(1, n+float64(t.errors))
	return s, err
}

// open measures at a fixed rate: each connection has its times to call, and a call that starts late because the
// one before it was slow is counted from its time (so that a slow way is not spared: coordinated omission).
func (r *benchmark) measureOpenLoop(ctx context.Context, w *Way, s *Sample, rate float64) error {
	t := newLatencies()
	gap := time.Duration(float64(time.Second) * float64(r.cfg.Connections) / rate)
	began := time.Now()
	err := r.forEachConnection(w, func(i int, c *connection) error {
		due := began.Add(gap * time.Duration(i) / time.Duration(r.cfg.Connections))
		for ; due.Sub(began) < r.cfg.Lasts && ctx.Err() == nil; due = due.Add(gap) {
			time.Sleep(time.Until(due))
			ok, err := c.roundTrip()
			if err != nil {
				return err
			}
			t.add(time.Since(due), ok)
		}
		return nil
	})
	s.Half50, s.Half99, s.Half999 = t.quantile(50), t.quantile(99), t.quantile(99.9)
	s.Errors += t.errors
	return err
}

// Ratios compares two ways' samples pair by pair: least, middle, most.
func Ratios(a, b *Way, of func(Sample) float64) (least, middle, most float64) {
	var list []float64
	for i := range a.Samples {
		list = append(list, of(a.Samples[i])/of(b.Samples[i]))
	}
	slices.Sort(list)
	return list[0], list[len(list)/2], list[len(list)-1]
}

// Refusal measures the processor time of a call that is served and of one that is refused at the door of a loop
// that is behind, in microseconds of the whole process, clients and workers included, in turn for each round.
func Refusal(ctx context.Context, cfg Config, tell func(served, refused float64)) error {
	r := &benchmark{cfg: cfg}
	defer r.close()
	if err := r.start(); err != nil {
		return err
	}
	s, err := r.gateway(r.discoveryURL, strings.Replace(settings, "queue 100000", "queue 1", 1))
	if err != nil {
		return err
	}
	behind := &Way{Name: "refused", Address: []string{s.Address()}}
	if _, err := r.measureClosedLoop(ctx, r.routes[2], cfg.Lasts/4); err != nil {
		return err
	}
	for range cfg.Rounds {
		served, err := r.measureClosedLoop(ctx, r.routes[2], cfg.Lasts)
		if err != nil {
			return err
		}
		s.Stall(cfg.Lasts + time.Second) // one call waits in the queue, the others are refused
		refused, err := r.measureClosedLoop(ctx, behind, cfg.Lasts)
		if err != nil {
			return err
		}
		tell(served.CPUPerCallMicros, refused.CPUPerCallMicros)
		time.Sleep(time.Second)
	}
	return nil
}

// Idle measures the memory of n idle connections to the gateway, both ends of each, in bytes a connection.
func Idle(ctx context.Context, cfg Config, n int) (heap, stack float64, err error) {
	r := &benchmark{cfg: cfg}
	defer r.close()
	if err := r.start(); err != nil {
		return 0, 0, err
	}
	gate := r.routes[2]
	if _, err := r.measureClosedLoop(ctx, gate, 100*time.Millisecond); err != nil {
		return 0, 0, err
	}
	before := memory()
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	for range n {
		c, err := r.connect(gate, 0)
		if err != nil {
			return 0, 0, err
		}
		conns = append(conns, c.conn)
		if _, err := c.roundTrip(); err != nil { // it has had a call, and idles
			return 0, 0, err
		}
	}
	after := memory()
	return float64(after.HeapInuse-before.HeapInuse) / float64(n), float64(after.StackInuse-before.StackInuse) / float64(n), nil
}

func memory() (m runtime.MemStats) {
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m
}
