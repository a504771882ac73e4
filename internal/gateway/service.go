package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/config/gatewayconfig"
	"havencart/internal/decide/tenancy"
	"havencart/internal/discovery"
	"havencart/internal/native/httpserver"
	"havencart/internal/native/muxclient"
	"havencart/internal/native/muxframe"
	"havencart/internal/shadow"
	"havencart/scheduler"
)

// Service is a gateway process: its loops, and the clients' listener before them.
type Service struct {
	settings *gatewayconfig.Settings
	log      zerolog.Logger
	loops    []*EventLoop
	listener net.Listener
	clients  *httpserver.Server
	next     atomic.Uint64
}

// ErrUnclean is returned by Run where calls were in hand when the time for a stop was over. Each got its final
// answer all the same.
var ErrUnclean = errors.New("calls were in hand when the stop's time was over")

// reportNames are the values of a load report that workers are asked for.
var loadReportFields = []string{"queue"}

// eventQueue bounds the events that wait for a loop; beyond, links stop reading.
const eventQueue = 4096

// linkQueue bounds what waits for one worker's connection.
const workerQueue = 4096

// NewService prepares a gateway and begins to listen; Run serves.
func NewService(set *gatewayconfig.Settings, log zerolog.Logger) (*Service, error) {
	l, err := net.Listen("tcp", set.Listen)
	if err != nil {
		return nil, fmt.Errorf("clients' listener: %w", err)
	}
	log = sampled(log)
	s := &Service{settings: set, log: log, listener: l}
	catalog := NewCatalog(set)
	began := time.Now()
	for i := range set.Loops {
		s.loops = append(s.loops, NewEventLoop(loopConfig(set, i, began), log.With().Int("front-end", set.First+i).Logger()))
	}
	s.clients = httpserver.New(httpserver.Config{Idle: set.IdleTime, Header: set.HeaderTime, Body: set.BodyTime,
		Write: set.WriteTime, Stall: set.StallTime, MaxHeader: set.MaxHeader, MaxBody: set.MaxBody, Pipeline: set.Pipeline,
		MaxConns: set.MaxConns, KeepHalves: set.HalfClosed}, func() httpserver.Handler {
		return httpHandler{s.loops[s.next.Add(1)%uint64(len(s.loops))], catalog}
	}, log)
	return s, nil
}

// sampled bounds what is logged in a second: bursts whole, then a sample; errors always.
func sampled(log zerolog.Logger) zerolog.Logger {
	some := func() zerolog.Sampler {
		return &zerolog.BurstSampler{Burst: 100, Period: time.Second, NextSampler: &zerolog.BasicSampler{N: 100}}
	}
	return log.Sample(zerolog.LevelSampler{DebugSampler: some(), InfoSampler: some(), WarnSampler: some()})
}

// Address is where clients connect.
func (s *Service) Address() string { return s.listener.Addr().String() }

// Stall makes all loops stand still for d, as a pause of the process does; it is for laboratories.
func (s *Service) Stall(d time.Duration) {
	for _, loop := range s.loops {
		loop.Stall(d)
	}
}

// Counts are the totals of all loops.
func (s *Service) Counts() (all Counts) {
	for _, loop := range s.loops {
		all.Add(loop.Counts())
	}
	return all
}

// Run serves until ctx ends, then stops: no new connections; what is in hand gets its final answer, and what
// has none when StopWait is over gets it then. It returns the totals.
func (s *Service) Run(ctx context.Context) (Counts, error) {
	var mu sync.Mutex
	var all Counts
	clean := true
	var loops sync.WaitGroup
	for _, loop := range s.loops {
		loops.Go(func() {
			counts, ok := loop.Run(ctx)
			mu.Lock()
			defer mu.Unlock()
			all.Add(counts)
			clean = clean && ok
		})
	}
	stop := context.AfterFunc(ctx, func() { s.listener.Close() })
	defer stop()
	err := s.clients.Serve(s.listener)
	s.listener.Close()
	bound, cancel := context.WithTimeout(context.Background(), s.settings.StopWait+s.settings.WriteTime)
	defer cancel()
	s.clients.Shutdown(bound)
	loops.Wait()
	if err == nil && !clean {
		err = ErrUnclean
	}
	return all, err
}

// Kill breaks all connections at once, those of clients and of workers, with no final answers: what is left of
// a process that was killed. Run then ends. It is for tests and emulations of that.
func (s *Service) Kill() {
	s.listener.Close()
	s.clients.Kill()
	for _, loop := range s.loops {
		loop.Kill()
	}
}

