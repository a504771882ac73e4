package main

import (
	"fmt"
	"os"
	"runtime/pprof"
	"time"

	"github.com/spf13/cobra"

	"havencart/lab/measure"
)

func measureCommand() *cobra.Command {
	cfg := measure.Config{}
	over := measure.OverloadConfig{}
	profile, idle, refusal := "", 0, false
	cmd := &cobra.Command{Use: "measure", Short: "Measure the front end beside a direct call and a plain reverse proxy",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			if profile != "" {
				f, err := os.Create(profile)
				if err != nil {
					return err
				}
				defer f.Close()
				if err := pprof.StartCPUProfile(f); err != nil {
					return err
				}
				defer pprof.StopCPUProfile()
			}
			if over.Factors != nil {
				return runOverload(cmd, over)
			}
			if refusal {
				return measure.Refusal(cmd.Context(), cfg, func(served, refused float64) {
					fmt.Fprintf(cmd.OutOrStdout(), "CPU of a call, whole process: served %.1f µs, refused %.1f µs, %.2f of it\n", served, refused,
						refused/served)
				})
			}
			return runMeasure(cmd, cfg, idle)
		}}
	flags := cmd.Flags()
	flags.IntVar(&cfg.Workers, "workers", 8, "emulated workers")
	flags.IntVar(&cfg.Connections, "connections", 64, "clients' connections, each with one call out")
	flags.DurationVar(&cfg.Work, "work", 0, "of a call at its worker")
	flags.IntVar(&cfg.Reply, "reply", 100, "bytes of an answer")
	flags.DurationVar(&cfg.Lasts, "for", 3*time.Second, "each measurement")
	flags.IntVar(&cfg.Rounds, "rounds", 5, "rounds, the ways in turn")
	flags.IntVar(&cfg.Loops, "loops", 1, "front ends in the process")
	flags.IntVar(&idle, "idle", 2000, "idle connections whose memory is measured; 0: none")
	flags.BoolVar(&refusal, "refusal", false, "instead: the cost of a refusal beside a served call")
	flags.Float64SliceVar(&over.Factors, "overload", nil, "instead: whole installations at these multiples of what the workers can do")
	flags.Uint64Var(&over.Seed, "overload-seed", 1, "of the clients' calls")
	flags.IntVar(&over.Workers, "overload-workers", 8, "emulated workers of two cores")
	flags.IntVar(&over.FrontEnds, "overload-front-ends", 2, "front ends")
	flags.DurationVar(&over.Work, "overload-work", 40*time.Millisecond, "mean work of a call")
	flags.DurationVar(&over.Lasts, "overload-for", 12*time.Second, "at each multiple")
	flags.StringVar(&profile, "profile", "", "write a CPU profile here")
	return cmd
}

func runOverload(cmd *cobra.Command, cfg measure.OverloadConfig) error {
	out, broken, best := cmd.OutOrStdout(), false, 0.0
	err := measure.Overload(cmd.Context(), cfg, func(p measure.Point) {
		best = max(best, p.Worth)
		fmt.Fprintf(out, "x%-4v %6.0f calls/s offered, worth %6.0f/s served in time, %.2f of the best so far; %v\n", p.Factor, p.Offered,
			p.Worth, p.Worth/best, p.Tally)
		for _, b := range p.Breaks {
			fmt.Fprintf(out, "rule %s broken: %s\n", b.Rule, b.What)
		}
		broken = broken || len(p.Breaks) > 0 || !p.Tally.Balanced()
	})
	if err == nil && broken {
		err = errRule
	}
	return err
}

func runMeasure(cmd *cobra.Command, cfg measure.Config, idle int) error {
	out := cmd.OutOrStdout()
	ways, err := measure.Run(cmd.Context(), cfg, func(text string) { fmt.Fprintln(out, text) })
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "\ngateway beside the others, round by round: least, middle, most\n")
	for _, what := range []struct {
		name string
		of   func(measure.Sample) float64
	}{{"calls a second", func(s measure.Sample) float64 { return s.Rate }},
		{"CPU a call (whole process)", func(s measure.Sample) float64 { return s.CPUPerCallMicros }},
		{"p50 at half load", func(s measure.Sample) float64 { return float64(s.Half50) }},
		{"p99 at half load", func(s measure.Sample) float64 { return float64(s.Half99) }},
		{"p999 at half load", func(s measure.Sample) float64 { return float64(s.Half999) }}} {
		for _, other := range ways[:2] {
			least, middle, most := measure.Ratios(ways[2], other, what.of)
			fmt.Fprintf(out, "  %-28s / %-7s %6.2f %6.2f %6.2f\n", what.name, other.Name, least, middle, most)
		}
	}
	if idle > 0 {
		heap, stack, err := measure.Idle(cmd.Context(), cfg, idle)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "an idle connection, both ends: heap %.0f bytes, stack %.0f bytes\n", heap, stack)
	}
	return nil
}
