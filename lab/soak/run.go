package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

// Config configures one run.
type Config struct {
	Seed      uint64 // seeds the random draws of faults, clients and workers
	FrontEnds int
	Workers   int
	Cells     int
	Length    time.Duration    // how long clients send requests and faults are injected
	Command   func() *exec.Cmd // returns a front end's command, to which RELAY_CONFIG names its configuration file
	// FloodCommand returns the command `havencart flood`, to which arguments are appended. If it is nil, there are no floods.
	FloodCommand func() *exec.Cmd
	LogDir       string            // directory for the front ends' logs; if empty, a temporary directory that is removed
	ReportFault  func(text string) // called for each fault as it begins, and for its steps; may be nil
}

// Report summarizes a run.
type Report struct {
	Requests, Served, Rejected, Failed, Abandoned int
	Attempts, Retries                             int            // all attempts, and those after a request's first
	Faults                                        map[string]int // number of injected faults by name
	Violations                                    []Violation
	WorstLag                                      time.Duration // the longest lag of the soak's own process; see lagMeter
	RecordedLags                                  []string      // lags above timingSlack, at most maxRecordedLags
}

// run is a run in progress.
type run struct {
	config         Config
	history        *History
	directory      string
	endpoints      *endpoints
	connectTimeout time.Duration
	profile        profile
	frontEnds      []*frontEnd
	tasks          sync.WaitGroup
	requests       atomic.Uint64 // number of requests sent
	lag            lagMeter      // owned by the measuring goroutine until tasks have ended
	stopOnce       sync.Once

	mu          sync.Mutex
	workers     []*worker // except those being replaced, which replaceWorker closes
	nextID      uint32
	busy        map[*frontEnd]bool // a fault that signals or restarts the front end is in progress
	faultCounts map[string]int     // number of faults by name
}

// lateConnectTimeout lets connections that were held back be established: the system retransmits a SYN after one
// second. Runs with an even seed use it in place of connectTimeout.
const lateConnectTimeout = 1500 * time.Millisecond

// noHealthChecksEvery selects the runs whose settings forbid health checks: those whose seed is a multiple of it.
const noHealthChecksEvery = 4

// Run executes one run and checks its history. An error means that the run itself failed, not that a rule was broken.
func Run(ctx context.Context, config Config) (Report, error) {
	r := &run{
		config:         config,
		history:        NewHistory(),
		connectTimeout: connectTimeout,
		profile:        profileOf(config.Seed),
		busy:           map[*frontEnd]bool{},
		faultCounts:    map[string]int{},
	}
	if config.Seed%2 == 0 {
		r.connectTimeout = lateConnectTimeout
	}
	remove, err := r.makeDirectory()
	if err != nil {
		return Report{}, err
	}
	defer remove()
	err = r.start()
	defer r.stop()
	if err != nil {
		return Report{}, err
	}
	r.runClientsAndFaults(ctx)
	return r.report(), nil
}

// makeDirectory creates the directory of configurations and logs. The function remove removes it if it is temporary.
func (r *run) makeDirectory() (remove func(), err error) {
	if r.config.LogDir != "" {
		r.directory = filepath.Join(r.config.LogDir, fmt.Sprintf("seed-%d", r.config.Seed))
		return func() {}, os.MkdirAll(r.directory, 0o700)
	}
	r.directory, err = os.MkdirTemp("", "soak")
	return func() { _ = os.RemoveAll(r.directory) }, err
}

// start starts discovery, the workers and the front ends.
func (r *run) start() error {
	var err error
	if r.endpoints, err = startEndpoints(r.history); err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(r.config.Seed, 1))
	for i := range r.config.Workers {
		if w := r.addWorker(i%r.config.Cells, 0, rng); w != nil {
			r.endpoints.publish(w.entry)
		}
	}
	network := subnet()
	for i := range r.config.FrontEnds {
		f := &frontEnd{
			index:   i,
			address: fmt.Sprintf("%s.%d:9090", network, 1+i),
			path:    filepath.Join(r.directory, fmt.Sprintf("n%d.json", i)),
			run:     r,
		}
		if err := f.start(); err != nil {
			return err
		}
		r.frontEnds = append(r.frontEnds, f)
	}
	return nil
}

// runsStarted counts the runs of this process, which may overlap.
var runsStarted atomic.Int64

// subnet returns the prefix of the loopback addresses of a run's front ends. Concurrent runs have different ones, and
// no outgoing connection has its local address there, so that a front end finds its address free after a restart.
func subnet() string {
	number := os.Getpid()*64 + int(runsStarted.Add(1))%64
	return fmt.Sprintf("127.%d.%d", 64+number%128, number/128%250)
}

// runClientsAndFaults runs the clients and injects faults for the run's length, and waits until all of them have ended.
func (r *run) runClientsAndFaults(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Length)
	defer cancel()
	r.tasks.Go(func() { r.lag.measure(ctx, r.history) })
	var clients, faults sync.WaitGroup
	for i, f := range r.frontEnds {
		for n := range r.profile.clientsPerFrontEnd {
			c := &client{run: r, frontEnd: f, rng: rand.New(rand.NewPCG(r.config.Seed, uint64(1000+i*r.profile.clientsPerFrontEnd+n)))}
			clients.Go(func() { c.sendRequests(ctx) })
		}
	}
	rng := rand.New(rand.NewPCG(r.config.Seed, 2))
	for n := uint64(0); ctx.Err() == nil; n++ {
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(meanFaultGap)))
		kind := pickFault(rng)
		params := &faultParams{rng: rand.New(rand.NewPCG(r.config.Seed, 1<<32+n)), duration: time.Duration(rng.Float64() * float64(maxFaultDuration))}
		r.recordFault(kind.name, params.duration)
		faults.Go(func() { kind.inject(ctx, r, params) })
	}
	faults.Wait()
	clients.Wait()
}

