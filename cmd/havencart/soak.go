package main

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"slices"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"havencart/lab/soak"
)

// soakOptions holds the flags of the soak command.
type soakOptions struct {
	firstSeed  uint64
	seeds      int
	parallel   int
	frontEnds  int
	workers    int
	largeEvery uint64 // runs whose seed is a multiple of it have many workers; 0: no such runs
	length     time.Duration
	logs       string // directory for the front ends' logs; empty: the logs are not kept
	verbose    bool
	frontEnd   string // path of the program to run as the front ends; empty: this program
}

// soakCommand returns the command that runs front ends as processes under random faults and checks the invariants
// against what clients and workers observed.
func soakCommand() *cobra.Command {
	options := &soakOptions{}
	command := &cobra.Command{
		Use:   "soak",
		Short: "Run front ends as processes under random, overlapping faults and check the invariants",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return runSoak(cmd.Context(), results(cmd), options) },
	}
	flags := command.Flags()
	flags.Uint64Var(&options.firstSeed, "seed", 1, "seed of the first run")
	flags.IntVar(&options.seeds, "seeds", 1, "number of runs, with consecutive seeds")
	flags.IntVar(&options.parallel, "parallel", 1, "maximum number of concurrent runs")
	flags.IntVar(&options.frontEnds, "front-ends", 24, "number of front-end processes in a run")
	flags.IntVar(&options.workers, "workers", 10, "number of emulated workers in a run")
	flags.Uint64Var(&options.largeEvery, "large-every", 5, "runs whose seed is a multiple of this have few processes and many workers; 0: no such runs")
	flags.DurationVar(&options.length, "length", 12*time.Second, "duration of a run")
	flags.StringVar(&options.logs, "logs", "", "directory in which the front ends' logs are kept")
	flags.StringVar(&options.frontEnd, "front-end", "", "program to run as the front ends; default: this program")
	flags.BoolVar(&options.verbose, "verbose", false, "print each fault when it begins")
	return command
}

// soakCells is the number of cells in a run, except for runs with many workers.
const soakCells = 3

// Sizes of a run with many workers. The number of workers is limited by the file descriptors of the process that
// emulates them.
const (
	largeSoakFrontEnds = 6
	largeSoakWorkers   = 3000
	largeSoakCellSize  = 4
)

func runSoak(ctx context.Context, out output, options *soakOptions) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	var (
		mu     sync.Mutex
		tally  soakTally
		failed error
		runs   sync.WaitGroup
	)
	slots := make(chan struct{}, max(1, options.parallel))
	for i := range options.seeds {
		if ctx.Err() != nil {
			break
		}
		slots <- struct{}{}
		runs.Go(func() {
			defer func() { <-slots }()
			config := options.config(options.firstSeed+uint64(i), executable, out)
			report, err := soak.Run(ctx, config)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				out.printf("seed %d: the run did not complete: %v\n", config.Seed, err)
				failed = err
				return
			}
			tally.add(report)
			printSoakReport(out, config.Seed, report)
		})
	}
	runs.Wait()
	out.printf("%d seeds: %v\n", options.seeds, tally)
	if failed != nil {
		return failed
	}
	if tally.violating.total() > 0 {
		return errInvariantViolated
	}
	return nil
}

// soakTally counts the runs without and with violations.
type soakTally struct{ clean, violating soakRuns }

// soakRuns counts runs by whether the soak process itself lagged by more than the slack that the checks allow. In a
// lagging run, a violation that was found by comparing times may be caused by the lag, and the absence of violations is
// weaker evidence.
type soakRuns struct{ punctual, late int }

func (r soakRuns) total() int { return r.punctual + r.late }

// add counts a run.
func (t *soakTally) add(report soak.Report) {
	runs := &t.clean
	if len(report.Violations) > 0 {
		runs = &t.violating
	}
	if len(report.RecordedLags) > 0 {
		runs.late++
	} else {
		runs.punctual++
	}
}

// String returns the counts as text.
func (t soakTally) String() string {
	return fmt.Sprintf("%d runs without violations, %d with violations; the soak process itself lagged in %d and %d of them",
		t.clean.total(), t.violating.total(), t.clean.late, t.violating.late)
}

// config returns the configuration of the run with the given seed.
func (o *soakOptions) config(seed uint64, executable string, out output) soak.Config {
	frontEnds, workers, cells := o.frontEnds, o.workers, soakCells
	if o.largeEvery > 0 && seed%o.largeEvery == 0 {
		frontEnds, workers, cells = largeSoakFrontEnds, largeSoakWorkers, largeSoakWorkers/largeSoakCellSize
	}
	config := soak.Config{
		Seed:      seed,
		FrontEnds: frontEnds,
		Workers:   workers,
		Cells:     cells,
		Length:    o.length,
		Command:   func() *exec.Cmd { return exec.Command(cmp.Or(o.frontEnd, executable), "serve-platform") },

		FloodCommand: func() *exec.Cmd { return exec.Command(executable, "flood") },
		LogDir:       o.logs,
	}
	if o.verbose {
		config.ReportFault = func(text string) { out.printf("seed %d: %s\n", seed, text) }
	}
	return config
}

// printSoakReport prints the results of a run, followed by one line for each violation.
func printSoakReport(out output, seed uint64, report soak.Report) {
	faults := 0
	for _, name := range slices.Sorted(maps.Keys(report.Faults)) {
		faults += report.Faults[name]
	}
	out.printf("seed %d: %d requests, %d served, %d rejected, %d failed, %d abandoned; %d attempts, %d of them retries; %d faults; %d violations\n",
		seed, report.Requests, report.Served, report.Rejected, report.Failed, report.Abandoned, report.Attempts, report.Retries,
		faults, len(report.Violations))
	out.printf("seed %d: maximum lag of the soak process itself: %v; lags above the allowed slack: %v\n", seed, report.WorstLag, report.RecordedLags)
	for _, violation := range report.Violations {
		out.printf("seed %d: %s\n", seed, violation)
	}
}
