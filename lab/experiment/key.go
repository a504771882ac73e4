package experiment

import (
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"havencart/lab/loadgen"
	"havencart/lab/model"
	"havencart/lab/scenario"
	"havencart/lab/simulation"
)

// keyedConfig is a simulation.Config as it enters a cell's key: printed with %+v, so the names and the order of
// these fields decide whether a run that an earlier build stored is found again. Types of other packages are
// repeated here where they are printed by their fields.
type keyedConfig struct {
	Workers   int
	Cells     int
	FrontEnds int
	Worker    keyedWorker
	Store     keyedStore
	Settings  string
	Net       time.Duration
	Jitter    float64
	Handshake time.Duration
	Zones     int
	ListLag   time.Duration
	Mix       keyedMix
	Lasts     time.Duration
	Troubles  []scenario.Fault // printed by its String method
	Seed      uint64
	LogLevel  zerolog.Level
	Policy    string
}

type keyedWorker struct {
	Name, Cell  string
	Cores       float64
	Speed       float64
	MemoryMB    float64
	Queue       int
	LoadsAtOnce int
	KeepAlive   time.Duration
	MissAnswers bool
	MoreCopies  bool
	StopsRuns   bool
	ColdFrom    float64
	ColdTime    time.Duration
	TipMultiple float64
	TipWindow   time.Duration
	KeyMemory   time.Duration
}

type keyedStore struct {
	Places       float64
	Limit        int
	FallMultiple float64
	FallAfter    time.Duration
	FallFor      time.Duration
}

type keyedMix struct {
	Rate         float64
	Shape        loadgen.Shape
	Functions    int
	Zipf         float64
	Once         float64
	Drift        time.Duration
	Work         time.Duration
	WorkSigma    float64
	Load         time.Duration
	MemoryMB     float64
	Reply        int
	Patience     time.Duration
	Habit        loadgen.Habit
	Retries      int
	OwnFunctions bool
}

// keyed is cfg in the form that enters a key.
func keyed(cfg *simulation.Config) keyedConfig {
	return keyedConfig{
		Workers:   cfg.Workers,
		Cells:     cfg.Cells,
		FrontEnds: cfg.FrontEnds,
		Worker:    keyedWorkerOf(&cfg.Worker),
		Store:     keyedStoreOf(&cfg.Store),
		Settings:  cfg.Settings,
		Net:       cfg.NetworkLatency,
		Jitter:    cfg.Jitter,
		Handshake: cfg.Handshake,
		Zones:     cfg.Zones,
		ListLag:   cfg.DiscoveryLag,
		Mix:       keyedMixOf(&cfg.Mix),
		Lasts:     cfg.Duration,
		Troubles:  cfg.Faults,
		Seed:      cfg.Seed,
		LogLevel:  cfg.LogLevel,
		Policy:    cfg.Policy,
	}
}

func keyedWorkerOf(x *model.WorkerConfig) keyedWorker {
	return keyedWorker{
		Name:        x.Name,
		Cell:        x.Cell,
		Cores:       x.Cores,
		Speed:       x.Speed,
		MemoryMB:    x.MemoryMB,
		Queue:       x.Queue,
		LoadsAtOnce: x.MaxConcurrentLoads,
		KeepAlive:   x.KeepAlive,
		MissAnswers: x.MissAnswers,
		MoreCopies:  x.LoadsMoreReplicas,
		StopsRuns:   x.CancelStopsWork,
		ColdFrom:    x.ColdCapacity,
		ColdTime:    x.SlowStart,
		TipMultiple: x.OverloadMultiple,
		TipWindow:   x.OverloadWindow,
		KeyMemory:   x.KeyRetention,
	}
}

func keyedStoreOf(x *model.StoreConfig) keyedStore {
	return keyedStore{
		Places:       x.Places,
		Limit:        x.Limit,
		FallMultiple: x.OutageMultiple,
		FallAfter:    x.OutageAfter,
		FallFor:      x.OutageDuration,
	}
}

func keyedMixOf(x *loadgen.Mix) keyedMix {
	return keyedMix{
		Rate:         x.Rate,
		Shape:        x.Shape,
		Functions:    x.Functions,
		Zipf:         x.Zipf,
		Once:         x.Once,
		Drift:        x.Drift,
		Work:         x.Work,
		WorkSigma:    x.WorkSigma,
		Load:         x.Load,
		MemoryMB:     x.MemoryMB,
		Reply:        x.Reply,
		Patience:     x.Patience,
		Habit:        x.Habit,
		Retries:      x.Retries,
		OwnFunctions: x.OwnFunctions,
	}
}

// key is a hash of all that a run depends on, the program that runs it included.
func (s *Spec) key(v Variant, sc Scenario, seed, program uint64) string {
	h := xxhash.New()
	cfg := s.config(v, sc, seed)
	_, _ = fmt.Fprintf(h, "%+v %x", keyed(&cfg), program) // a hash never fails
	return strconv.FormatUint(h.Sum64(), 16)
}

// programHash is a hash of a program, of this one if path is empty; 0 where it cannot be read.
func programHash(path string) uint64 {
	if path == "" {
		path, _ = os.Executable()
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(raw)
}