func loopConfig(set *gatewayconfig.Settings, i int, began time.Time) EventLoopConfig {
	cfg := EventLoopConfig{Settings: FrontEndSettings(set, i, began, rand.Uint64()), RequestQueue: set.Queue, EventQueue: eventQueue, ShutdownTimeout: set.StopWait,
		WorkerClient: muxclient.Config{ConnectTimeout: set.ConnectTimeout, Window: set.Window, MaxQueue: workerQueue}}
	if set.Directory.Kind == "file" {
		cfg.Source = discovery.NewFile(set.Directory.Where)
	} else {
		cfg.Source = discovery.NewConsul(set.Directory.Where, set.Directory.Service, cfg.Name)
	}
	return cfg
}

// FrontSettings are the settings of the process's front end i, which began at a wall time and draws from seed.
func FrontEndSettings(set *gatewayconfig.Settings, i int, began time.Time, seed uint64) Settings {
	out := Settings{Name: fmt.Sprintf("%s-%d", set.Name, set.First+i), DeadlineMargin: set.AnswerMargin, MaxInFlight: set.MaxCalls,
		ClockStart: began, Zones: append([]string{set.Zone}, set.Zones...), Scheduler: schedulerSettings(set, i, seed)}
	for _, c := range set.Classes {
		out.Classes = append(out.Classes, c.Name)
	}
	for _, t := range set.Tenants {
		out.Tenants = append(out.Tenants, t.Name)
	}
	out.Tenancy = tenancySettings(set)
	if other, every := set.Watched(); other != nil {
		out.Shadow = &shadow.Settings{Scheduler: schedulerSettings(other, i, seed), SampleInterval: every}
	}
	return out
}

// tenancySettings are what the tenants were promised of one front end: of quotas its part, of shares all.
func tenancySettings(set *gatewayconfig.Settings) tenancy.Settings {
	out := tenancy.Settings{By: set.Shares}
	for _, t := range set.Tenants {
		out.Shares = append(out.Shares, t.Share)
		out.Quotas = append(out.Quotas, t.Quota/float64(max(1, set.FrontEnds)))
	}
	return out
}

// moduleSettings are the module's own for the process's front end i.
func schedulerSettings(set *gatewayconfig.Settings, i int, seed uint64) scheduler.Settings {
	out := scheduler.Settings{Seed: seed, FrontEndIndex: set.First + i, FrontEndCount: set.FrontEnds,
		AnswersNotLoaded: set.MissAnswered, LoadOrdersAllowed: set.Orders, ReportsColdStart: set.TellsWarm, ReportsQueueDepth: set.TellsCrowd,
		ReplicaIdleTimeout: set.KeepAlive, LoadOrderTimeout: set.OrderTimeout, LoadRateWindow: set.LoadWindow, LoadRateBurst: set.LoadFree,
		LoadRatePerRequest: set.LoadShare, HealthChecksAllowed: set.Probes, CancelAllowed: set.Cancel, MaxAttempts: set.MaxAttempts,
		MaxRetryAfter: set.Advice(), ConnectTimeout: set.ConnectTimeout, DrainGrace: set.DrainGrace,
		SlowStartFraction: set.ColdFrom, SlowStartDuration: set.ColdTime, OverloadFactor: set.TipMultiple, OverloadWindow: set.TipWindow,
		Resolution: time.Millisecond, LoadReportFields: loadReportFields, ScaleIsCapacity: set.Sized}
	for _, c := range set.Classes {
		out.Classes = append(out.Classes, c.Control())
	}
	for _, t := range set.Tenants {
		out.Tenants = append(out.Tenants, scheduler.Tenant{Share: t.Share, Quota: t.Quota})
	}
	return out
}

// CatalogOf is what settings tell of classes, tenants and functions.
func NewCatalog(set *gatewayconfig.Settings) *Catalog {
	k := &Catalog{Functions: map[string]CatalogFunction{}, ListedOnly: set.FunctionsOnly}
	for _, c := range set.Classes {
		k.Classes = append(k.Classes, CatalogClass{Name: c.Name, MaxTimeout: c.GiveUp, Replica: muxframe.ReplicaSpec{
			MemoryMB: float64(c.Size), Concurrency: c.Lanes, LoadMillis: millis(c.Load)}})
	}
	for _, t := range set.Tenants {
		k.Tenants = append(k.Tenants, t.Name)
	}
	for _, f := range set.Functions {
		k.Functions[f.Name] = CatalogFunction{Class: max(0, set.Class(f.Class)), Replica: muxframe.ReplicaSpec{
			MemoryMB: float64(f.Size), Concurrency: f.Lanes, LoadMillis: millis(f.Load)}}
	}
	return k
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
