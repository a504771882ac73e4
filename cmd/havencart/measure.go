package main

import (
	"os"
	"runtime/pprof"
	"time"

	"github.com/spf13/cobra"

	"havencart/lab/measure"
)

// measureOptions holds the flags of the measure command.
type measureOptions struct {
	config          measure.Config
	overload        measure.OverloadConfig // overload measurement, which replaces all others if it has factors
	idleConnections int                    // number of idle connections whose memory is measured; 0: not measured
	rejectionCost   bool                   // measure the cost of a rejection instead of the paths and the memory
	profilePath     string                 // file for a CPU profile; empty: no profile
}

// measureCommand returns the command that measures the latency, throughput and resource use of the front end itself.
func measureCommand() *cobra.Command {
	options := measureOptions{}
	cmd := &cobra.Command{
		Use:   "measure",
		Short: "Measure the front end in comparison with direct requests and a plain reverse proxy",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return options.run(cmd) },
	}
	config, overload, flags := &options.config, &options.overload, cmd.Flags()
	flags.IntVar(&config.Workers, "workers", 8, "number of emulated workers")
	flags.IntVar(&config.Connections, "connections", 64, "number of client connections, each with one request in flight")
	flags.DurationVar(&config.Work, "work", 0, "work of a request at its worker")
	flags.IntVar(&config.ResponseBytes, "reply", 100, "size of a response in bytes")
	flags.DurationVar(&config.Duration, "for", 3*time.Second, "duration of each measurement")
	flags.IntVar(&config.Rounds, "rounds", 5, "number of rounds, each of which measures all paths in turn")
	flags.IntVar(&config.Loops, "loops", 1, "number of event loops of the front end")
	flags.IntVar(&options.idleConnections, "idle", 2000, "number of idle connections whose memory is measured; 0: none")
	flags.BoolVar(&options.rejectionCost, "refusal", false, "only compare the cost of a rejection with that of a served request")
	flags.Float64SliceVar(&overload.LoadFactors, "overload", nil, "only measure whole installations at these multiples of the workers' capacity")
	flags.Uint64Var(&overload.Seed, "overload-seed", 1, "seed of the clients' requests with --overload")
	flags.IntVar(&overload.Workers, "overload-workers", 8, "number of emulated workers with two cores each with --overload")
	flags.IntVar(&overload.FrontEnds, "overload-front-ends", 2, "number of front ends with --overload")
	flags.DurationVar(&overload.Work, "overload-work", 40*time.Millisecond, "mean work of a request with --overload")
	flags.DurationVar(&overload.Duration, "overload-for", 12*time.Second, "duration of the measurement at each multiple with --overload")
	flags.StringVar(&options.profilePath, "profile", "", "file to which a CPU profile is written")
	return cmd
}

func (o *measureOptions) run(cmd *cobra.Command) error {
	if o.profilePath != "" {
		stop, err := startProfile(o.profilePath)
		if err != nil {
			return err
		}
		defer stop()
	}
	switch {
	case o.overload.LoadFactors != nil:
		return measureOverload(cmd, o.overload)
	case o.rejectionCost:
		return measureRejection(cmd, o.config)
	}
	if err := measurePaths(cmd, o.config); err != nil {
		return err
	}
	if o.idleConnections > 0 {
		return measureIdleConnections(cmd, o.config, o.idleConnections)
	}
	return nil
}

// startProfile writes a CPU profile to the file at path until stop is called.
func startProfile(path string) (stop func(), err error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		_ = file.Close() // the first error is the one to report
		return nil, err
	}
	stop = func() {
		pprof.StopCPUProfile()
		_ = file.Close() // a truncated profile is detected when it is read
	}
	return stop, nil
}

// measureRejection compares the CPU time of a rejected request with that of a served request.
func measureRejection(cmd *cobra.Command, config measure.Config) error {
	return measure.RejectionCost(cmd.Context(), config, func(served, rejected float64) {
		results(cmd).printf("CPU time per request, whole process: served %.1f µs, rejected %.1f µs, ratio %.2f\n", served, rejected, rejected/served)
	})
}

// measureOverload measures whole installations at multiples of their capacity. It returns errInvariantViolated if an
// invariant was violated.
func measureOverload(cmd *cobra.Command, config measure.OverloadConfig) error {
	out, violated, best := results(cmd), false, 0.0
	err := measure.Overload(cmd.Context(), config, func(sample measure.OverloadSample) {
		best = max(best, sample.Goodput)
		out.printf("x%-4v %6.0f requests/s offered, goodput %6.0f/s, %.2f of the best so far; %v\n",
			sample.LoadFactor, sample.Offered, sample.Goodput, sample.Goodput/best, sample.Tally)
		for _, violation := range sample.Violations {
			out.printf("invariant %s violated: %s\n", violation.Rule, violation.Detail)
		}
		if len(sample.Violations) > 0 || !sample.Tally.Balanced() {
			violated = true
		}
	})
	if err == nil && violated {
		return errInvariantViolated
	}
	return err
}

// pathMetrics are the metrics by which the paths to a worker are compared.
var pathMetrics = []struct {
	name  string
	value func(measure.Sample) float64
}{
	{"requests per second", func(s measure.Sample) float64 { return s.Rate }},
	{"CPU/request (whole process)", func(s measure.Sample) float64 { return s.CPUPerRequestMicros }},
	{"p50 at half load", func(s measure.Sample) float64 { return float64(s.HalfLoadP50) }},
	{"p99 at half load", func(s measure.Sample) float64 { return float64(s.HalfLoadP99) }},
	{"p999 at half load", func(s measure.Sample) float64 { return float64(s.HalfLoadP999) }},
}

// measurePaths compares the gateway with the other paths to a worker, by the ratio of each metric in each round.
func measurePaths(cmd *cobra.Command, config measure.Config) error {
	out := results(cmd)
	paths, err := measure.Run(cmd.Context(), config, func(text string) { out.println(text) })
	if err != nil {
		return err
	}
	others, gatewayPath := paths[:2], paths[2]
	out.printf("\nratio of the gateway to the other paths over all rounds: minimum, median, maximum\n")
	for _, metric := range pathMetrics {
		for _, other := range others {
			minimum, median, maximum := measure.Ratios(gatewayPath, other, metric.value)
			out.printf("  %-28s / %-7s %6.2f %6.2f %6.2f\n", metric.name, other.Name, minimum, median, maximum)
		}
	}
	return nil
}

// measureIdleConnections measures the memory use of a connection that has no request in flight.
func measureIdleConnections(cmd *cobra.Command, config measure.Config, connections int) error {
	heap, stack, err := measure.IdleMemory(cmd.Context(), config, connections)
	if err != nil {
		return err
	}
	results(cmd).printf("memory per idle connection, both ends: heap %.0f bytes, stack %.0f bytes\n", heap, stack)
	return nil
}
