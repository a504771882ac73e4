// Package fleet sets up a whole installation on loopback: function store, directory, emulated workers, front
// ends, clients, and a Book of what all of them saw.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/config/gatewayconfig"
	"havencart/internal/gateway"
	"havencart/lab/client"
	"havencart/lab/discoveryserver"
	"havencart/lab/functionstore"
	"havencart/lab/invariant"
	"havencart/lab/model"
	"havencart/lab/worker"
	"havencart/scheduler"
)

// Config describes an installation.
type Config struct {
	Workers   int
	Cells     int
	FrontEnds int
	Loops     int                // in each front end's process, 1 if 0
	Zones     int                // in which machines stand, dealt out one by one; 0: there is nothing between them
	Worker    model.WorkerConfig // of each; its name and cell are made
	Store     model.StoreConfig
	Settings  string        // text of the front ends' settings, without listen, directory, name and numbers
	Tolerance     time.Duration // for the auditor
	Log       zerolog.Logger
}

// Fleet is a running installation.
type Fleet struct {
	cfg       Config
	Settings  *gatewayconfig.Settings
	Clock     *model.RealClock
	History      *invariant.History
	Store    *functionstore.Server
	Discovery *discoveryserver.Server
	Workers   []*worker.Server
	FrontEnds []*FrontEnd
	Clients   Clients
	fetcher   *functionstore.Client
	network   *model.Network
	clockSkew      []time.Duration // of the workers' wall clocks, as a script sets it
}

// FrontEnd is one front end of a Fleet and the way to it.
type FrontEnd struct {
	fleet   *Fleet
	number  int
	address string

	mu      sync.Mutex
	service *gateway.Service
	pool    *client.Pool
	cancel  context.CancelFunc
	done    chan struct{}
	counts  gateway.Counts
	err     error
}

// Start sets an installation up. Close ends it.
func Start(cfg Config) (*Fleet, error) {
	f := &Fleet{cfg: cfg, Clock: model.NewWorld(), History: invariant.NewBook()}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() (err error) {
	if f.Store, err = functionstore.Start(f.Clock, f.cfg.Store, "127.0.0.1:0"); err != nil {
		return err
	}
	f.fetcher = functionstore.NewClient(f.Clock, f.Store.Address())
	if f.Discovery, err = discoveryserver.Start("127.0.0.1:0"); err != nil {
		return err
	}
	groups := model.NewKeyCaches(f.cfg.Cells)
	f.network = model.NewNetwork(f.Clock, model.NetworkConfig{Zones: f.cfg.Zones}, rand.New(rand.NewPCG(1, 0x6e6574)))
	f.clockSkew = make([]time.Duration, f.cfg.Workers)
	for i := range f.cfg.Workers {
		wc, cell := f.cfg.Worker.ForWorker(i, len(groups))
		w, err := worker.Start(f.Clock, worker.Config{
			WorkerConfig: wc, Address: "127.0.0.1:0", Work: 50 * time.Millisecond,
			Paths: f.paths(i),
		}, f.fetcher, groups[cell], f.History)
		if err != nil {
			return err
		}
		f.Workers = append(f.Workers, w)
		f.ListWorker(w, scheduler.Ready)
	}
	if f.Settings, err = gatewayconfig.Parse("settings", "directory file none\n"+f.cfg.Settings); err != nil {
		return err
	}
	for i := range f.cfg.FrontEnds {
		e := &FrontEnd{fleet: f, number: i, address: "127.0.0.1:0"}
		if err := e.Start(); err != nil {
			return err
		}
		f.FrontEnds = append(f.FrontEnds, e)
	}
	return nil
}

// ways are the ways of worker i to front ends, by their numbers.
func (f *Fleet) paths(i int) func(frontEnd string) (in, out *model.Path) {
	if f.cfg.Zones == 0 {
		return nil
	}
	return func(frontEnd string) (in, out *model.Path) {
		n, _ := strconv.Atoi(frontEnd[strings.LastIndexByte(frontEnd, '-')+1:]) // the fleet named it so
		near, far := f.network.Zone(n), f.network.Zone(i)
		return f.network.NewPath(near, far), f.network.NewPath(far, near)
	}
}

// List tells the directory of a worker as it is now.
func (f *Fleet) ListWorker(w *worker.Server, state scheduler.WorkerState) {
	_, up, _ := w.Running()
	if i := slices.Index(f.Workers, w); i >= 0 {
		up -= f.clockSkew[i]
	}
	cell := ""
	w.Do(func(m *model.Worker) { cell = m.Config.Cell })
	f.Discovery.Set(discoveryserver.Entry{
		Name: w.Name(), Address: w.Address(), Cell: cell, Started: time.Now().Add(-up),
		State: state,
	})
}

// Close ends the installation: front ends first, each with a clean stop.
func (f *Fleet) Close() {
	for _, e := range f.FrontEnds {
		_ = e.Stop() // told where a test asks for it
	}
	if f.Discovery != nil {
		f.Discovery.Close()
	}
	if f.fetcher != nil {
		f.fetcher.Close()
	}
	for _, w := range f.Workers {
		w.Close()
	}
	if f.Store != nil {
		f.Store.Close()
	}
}

// Judge judges all that was seen. It is to be called when everything has ended.
func (f *Fleet) Check() ([]invariant.Violation, invariant.Tally) {
	for _, n := range f.Discovery.Notices() {
		f.History.EndpointsUpdated(invariant.EndpointUpdate{At: f.History.Elapsed(n.At), FrontEnd: n.Client, States: n.States})
	}
	return f.History.Check(invariant.RulesOf(f.Settings, f.cfg.Tolerance))
}

// Score is the service that clients saw.
func (f *Fleet) Score() invariant.Score {
	return f.History.Score(invariant.RulesOf(f.Settings, 0).Classes)
}

// Name is the front end's name, as workers and the directory hear it.
func (e *FrontEnd) Name() string { return fmt.Sprintf("fe-%d", e.number) }

// Pool is the clients' connections to the front end.
func (e *FrontEnd) Pool() *client.Pool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pool
}

