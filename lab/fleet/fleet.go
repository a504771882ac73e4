// Package fleet sets up a whole installation on loopback: function store, discovery, emulated workers, front ends and
// clients. All of them record what they observe in one event history, which Check checks against the invariants.
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
	anyLoopbackPort     = "127.0.0.1:0" // port 0 selects a free port
	defaultWorkDuration = 50 * time.Millisecond
	networkSeed         = 1
	networkRandomStream = 0x6e6574 // PCG stream of the emulated network's random generator
)

// Config describes an installation.
type Config struct {
	Workers   int
	Cells     int
	FrontEnds int
	Loops     int                // event loops in each front end's process; 0 means 1
	Zones     int                // machines are assigned to them round robin; 0 disables the emulated network
	Worker    model.WorkerConfig // configuration of each worker, whose name and cell are generated
	Store     model.StoreConfig
	Settings  string        // text of the front ends' settings, without the directives that settingsText adds
	Tolerance time.Duration // how much the invariant checker adds to time limits
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
	clockSkew []time.Duration // error of each worker's wall clock, set by a scenario
}

// Start starts an installation. The caller must call Close.
func Start(cfg Config) (*Fleet, error) {
	f := &Fleet{cfg: cfg, Clock: model.NewRealClock(), History: invariant.NewHistory()}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() (err error) {
	if f.Store, err = functionstore.Start(f.Clock, f.cfg.Store, anyLoopbackPort); err != nil {
		return err
	}
	f.fetcher = functionstore.NewClient(f.Clock, f.Store.Address())
	if f.Discovery, err = discoveryserver.Start(anyLoopbackPort); err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(networkSeed, networkRandomStream))
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
			Address:      anyLoopbackPort,
			Work:         defaultWorkDuration,
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
		reservation, err := portreservation.Reserve(anyLoopbackPort)
		if err != nil {
			return err
		}
		fe := &FrontEnd{fleet: f, number: i, reservation: reservation}
		f.FrontEnds = append(f.FrontEnds, fe)
		if err := fe.Start(); err != nil {
			return err
		}
	}
	return nil
}

// paths returns a function that returns the network paths to and from a worker for the name of a front end. It returns
// nil if there is no emulated network.
func (f *Fleet) paths(workerIndex int) func(frontEnd string) (in, out *model.Path) {
	if f.cfg.Zones == 0 {
		return nil
	}
	return func(frontEnd string) (in, out *model.Path) {
		number, _ := strconv.Atoi(frontEnd[strings.LastIndexByte(frontEnd, '-')+1:]) // the name is FrontEnd.Name
		near, far := f.network.Zone(number), f.network.Zone(workerIndex)
		return f.network.NewPath(near, far), f.network.NewPath(far, near)
	}
}

// ListWorker sets a worker's state in discovery. The start time that discovery lists is that of the worker's current
// process, according to the worker's wall clock.
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

// Close stops the installation. It shuts the front ends down gracefully before it stops anything else.
func (f *Fleet) Close() {
	for _, fe := range f.FrontEnds {
		_ = fe.Stop() // callers that need the error call Stop themselves
		fe.reservation.Release()
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

// Check checks the history against the invariants. The front ends and clients must have stopped.
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

// Score returns the score of the service that clients observed.
func (f *Fleet) Score() invariant.Score {
	return f.History.Score(invariant.RulesOf(f.Settings, 0).Classes)
}

// formatTotals returns the sum of the front ends' totals as one line.
func (f *Fleet) formatTotals() string {
	var totals gateway.Counts
	for _, fe := range f.FrontEnds {
		totals.Add(fe.Service().Counts())
	}
	return fmt.Sprintf("  admitted %d, served %d, rejected %d, failed %d, disconnected %d; attempts %d, load orders %d", totals.Admitted, totals.Served,
		totals.Rejected, totals.Failed, totals.Disconnected, totals.Attempts, totals.LoadOrders)
}