// recordFault counts a fault that begins and reports it.
func (r *run) recordFault(name string, length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultCounts[name]++
	r.logf("%s for %v", name, length.Round(time.Millisecond))
}

// logf passes a line with the time of the run to Config.ReportFault.
func (r *run) logf(format string, args ...any) {
	if r.config.ReportFault != nil {
		r.config.ReportFault(fmt.Sprintf("%v ", r.history.Now().Round(time.Millisecond)) + fmt.Sprintf(format, args...))
	}
}

// stopFrontEnds terminates all front ends and waits for the background tasks, so that the front ends' logs are read to
// their end. Only the first call has an effect.
func (r *run) stopFrontEnds() {
	r.stopOnce.Do(func() {
		var ends sync.WaitGroup
		for _, f := range r.frontEnds {
			ends.Go(f.terminate)
		}
		ends.Wait()
		r.tasks.Wait()
	})
}

// stop stops everything that start started. It also works after a failed start.
func (r *run) stop() {
	r.stopFrontEnds()
	r.mu.Lock()
	workers := r.workers
	r.mu.Unlock()
	for _, w := range workers {
		w.close()
	}
	if r.endpoints != nil {
		r.endpoints.server.Close()
	}
}

// nextRequest returns the next request's number, which is unique within the run.
func (r *run) nextRequest() uint64 { return r.config.Seed<<32 + r.requests.Add(1) }

// addWorker starts a worker. It returns nil, and records the error as a violation, if the worker cannot start.
func (r *run) addWorker(cell int, startedMillis int64, rng *rand.Rand) *worker {
	w, err := r.startWorker(workerConfig{cell: cell, startedMillis: startedMillis}, rng)
	if err != nil {
		r.history.RecordViolation(err.Error())
		return nil
	}
	r.keepWorker(w)
	return w
}

// startWorker starts a worker with a new identifier. The caller must pass it to keepWorker.
func (r *run) startWorker(config workerConfig, rng *rand.Rand) (*worker, error) {
	r.mu.Lock()
	r.nextID++
	config.id = r.nextID
	r.mu.Unlock()
	return startWorker(r.history, config, rand.New(rand.NewPCG(rng.Uint64(), 0)))
}

// keepWorker makes a worker available to faults, and to stop.
func (r *run) keepWorker(w *worker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workers = append(r.workers, w)
}

// pickWorker draws a worker at random.
func (r *run) pickWorker(rng *rand.Rand) *worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.workers[rng.IntN(len(r.workers))]
}

// removeWorker draws a worker at random and removes it from r.workers, for the caller to close. It returns nil if too
// many are being replaced already, which leaves no more than half of the configured workers.
func (r *run) removeWorker(rng *rand.Rand) *worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.workers) <= r.config.Workers/2 {
		return nil
	}
	i := rng.IntN(len(r.workers))
	w := r.workers[i]
	r.workers = append(r.workers[:i:i], r.workers[i+1:]...)
	return w
}

// acquireFrontEnd draws a front end at random and marks it as busy. It returns nil if the front end drawn is busy
// already.
func (r *run) acquireFrontEnd(rng *rand.Rand) *frontEnd {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.frontEnds[rng.IntN(len(r.frontEnds))]
	if r.busy[f] {
		return nil
	}
	r.busy[f] = true
	return f
}

// releaseFrontEnd ends the reservation that acquireFrontEnd made.
func (r *run) releaseFrontEnd(f *frontEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.busy, f)
}

// restart starts the process of an acquired front end that has ended, calls resumed and releases the front end.
func (r *run) restart(f *frontEnd, resumed func()) {
	defer r.releaseFrontEnd(f)
	if err := f.start(); err != nil {
		r.history.RecordViolation(err.Error())
	}
	resumed()
}

// report checks the run's history and returns the run's totals.
func (r *run) report() Report {
	r.stopFrontEnds()
	report := Report{
		Faults:       r.faultCounts,
		Violations:   CheckHistory(r.history, r.profile.killAfter()),
		WorstLag:     r.lag.worst,
		RecordedLags: r.lag.recorded,
	}
	h := r.history
	h.mu.Lock()
	defer h.mu.Unlock()
	report.Requests, report.Attempts = len(h.requests), len(h.arrivals)
	seen := map[string]bool{}
	for _, arrival := range h.arrivals {
		if seen[arrival.RequestID] {
			report.Retries++
		}
		seen[arrival.RequestID] = true
	}
	for _, request := range h.requests {
		if request.AbandonedAt > 0 {
			report.Abandoned++
		}
		if len(request.Responses) == 0 {
			continue
		}
		switch request.Responses[0].Outcome {
		case Served:
			report.Served++
		case Rejected:
			report.Rejected++
		case Failed:
			report.Failed++
		}
	}
	return report
}
