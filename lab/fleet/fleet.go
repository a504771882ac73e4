// Package fleet sets up a whole installation on loopback: function store, discovery, emulated workers, front ends and
// clients, with a history of what all of them saw.
package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/config/gatewayconfig"
	"havencart/internal/gateway"
	"havencart/lab/discoveryserver"
	"havencart/lab/functionstore"
	"havencart/lab/invariant"
	"havencart/lab/model"
	"havencart/lab/portreservation"
	"havencart/lab/worker"
	"havencart/scheduler"
)

const (
	loopback     = "127.0.0.1:0" // any free port
	defaultWork  = 50 * time.Millisecond
	networkSeed  = 1
	randomStream = 0x6e6574 // of the network's generator
)

// Config describes an installation.
type Config struct {
	Workers   int
	Cells     int
	FrontEnds int
	Loops     int                // event loops in each front end's process; 0: 1
	Zones     int                // that machines are assigned to, round robin; 0: there is no emulated network
	Worker    model.WorkerConfig // of each; its name and cell are generated
	Store     model.StoreConfig
	Settings  string        // text of the front ends' settings, without listen, directory, name and numbers
	Tolerance time.Duration // of the invariant checker
	Log       zerolog.Logger
}

// Fleet is a running installation.
type Fleet struct {
	cfg       Config
	Settings  *gatewayconfig.Settings
	Clock     *model.RealClock
	History   *invariant.History
	Store     *functionstore.Server
	Discovery *discoveryserver.Server
	Workers   []*worker.Server
	FrontEnds []*FrontEnd
	Clients   Clients
	fetcher   *functionstore.Client
	network   *model.Network
	clockSkew []time.Duration // of the workers' wall clocks, as a scenario sets it
}

// Start sets an installation up. Close ends it.
func Start(cfg Config) (*Fleet, error) {
	f := &Fleet{cfg: cfg, Clock: model.NewRealClock(), History: invariant.NewHistory()}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() (err error) {
	if f.Store, err = functionstore.Start(f.Clock, f.cfg.Store, loopback); err != nil {
		return err
	}
	f.fetcher = functionstore.NewClient(f.Clock, f.Store.Address())
	if f.Discovery, err = discoveryserver.Start(loopback); err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(networkSeed, randomStream))
	f.network = model.NewNetwork(f.Clock, model.NetworkConfig{Zones: f.cfg.Zones}, rng)
	if err := f.startWorkers(); err != nil {
		return err
	}
	if f.Settings, err = gatewayconfig.Parse("settings", "directory file none\n"+f.cfg.Settings); err != nil {
		return err
	}
	return f.startFrontEnds()
}

func (f *Fleet) startWorkers() error {
	f.clockSkew = make([]time.Duration, f.cfg.Workers)
	keyCaches := model.NewKeyCaches(f.cfg.Cells)
	for i := range f.cfg.Workers {
		cfg, cell := f.cfg.Worker.ForWorker(i, len(keyCaches))
		w, err := worker.Start(f.Clock, worker.Config{
			WorkerConfig: cfg,
			Address:      loopback,
			Work:         defaultWork,
			Paths:        f.paths(i),
		}, f.fetcher, keyCaches[cell], f.History)
		if err != nil {
			return err
		}
		f.Workers = append(f.Workers, w)
		f.ListWorker(w, scheduler.Ready)
	}
	return nil
}

func (f *Fleet) startFrontEnds() error {
	for i := range f.cfg.FrontEnds {
		reservation, err := portreservation.Reserve(loopback)
		if err != nil {
			return err
		}
		e := &FrontEnd{fleet: f, number: i, reservation: reservation}
		f.FrontEnds = append(f.FrontEnds, e)
		if err := e.Start(); err != nil {
			return err
		}
	}
	return nil
}

// paths returns the network's paths of a worker from and to front ends, by their names.
func (f *Fleet) paths(workerIndex int) func(frontEnd string) (in, out *model.Path) {
	if f.cfg.Zones == 0 {
		return nil
	}
	return func(frontEnd string) (in, out *model.Path) {
		number, _ := strconv.Atoi(frontEnd[strings.LastIndexByte(frontEnd, '-')+1:]) // as FrontEnd.Name writes it
		near, far := f.network.Zone(number), f.network.Zone(workerIndex)
		return f.network.NewPath(near, far), f.network.NewPath(far, near)
	}
}

// ListWorker changes a worker's state in discovery, with the start of its process as it is now.
func (f *Fleet) ListWorker(w *worker.Server, state scheduler.WorkerState) {
	_, uptime, _ := w.Running()
	if i := slices.Index(f.Workers, w); i >= 0 {
		uptime -= f.clockSkew[i]
	}
	cell := ""
	w.Do(func(m *model.Worker) { cell = m.Config.Cell })
	f.Discovery.Set(discoveryserver.Entry{
		Name:    w.Name(),
		Address: w.Address(),
		Cell:    cell,
		Started: time.Now().Add(-uptime),
		State:   state,
	})
}

// Close ends the installation: front ends first, each with a graceful shutdown.
func (f *Fleet) Close() {
	for _, e := range f.FrontEnds {
		_ = e.Stop() // reported where a test asks for it
		e.reservation.Release()
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

// Check checks the history against the invariants. It is to be called when everything has ended.
func (f *Fleet) Check() ([]invariant.Violation, invariant.Tally) {
	for _, n := range f.Discovery.Updates() {
		f.History.EndpointsUpdated(invariant.EndpointUpdate{
			At:       f.History.Elapsed(n.At),
			FrontEnd: n.Client,
			States:   n.States,
		})
	}
	return f.History.Check(invariant.RulesOf(f.Settings, f.cfg.Tolerance))
}

// Score is the service that clients saw.
func (f *Fleet) Score() invariant.Score {
	return f.History.Score(invariant.RulesOf(f.Settings, 0).Classes)
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
