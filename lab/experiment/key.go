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

// keyedConfig is the form of a simulation.Config that is hashed into the key of a cell. It is printed with %+v, so the
// names and the order of its fields must not change: otherwise runs that earlier builds stored are not found in the
// results file and are run again. Types of other packages whose fields %+v would print are repeated here, so that those
// packages can rename them.
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
	Troubles  []scenario.Fault // printed by Fault.String, so its fields may be renamed
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
	Habit        loadgen.RetryPolicy
	Retries      int
	OwnFunctions bool
}

// keyedConfigOf converts a simulation.Config to the form that is hashed into a key.
func keyedConfigOf(cfg *simulation.Config) keyedConfig {
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

func keyedWorkerOf(config *model.WorkerConfig) keyedWorker {
	return keyedWorker{
		Name:        config.Name,
		Cell:        config.Cell,
		Cores:       config.Cores,
		Speed:       config.Speed,
		MemoryMB:    config.MemoryMB,
		Queue:       config.Queue,
		LoadsAtOnce: config.MaxConcurrentLoads,
		KeepAlive:   config.KeepAlive,
		MissAnswers: config.ReportsNotLoaded,
		MoreCopies:  config.ScalesUpOnQueue,
		StopsRuns:   config.CancelStopsWork,
		ColdFrom:    config.ColdCapacity,
		ColdTime:    config.SlowStart,
		TipMultiple: config.OverloadMultiple,
		TipWindow:   config.OverloadWindow,
		KeyMemory:   config.KeyRetention,
	}
}

func keyedStoreOf(config *model.StoreConfig) keyedStore {
	return keyedStore{
		Places:       config.Concurrency,
		Limit:        config.Limit,
		FallMultiple: config.OutageMultiple,
		FallAfter:    config.OutageAfter,
		FallFor:      config.OutageDuration,
	}
}

func keyedMixOf(mix *loadgen.Mix) keyedMix {
	return keyedMix{
		Rate:         mix.Rate,
		Shape:        mix.Shape,
		Functions:    mix.Functions,
		Zipf:         mix.Zipf,
		Once:         mix.RequestedOnceShare,
		Drift:        mix.Drift,
		Work:         mix.Work,
		WorkSigma:    mix.WorkSigma,
		Load:         mix.LoadTime,
		MemoryMB:     mix.MemoryMB,
		Reply:        mix.ResponseBytes,
		Patience:     mix.Timeout,
		Habit:        mix.RetryPolicy,
		Retries:      mix.Retries,
		OwnFunctions: mix.OwnFunctions,
	}
}

// key returns a hash of everything that a run depends on, including the program that runs it.
func (s *Spec) key(v Variant, sc Scenario, seed, program uint64) string {
	h := xxhash.New()
	cfg := s.config(v, sc, seed)
	_, _ = fmt.Fprintf(h, "%+v %x", keyedConfigOf(&cfg), program) // writing to a hash returns no error
	return strconv.FormatUint(h.Sum64(), 16)
}

// programHash returns a hash of the program file at path, or of the running program if path is empty. It returns 0 if
// the file cannot be read.
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
