package main

import (
	"context"
	"errors"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"havencart/lab/fleet"
	"havencart/lab/scenario"
)

// demoOptions are the flags of a demo that do not go into fleet.Demo as they are.
type demoOptions struct {
	scriptPath   string
	reportPath   string
	rate         float64 // requests a second
	utilization  float64 // of the workers' cores, for a report
	ownFunctions bool
}

// demoCommand runs a whole installation in one process.
func demoCommand(global *globalOptions) *cobra.Command {
	var options demoOptions
	var demo fleet.Demo
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run front ends, workers, function store, discovery and clients in one process; no set-up needed",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			log, err := global.logger()
			if err != nil {
				return err
			}
			demo.Log = log.Level(max(log.GetLevel(), zerolog.WarnLevel))
			if err := options.prepare(&demo, results(cmd)); err != nil {
				return err
			}
			return runDemo(cmd, demo)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&options.scriptPath, "script", "", "file of a fault script in place of the built-in one")
	flags.StringArrayVar(&demo.Settings, "set", nil, "a line of settings for the front ends, say 'shares off'; may be repeated")
	flags.BoolVar(&options.ownFunctions, "own-functions", false, "each tenant calls functions of its own")
	flags.StringVar(&options.reportPath, "report", "", "file of a bench report whose scenario is played")
	flags.Float64Var(&options.utilization, "used", 0.6, "share of the workers' cores that a report's requests use, which it does not tell")
	flags.DurationVar(&demo.Duration, "for", 12*time.Second, "how long clients send requests")
	flags.Float64Var(&options.rate, "rate", 150, "requests a second")
	flags.IntVar(&demo.Workers, "workers", 12, "emulated workers")
	flags.IntVar(&demo.FrontEnds, "front-ends", 3, "front ends")
	flags.Uint64Var(&demo.Seed, "seed", 1, "seed of the clients' requests and of the workers that faults hit")
	cmd.MarkFlagsMutuallyExclusive("script", "report")
	return cmd
}

// prepare sets the demo's script and request mix. The script of a report is printed, as it is nowhere else.
func (o *demoOptions) prepare(demo *fleet.Demo, out output) error {
	demo.Scenario, demo.Mix = fleet.DemoScenario, fleet.DemoMix(o.rate)
	if o.scriptPath != "" {
		raw, err := os.ReadFile(o.scriptPath)
		if err != nil {
			return err
		}
		demo.Scenario = string(raw)
	}
	if o.reportPath != "" {
		imported, err := readReport(o.reportPath)
		if err != nil {
			return err
		}
		demo.Scenario, demo.Mix = imported.Script(), imported.Mix(demo.Mix, o.utilization)
		demo.Workers, demo.FrontEnds, demo.Duration = imported.Workers, imported.FrontEnds, imported.Duration
		out.print(demo.Scenario)
	}
	demo.Mix.OwnFunctions = o.ownFunctions
	return nil
}

func runDemo(cmd *cobra.Command, demo fleet.Demo) error {
	out := results(cmd)
	demo.Report = func(text string) { out.println(text) }
	ctx, cancel := context.WithCancel(cmd.Context())
	defer cancel()
	result, err := demo.Run(ctx)
	if errors.Is(err, scenario.ErrScenario) {
		return usageError(err)
	}
	if err != nil {
		return err
	}
	return printDemoResult(out, result)
}

// printDemoResult prints how a demo went. It returns errRule if an invariant was violated.
func printDemoResult(out output, result fleet.Result) error {
	out.printf("\n%v\n", result.Tally)
	for _, outcome := range slices.Sorted(maps.Keys(result.Outcomes)) {
		out.printf("clients' calls that ended %-12s %d\n", outcome+":", result.Outcomes[outcome])
	}
	for _, tenant := range slices.Sorted(maps.Keys(result.Score.ByTenant)) {
		out.printf("service of tenant %-16s %.3f\n", tenant+":", result.Score.ByTenant[tenant].Share())
	}
	for _, violation := range result.Violations {
		out.printf("rule %s broken: %s\n", violation.Rule, violation.Detail)
	}
	if len(result.Violations) > 0 || !result.Tally.Balanced() {
		return errRule
	}
	out.println("all five rules kept, by what clients, workers and directory saw on their sockets")
	return nil
}
