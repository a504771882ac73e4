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

// Config is one run.
type Config struct {
	Seed      uint64
	FrontEnds int
	Workers   int
	Cells     int
	Length    time.Duration
	Command   func() *exec.Cmd  // starts a front end, which reads its configuration's path from RELAY_CONFIG
	LogDir    string            // keeps the front ends' logs; empty: a temporary directory that is removed
	Notes     func(text string) // told of each fault as it begins; nil: nobody
}

// Report is what became of a run.
type Report struct {
	Requests, Served, Rejected, Failed, Cancelled int
	Arrivals, Repeats                             int
	Faults                                        map[string]int
	Violations                                    []Violation
	WorstLag                                      time.Duration // of the soak itself
	NotedLags                                     []string      // when it was more than the slack of the rules
}

// run is a run under way.
type run struct {
	config         Config
	history        *History
	directory      string
	endpoints      *endpoints
	connectTimeout time.Duration
	frontEnds      []*frontEnd
	tasks          sync.WaitGroup
	requests       atomic.Uint64
	lag            lagMeter // of the goroutine that measures, until the tasks have ended
	stopOnce       sync.Once

	mu      sync.Mutex
	workers []*worker // but those being replaced, which their fault closes
	nextID  uint32
	busy    map[*frontEnd]bool // a signal or restart is under way
	played  map[string]int
}

// lateConnectTimeout lets connections come up that were held back: the system sends a SYN again after a second.
const lateConnectTimeout = 1500 * time.Millisecond

// noHealthChecksEvery gives the runs whose settings forbid health checks: one seed in so many.
const noHealthChecksEvery = 4

// Run plays one run and judges it. An error is about the run itself.
func Run(ctx context.Context, config Config) (Report, error) {
	r := &run{
		config:         config,
		history:        NewHistory(),
		connectTimeout: connectTimeout,
		busy:           map[*frontEnd]bool{},
		played:         map[string]int{},
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
	r.play(ctx)
	return r.report(), nil
}

func (r *run) makeDirectory() (remove func(), err error) {
	if r.config.LogDir != "" {
		r.directory = filepath.Join(r.config.LogDir, fmt.Sprintf("seed-%d", r.config.Seed))
		return func() {}, os.MkdirAll(r.directory, 0o700)
	}
	r.directory, err = os.MkdirTemp("", "soak")
	return func() { _ = os.RemoveAll(r.directory) }, err
}

// start starts everything.
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

// runsStarted counts the runs of this process.
var runsStarted atomic.Int64

// subnet is the loopback network of a run's front ends: no other run has it, and no connection has an end in it, so that
// a front end finds its address free again after a restart.
func subnet() string {
	number := os.Getpid()*64 + int(runsStarted.Add(1))%64
	return fmt.Sprintf("127.%d.%d", 64+number%128, number/128%250)
}

// play plays clients and faults for the run's length, and lets what is open end.
func (r *run) play(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Length)
	defer cancel()
	r.tasks.Go(func() { r.lag.measure(ctx, r.history) })
	var clients, faults sync.WaitGroup
	for i, f := range r.frontEnds {
		for n := range clientsPerFrontEnd {
			c := &client{run: r, frontEnd: f, rng: rand.New(rand.NewPCG(r.config.Seed, uint64(1000+i*clientsPerFrontEnd+n)))}
			clients.Go(func() { c.loop(ctx) })
		}
	}
	rng := rand.New(rand.NewPCG(r.config.Seed, 2))
	for n := uint64(0); ctx.Err() == nil; n++ {
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(meanFaultGap)))
		kind := pickFault(rng)
		drawn := &draw{rng: rand.New(rand.NewPCG(r.config.Seed, 1<<32+n)), length: time.Duration(rng.Float64() * float64(maxFault))}
		r.note(kind.name, drawn.length)
		faults.Go(func() { kind.play(ctx, r, drawn) })
	}
	faults.Wait()
	clients.Wait()
}

func (r *run) note(name string, length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.played[name]++
	r.notef("%s for %v", name, length.Round(time.Millisecond))
}

// notef reports something that is done to the installation.
func (r *run) notef(format string, args ...any) {
	if r.config.Notes != nil {
		r.config.Notes(fmt.Sprintf("%v ", r.history.Now().Round(time.Millisecond)) + fmt.Sprintf(format, args...))
	}
}

// stopFrontEnds ends all front ends with SIGTERM, so that their logs are complete. Only the first call has an effect.
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

// stop ends all that was started.
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

// nextRequest returns the number of a request that no other of the run has.
func (r *run) nextRequest() uint64 { return r.config.Seed<<32 + r.requests.Add(1) }

// addWorker starts a worker, nil if that fails.
func (r *run) addWorker(cell int, startedMillis int64, rng *rand.Rand) *worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextID++
	w, err := startWorker(r.history, r.nextID, cell, startedMillis, rand.New(rand.NewPCG(rng.Uint64(), 0)))
	if err != nil {
		r.history.Fault(err.Error())
		return nil
	}
	r.workers = append(r.workers, w)
	return w
}

// pickWorker draws one of the workers.
func (r *run) pickWorker(rng *rand.Rand) *worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.workers[rng.IntN(len(r.workers))]
}

// removeWorker removes one of the workers out, nil if too many were taken out lately.
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

// acquireFrontEnd draws a front end to which nothing is done yet, nil if there is none.
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

// release ends what acquireFrontEnd began.
func (r *run) release(f *frontEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.busy, f)
}

// restart starts a front end that has ended.
func (r *run) restart(f *frontEnd, resumed func()) {
	defer r.release(f)
	if err := f.start(); err != nil {
		r.history.Fault(err.Error())
	}
	resumed()
}

// report judges the run.
func (r *run) report() Report {
	r.stopFrontEnds()
	report := Report{
		Faults:     r.played,
		Violations: Judge(r.history),
		WorstLag:   r.lag.worst,
		NotedLags:  r.lag.noted,
	}
	h := r.history
	h.mu.Lock()
	defer h.mu.Unlock()
	report.Requests, report.Arrivals = len(h.requests), len(h.arrivals)
	seen := map[string]bool{}
	for _, arrival := range h.arrivals {
		if seen[arrival.RequestID] {
			report.Repeats++
		}
		seen[arrival.RequestID] = true
	}
	for _, request := range h.requests {
		if request.GivenUp > 0 {
			report.Cancelled++
		}
		if len(request.Answers) == 0 {
			continue
		}
		switch request.Answers[0].Outcome {
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
