// Package flood runs one front end as a process with little memory beside clients that send more than it can hold, and
// measures the process's memory and what its regular clients are served. Workers, discovery and clients are emulated on
// loopback.
package flood

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"sync"
	"time"
)

// Kind is what the flooding clients do.
type Kind string

// The kinds of floods. Flooding clients send well-formed requests unless stated otherwise.
const (
	None       Kind = "none"        // there are no flooding clients
	LargeWaves Kind = "large-waves" // all clients send requests with large bodies at the same times, on new connections
	Large      Kind = "large"       // each client keeps the maximum number of requests with large bodies open
	Small      Kind = "small"       // each client keeps the maximum number of requests without a body open
	Unread     Kind = "unread"      // clients do not read their responses, and connect again after a while
	SlowReader Kind = "slow-reader" // clients read their responses slowly
	Abandon    Kind = "abandon"     // clients disconnect soon after they have sent requests with large bodies
	Partial    Kind = "partial"     // clients send half of a request with a large body, and nothing more
	SlowWriter Kind = "slow-writer" // clients send requests with large bodies in small parts
	ManyFields Kind = "many-fields" // clients send a request with many large fields, but for its last byte
	Silent     Kind = "silent"      // clients connect and send nothing

	// In the following kinds, clients send at full speed and read what they get. They connect again at once.

	Heartbeats      Kind = "heartbeats"        // heartbeats
	UnknownCancels  Kind = "unknown-cancels"   // cancellations of requests that were not sent
	CancelledAtOnce Kind = "cancelled-at-once" // requests for ever new functions, cancelled at once
	RepeatedID      Kind = "repeated-id"       // requests that all have the same identifier
	UnknownClass    Kind = "unknown-class"     // requests of ever new classes that do not exist
	HeartbeatsAnew  Kind = "heartbeats-anew"   // a few heartbeats on each of ever new connections
	Connects        Kind = "connects"          // connections, without sending anything
)

// Kinds returns all kinds of floods.
func Kinds() []Kind {
	return []Kind{None, LargeWaves, Large, Small, Unread, SlowReader, Abandon, Partial, SlowWriter, ManyFields, Silent, Heartbeats, UnknownCancels, CancelledAtOnce, RepeatedID, UnknownClass, HeartbeatsAnew, Connects}
}

// Config is the configuration of a run. Fields whose comment says what 0 means are optional, as is LogPath.
type Config struct {
	Seed        uint64
	Kind        Kind
	Clients     int // flooding clients, each with one connection
	MemoryMB    int // memory limit in the front end's configuration; it is not enforced
	Descriptors int // limit of open file descriptors in the front end's configuration; it is not enforced
	Workers     WorkerConfig
	Length      time.Duration
	CoreShare   float64 // share of a core that the process gets, enforced; 0: not limited
	// RequestTimeout is the time for which clients wait for a response; 0: 3 s.
	RequestTimeout time.Duration
	// RegularGap is the mean time between two requests of a regular client; 0: 100 ms.
	RegularGap time.Duration
	Command    func() *exec.Cmd // returns a command that runs a front end; RELAY_CONFIG is set in its environment
	LogPath    string           // file for the front end's log; empty: the log is discarded
}

// WorkerConfig describes the emulated workers.
type WorkerConfig struct {
	Count              int
	MinDelay, MaxDelay time.Duration // bounds of the time from a request to its response
	ResponseBytes      int           // size of the body of a response
	StalledEvery       int           // every such worker stops in the middle of its responses; 0: none does
}

// Report is the result of a run.
type Report struct {
	PeakAnonymousBytes int64 // largest anonymous memory of the process
	PeakDescriptors    int   // largest number of open file descriptors of the process
	Exited             bool  // whether the process ended by itself
	WarmUp             Tally // requests of regular clients before the flood
	Regular            Tally // requests of regular clients beside the flood
	Flooding           Tally
}

// String returns the report as text.
func (r *Report) String() string {
	return fmt.Sprintf("peak %.1f MB, %d descriptors, exited %t; regular clients: %v; flooding clients: %v",
		float64(r.PeakAnonymousBytes)/bytesPerMB, r.PeakDescriptors, r.Exited, &r.Regular, &r.Flooding)
}

const (
	defaultRequestTimeout = 3 * time.Second
	defaultRegularGap     = 100 * time.Millisecond

	bytesPerMB = 1 << 20
	// warmUpTime is the time for which only the regular clients send, so that their functions are loaded.
	warmUpTime = 3 * time.Second
	// randomStream is the second seed word of the random number generators. The first one is derived from Config.Seed.
	randomStream = 0x666c6f6f64
)

// errNoWorkers is returned for a configuration without workers.
var errNoWorkers = errors.New("flood: at least one worker is required")

// Run runs a front end until the length of the run has passed, ctx ends or the process exits.
func Run(ctx context.Context, config Config) (*Report, error) {
	if config.Workers.Count < 1 {
		return nil, errNoWorkers
	}
	config.RequestTimeout = cmp.Or(config.RequestTimeout, defaultRequestTimeout)
	config.RegularGap = cmp.Or(config.RegularGap, defaultRegularGap)
	workers, err := startWorkers(config.Seed, config.Workers)
	if err != nil {
		return nil, err
	}
	defer workers.stop()
	frontEnd, err := startFrontEnd(config, workers)
	if err != nil {
		return nil, err
	}
	defer frontEnd.stop()
	ctx, cancel := context.WithTimeout(ctx, warmUpTime+config.Length)
	defer cancel()
	report := &Report{}
	newClient := func(index int, tallyNow func() *Tally) *client {
		return &client{address: frontEnd.address, timeout: config.RequestTimeout, random: newRandom(config.Seed, index), tallyNow: tallyNow}
	}
	floodBegins := time.Now().Add(warmUpTime)
	regularTally := func() *Tally {
		if time.Now().Before(floodBegins) {
			return &report.WarmUp
		}
		return &report.Regular
	}
	var clients sync.WaitGroup
	for i := range regularClients {
		clients.Go(func() { newClient(i, regularTally).sendSteadily(ctx, config.RegularGap) })
	}
	clients.Go(func() {
		if !pause(ctx, warmUpTime) {
			return
		}
		for i := range config.Clients {
			flooding := newClient(regularClients+i, func() *Tally { return &report.Flooding })
			clients.Go(func() { flooding.flood(ctx, config.Kind) })
		}
	})
	frontEnd.sampleUntilDone(ctx, report)
	cancel()
	clients.Wait()
	return report, nil
}

// newRandom returns the random number generator of one client or worker.
func newRandom(seed uint64, index int) *rand.Rand {
	return rand.New(rand.NewPCG(seed<<16+uint64(index), randomStream))
}

// pause waits for d and reports whether ctx is not done.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
