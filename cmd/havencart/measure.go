package main

import (
	"os"
	"runtime/pprof"
	"time"

	"github.com/spf13/cobra"

	"havencart/lab/measure"
)

// measureOptions are the flags of a measurement.
type measureOptions struct {
	config          measure.Config
	overload        measure.OverloadConfig // measured in place of the rest where it has factors
	idleConnections int                    // 0: their memory is not measured
	rejectionCost   bool                   // measured in place of the rest
	profilePath     string                 // empty: no profile
}

// measureCommand measures the front end's own cost and speed.
func measureCommand() *cobra.Command {
	options := measureOptions{}
	cmd := &cobra.Command{
		Use:   "measure",
		Short: "Measure the front end beside a direct request and a plain reverse proxy",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return options.run(cmd) },
	}
	config, overload, flags := &options.config, &options.overload, cmd.Flags()
	flags.IntVar(&config.Workers, "workers", 8, "emulated workers")
	flags.IntVar(&config.Connections, "connections", 64, "clients' connections, each with one request in flight")
	flags.DurationVar(&config.Work, "work", 0, "work of a request at its worker")
	flags.IntVar(&config.ResponseBytes, "reply", 100, "bytes of a response")
	flags.DurationVar(&config.Duration, "for", 3*time.Second, "length of each measurement")
	flags.IntVar(&config.Rounds, "rounds", 5, "rounds, in each of which all paths take their turn")
	flags.IntVar(&config.Loops, "loops", 1, "front ends in the process")
	flags.IntVar(&options.idleConnections, "idle", 2000, "idle connections whose memory is measured; 0: none")
	flags.BoolVar(&options.rejectionCost, "refusal", false, "instead: the cost of a rejection beside that of a served request")
	flags.Float64SliceVar(&overload.Factors, "overload", nil, "instead: whole installations at these multiples of the workers' capacity")
	flags.Uint64Var(&overload.Seed, "overload-seed", 1, "seed of the clients' requests")
	flags.IntVar(&overload.Workers, "overload-workers", 8, "emulated workers of two cores")
	flags.IntVar(&overload.FrontEnds, "overload-front-ends", 2, "front ends")
	flags.DurationVar(&overload.Work, "overload-work", 40*time.Millisecond, "mean work of a request")
	flags.DurationVar(&overload.Duration, "overload-for", 12*time.Second, "length at each multiple")
	flags.StringVar(&options.profilePath, "profile", "", "write a CPU profile here")
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
	case o.overload.Factors != nil:
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
		_ = file.Close() // a profile that is cut short shows when it is read
	}
	return stop, nil
}

// measureRejection compares the CPU time of a rejection with that of a served request.
func measureRejection(cmd *cobra.Command, config measure.Config) error {
	return measure.RejectionCost(cmd.Context(), config, func(served, rejected float64) {
		results(cmd).printf("CPU of a call, whole process: served %.1f µs, refused %.1f µs, %.2f of it\n", served, rejected, rejected/served)
	})
}

// measureOverload measures whole installations above their capacity. It returns errRule if an invariant was violated.
func measureOverload(cmd *cobra.Command, config measure.OverloadConfig) error {
	out, violated, best := results(cmd), false, 0.0
	err := measure.Overload(cmd.Context(), config, func(point measure.Point) {
		best = max(best, point.Goodput)
		out.printf("x%-4v %6.0f calls/s offered, worth %6.0f/s served in time, %.2f of the best so far; %v\n",
			point.Factor, point.Offered, point.Goodput, point.Goodput/best, point.Tally)
		for _, violation := range point.Violations {
			out.printf("rule %s broken: %s\n", violation.Rule, violation.Detail)
		}
		if len(point.Violations) > 0 || !point.Tally.Balanced() {
			violated = true
		}
	})
	if err == nil && violated {
		return errRule
	}
	return err
}

// pathMetrics are the values by which the paths to a worker are compared.
var pathMetrics = []struct {
	name  string
	value func(measure.Sample) float64
}{
	{"calls a second", func(s measure.Sample) float64 { return s.Rate }},
	{"CPU a call (whole process)", func(s measure.Sample) float64 { return s.CPUPerRequestMicros }},
	{"p50 at half load", func(s measure.Sample) float64 { return float64(s.HalfLoadP50) }},
	{"p99 at half load", func(s measure.Sample) float64 { return float64(s.HalfLoadP99) }},
	{"p999 at half load", func(s measure.Sample) float64 { return float64(s.HalfLoadP999) }},
}

// measurePaths compares the gateway with the other paths to a worker, by ratios of each round.
func measurePaths(cmd *cobra.Command, config measure.Config) error {
	out := results(cmd)
	paths, err := measure.Run(cmd.Context(), config, func(text string) { out.println(text) })
	if err != nil {
		return err
	}
	others, gatewayPath := paths[:2], paths[2]
	out.printf("\ngateway beside the others, round by round: least, middle, most\n")
	for _, metric := range pathMetrics {
		for _, other := range others {
			least, median, most := measure.Ratios(gatewayPath, other, metric.value)
			out.printf("  %-28s / %-7s %6.2f %6.2f %6.2f\n", metric.name, other.Name, least, median, most)
		}
	}
	return nil
}

// measureIdleConnections measures the memory of a connection without a request.
func measureIdleConnections(cmd *cobra.Command, config measure.Config, connections int) error {
	heap, stack, err := measure.IdleMemory(cmd.Context(), config, connections)
	if err != nil {
		return err
	}
	results(cmd).printf("an idle connection, both ends: heap %.0f bytes, stack %.0f bytes\n", heap, stack)
	return nil
}
