package measure

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/config/gatewayconfig"
	"havencart/internal/gateway"
	"havencart/lab/discoveryserver"
	"havencart/lab/functionstore"
	"havencart/lab/model"
	"havencart/lab/worker"
	"havencart/scheduler"
)

const (
	loopback           = "127.0.0.1:0" // any free port
	cell               = "c"
	function           = "echo"
	replicaConcurrency = 64
	replicaMemoryMB    = 100
	replicaLoadTime    = time.Millisecond
	requestTimeout     = time.Minute
)

// benchmark is an installation with all routes that are compared.
type benchmark struct {
	cfg          Config
	routes       []*Route // direct, proxy and gateway, in this order
	discoveryURL string
	cleanups     []func() // called by close, in reverse order
}

func (b *benchmark) gatewayRoute() *Route { return b.routes[2] }

func (b *benchmark) close() {
	for _, f := range slices.Backward(b.cleanups) {
		f()
	}
}

func (b *benchmark) addCleanup(f func()) { b.cleanups = append(b.cleanups, f) }

// start starts the workers, discovery, the proxy and the gateway. Each worker listens for the worker protocol and for
// direct HTTP requests.
func (b *benchmark) start() error {
	discovery, err := discoveryserver.Start(loopback)
	if err != nil {
		return err
	}
	b.addCleanup(discovery.Close)
	b.discoveryURL = discovery.URL()
	var direct []string
	for i := range b.cfg.Workers {
		w, address, err := b.worker(i)
		if err != nil {
			return err
		}
		direct = append(direct, address)
		discovery.Set(discoveryserver.Entry{Name: w.Name(), Address: w.Address(), Cell: cell, State: scheduler.Ready})
	}
	proxy, err := b.proxy(direct)
	if err != nil {
		return err
	}
	service, err := b.gateway(b.discoveryURL, settings)
	if err != nil {
		return err
	}
	b.routes = []*Route{
		{Name: "direct", Addresses: direct},
		{Name: "proxy", Addresses: []string{proxy}},
		{Name: "gateway", Addresses: []string{service.Address()}},
	}
	return nil
}

// discardObserver is a model.Observer that records nothing. A History would grow with each request.
type discardObserver struct{}

func (discardObserver) RequestReceived(*model.Worker, *model.Request)             {}
func (discardObserver) ResponseSent(*model.Worker, *model.Request, model.Outcome) {}
func (discardObserver) RequestExecuted(*model.Worker, *model.Request)             {}
func (discardObserver) LoadOrderReceived(*model.Worker, string, string, int)      {}
func (discardObserver) WorkerCrashed(*model.Worker)                               {}

// worker starts one emulated worker with its own clock and function store. It also returns the address of the worker's
// HTTP handler.
func (b *benchmark) worker(i int) (*worker.Server, string, error) {
	clock := model.NewRealClock()
	store, err := functionstore.Start(clock, model.StoreConfig{Concurrency: 8, Limit: 40}, loopback)
	if err != nil {
		return nil, "", err
	}
	b.addCleanup(store.Close)
	fetcher := functionstore.NewClient(clock, store.Address())
	b.addCleanup(fetcher.Close)
	cfg := worker.Config{
		Address: loopback,
		Work:    b.cfg.Work,
		WorkerConfig: model.WorkerConfig{
			Name:               fmt.Sprint("w", i),
			Cell:               cell,
			Cores:              64,
			Speed:              1,
			MemoryMB:           1e6,
			Queue:              100000,
			MaxConcurrentLoads: 4,
			KeepAlive:          time.Hour,
		},
	}
	w, err := worker.Start(clock, cfg, fetcher, model.NewKeyCache(), discardObserver{})
	if err != nil {
		return nil, "", err
	}
	b.addCleanup(w.Close)
	address, err := b.serve(httpHandler{clock, w})
	return w, address, err
}

// serve runs an HTTP server until the benchmark closes, and returns its address.
func (b *benchmark) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener) // returns once the server is closed
	}()
	b.addCleanup(func() {
		_ = server.Close()
		<-done
	})
	return listener.Addr().String(), nil
}

// httpHandler executes HTTP requests on the model of an emulated worker, without the worker protocol.
type httpHandler struct {
	clock  *model.RealClock
	worker *worker.Server
}

// ServeHTTP implements http.Handler.
func (h httpHandler) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	work, size := worker.ParseBody(string(body), 0)
	responses := make(chan model.Response, 1)
	h.worker.Do(func(m *model.Worker) {
		request := &model.Request{
			Function:    function,
			MemoryMB:    replicaMemoryMB,
			Concurrency: replicaConcurrency,
			LoadTime:    replicaLoadTime,
			Work:        work,
			Deadline:    h.clock.Now() + requestTimeout,
		}
		m.Handle(request, func(response model.Response) { responses <- response })
	})
	select {
	case response := <-responses:
		if response.Outcome != model.OK {
			out.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = out.Write(make([]byte, size)) // a write error shows at the client as a truncated response
	case <-r.Context().Done():
	}
}

// proxy starts a plain reverse proxy to the workers, round robin, and returns its address.
func (b *benchmark) proxy(workers []string) (string, error) {
	var targets []*url.URL
	for _, address := range workers {
		targets = append(targets, &url.URL{Scheme: "http", Host: address})
	}
	transport := &http.Transport{MaxIdleConnsPerHost: b.cfg.Connections, MaxIdleConns: 0}
	b.addCleanup(transport.CloseIdleConnections)
	var next atomic.Uint64
	rewrite := func(p *httputil.ProxyRequest) { p.SetURL(targets[next.Add(1)%uint64(len(targets))]) }
	return b.serve(&httputil.ReverseProxy{Transport: transport, Rewrite: rewrite})
}

// gateway starts a front end with the given settings, which are added to those for discovery and event loops.
func (b *benchmark) gateway(discoveryURL, settings string) (*gateway.Service, error) {
	text := fmt.Sprintf("listen 127.0.0.1:0\ndirectory consul %s workers\nloops %d\nfront-ends %d\n%s", discoveryURL, b.cfg.Loops,
		b.cfg.Loops, settings)
	parsed, err := gatewayconfig.Parse("measure", text)
	if err != nil {
		return nil, err
	}
	service, err := gateway.NewService(parsed, zerolog.Nop())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = service.Run(ctx)
	}()
	b.addCleanup(func() {
		cancel()
		<-done
	})
	return service, nil
}