// Start starts the front end, again at its old address if it had one.
func (e *FrontEnd) Start() error {
	f := e.fleet
	loops := max(1, f.cfg.Loops)
	text := fmt.Sprintf("name fe\nlisten %s\ndirectory consul %s workers\nloops %d\nfirst %d\nfront-ends %d\n%s", e.address,
		f.Discovery.URL(), loops, e.number*loops, f.cfg.FrontEnds*loops, f.cfg.Settings)
	set, err := gatewayconfig.Parse(e.Name(), text)
	if err != nil {
		return err
	}
	service, err := gateway.NewService(set, f.cfg.Log.With().Str("of", e.Name()).Logger())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address, e.service, e.cancel, e.done = service.Address(), service, cancel, done
	if e.pool == nil {
		e.pool = &client.Pool{Name: e.Name(), Address: e.address, Book: f.History, Grace: f.cfg.Tolerance}
	}
	go func() {
		defer close(done)
		counts, err := service.Run(ctx)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.counts, e.err = counts, err
	}()
	return nil
}

// Counts are the totals of the front end's last life that ended.
func (e *FrontEnd) Counts() gateway.Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Service is the front end at work.
func (e *FrontEnd) Service() *gateway.Service {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.service
}

// Kill ends the front end as a kill -9 of its process does, as far as others can see: its listener and all its
// connections close at once, with no word to anybody. Its goroutines, which a process would take with it, are
// waited for.
func (e *FrontEnd) Kill() {
	e.mu.Lock()
	cancel, done, pool, service := e.cancel, e.done, e.pool, e.service
	e.mu.Unlock()
	e.fleet.History.FrontEndKilled(e.Name())
	service.Kill()
	cancel()
	<-done
	pool.Close()
}

// Stop stops the front end cleanly and returns how that went.
func (e *FrontEnd) Stop() error {
	e.mu.Lock()
	cancel, done, pool := e.cancel, e.done, e.pool
	e.mu.Unlock()
	if cancel == nil {
		return errors.New("never started")
	}
	cancel()
	<-done
	pool.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.err
}

// progress is the front ends' totals in a line.
func (f *Fleet) progress() string {
	var all gateway.Counts
	for _, e := range f.FrontEnds {
		all.Add(e.Service().Counts())
	}
	return fmt.Sprintf("  taken %d, served %d, refused %d, failed %d, left %d; attempts %d, loads %d", all.Admitted, all.Served,
		all.Rejected, all.Failed, all.Disconnected, all.Attempts, all.LoadOrders)
}
