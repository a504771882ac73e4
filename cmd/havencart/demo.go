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

// demoOptions holds the flags of the demo command that are not stored in fleet.Demo directly.
type demoOptions struct {
	scriptPath   string
	reportPath   string
	rate         float64 // requests per second
	utilization  float64 // fraction of the workers' cores that the requests of an imported report use, 0 to 1
	ownFunctions bool
}

// demoCommand returns the command that runs a whole installation in one process.
func demoCommand(global *globalOptions) *cobra.Command {
	var options demoOptions
	var demo fleet.Demo
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run front ends, workers, function store, discovery and clients in one process; no setup needed",
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
	flags.StringVar(&options.scriptPath, "script", "", "file of the fault script to run instead of the built-in script")
	flags.StringArrayVar(&demo.Settings, "set", nil, "a line of settings for the front ends, such as 'shares off'; may be repeated")
	flags.BoolVar(&options.ownFunctions, "own-functions", false, "each tenant requests its own functions")
	flags.StringVar(&options.reportPath, "report", "", "file of a bench report whose scenario is run")
	flags.Float64Var(&options.utilization, "used", 0.6, "fraction of the workers' cores that the requests of the bench report use, which the report does not contain")
	flags.DurationVar(&demo.Duration, "for", 12*time.Second, "how long clients send requests")
	flags.Float64Var(&options.rate, "rate", 150, "requests per second")
	flags.IntVar(&demo.Workers, "workers", 12, "number of emulated workers")
	flags.IntVar(&demo.FrontEnds, "front-ends", 3, "number of front ends")
	flags.Uint64Var(&demo.Seed, "seed", 1, "seed that determines the clients' requests and the workers that faults affect")
	cmd.MarkFlagsMutuallyExclusive("script", "report")
	return cmd
}

// prepare sets the demo's fault script and request mix. A script that is derived from a bench report is printed,
// because no file contains it.
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
	demo.ReportProgress = func(text string) { out.println(text) }
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

// printDemoResult prints the result of a demo. It returns errInvariantViolated if an invariant was violated.
func printDemoResult(out output, result fleet.Result) error {
	out.printf("\n%v\n", result.Tally)
	for _, outcome := range slices.Sorted(maps.Keys(result.Outcomes)) {
		out.printf("client requests with outcome %-12s %d\n", outcome+":", result.Outcomes[outcome])
	}
	for _, tenant := range slices.Sorted(maps.Keys(result.Score.ByTenant)) {
		out.printf("service level of tenant %-16s %.3f\n", tenant+":", result.Score.ByTenant[tenant].Share())
	}
	for _, violation := range result.Violations {
		out.printf("invariant %s violated: %s\n", violation.Rule, violation.Detail)
	}
	if len(result.Violations) > 0 || !result.Tally.Balanced() {
		return errInvariantViolated
	}
	out.println("all five invariants hold, judging by what clients, workers and discovery observed on their sockets")
	return nil
}
