package main

import (
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

// soakOptions are the flags of the soak command.
type soakOptions struct {
	firstSeed  uint64
	seeds      int
	parallel   int
	frontEnds  int
	workers    int
	largeEvery uint64 // seeds that it divides have many workers; 0: none
	length     time.Duration
	logs       string
	verbose    bool
}

// soakCommand runs front ends as processes under random faults and judges what clients and workers saw.
func soakCommand() *cobra.Command {
	options := &soakOptions{}
	command := &cobra.Command{
		Use:   "soak",
		Short: "Run front ends as processes under random faults that overlap, and judge them by the rules",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return runSoak(cmd.Context(), results(cmd), options) },
	}
	flags := command.Flags()
	flags.Uint64Var(&options.firstSeed, "seed", 1, "first seed")
	flags.IntVar(&options.seeds, "seeds", 1, "how many seeds, from the first one on")
	flags.IntVar(&options.parallel, "parallel", 1, "how many runs at a time")
	flags.IntVar(&options.frontEnds, "front-ends", 24, "processes of a run")
	flags.IntVar(&options.workers, "workers", 10, "emulated workers of a run")
	flags.Uint64Var(&options.largeEvery, "large-every", 5, "one seed in so many has few processes and many workers; 0: none")
	flags.DurationVar(&options.length, "length", 12*time.Second, "length of a run")
	flags.StringVar(&options.logs, "logs", "", "directory that keeps the front ends' logs")
	flags.BoolVar(&options.verbose, "verbose", false, "tell each fault as it begins")
	return command
}

// soakCells is the number of cells of a run's workers.
const soakCells = 3

// A run with many workers: about as many as the descriptors of one emulating process allow.
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
				out.printf("seed %d was not played to its end: %v\n", config.Seed, err)
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
	if tally.broken.total() > 0 {
		return errRule
	}
	return nil
}

// soakTally counts the runs that kept the rules and those that broke one.
type soakTally struct{ kept, broken soakRuns }

// soakRuns are runs by whether the soak itself was late by more than the rules' slack: what is found by times in a late
// one may be its own, and one without a violation shows less.
type soakRuns struct{ punctual, late int }

func (r soakRuns) total() int { return r.punctual + r.late }

// add counts a run.
func (t *soakTally) add(report soak.Report) {
	runs := &t.kept
	if len(report.Violations) > 0 {
		runs = &t.broken
	}
	if len(report.NotedLags) > 0 {
		runs.late++
	} else {
		runs.punctual++
	}
}

// String returns the totals in words.
func (t soakTally) String() string {
	return fmt.Sprintf("%d kept the rules, %d broke one; the soak itself was late in %d and %d of them",
		t.kept.total(), t.broken.total(), t.kept.late, t.broken.late)
}

// config is the configuration of the run of a seed.
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
		Command:   func() *exec.Cmd { return exec.Command(executable, "serve-platform") },
		LogDir:    o.logs,
	}
	if o.verbose {
		config.Notes = func(text string) { out.printf("seed %d: %s\n", seed, text) }
	}
	return config
}

// printSoakReport prints what became of a run, with each violation on a line.
func printSoakReport(out output, seed uint64, report soak.Report) {
	faults := 0
	for _, name := range slices.Sorted(maps.Keys(report.Faults)) {
		faults += report.Faults[name]
	}
	out.printf("seed %d: %d requests, %d served, %d rejected, %d failed, %d given up; %d attempts, %d of them repeats; %d faults; %d violations\n",
		seed, report.Requests, report.Served, report.Rejected, report.Failed, report.Cancelled, report.Arrivals, report.Repeats,
		faults, len(report.Violations))
	out.printf("seed %d: the soak itself was late by %v at most; by more than the rules' slack: %v\n", seed, report.WorstLag, report.NotedLags)
	for _, violation := range report.Violations {
		out.printf("seed %d: %s\n", seed, violation)
	}
}
