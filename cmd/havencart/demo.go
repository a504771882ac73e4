package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"havencart/lab/fleet"
	"havencart/lab/reportimport"
	"havencart/lab/scenario"
)

// errRule is returned by a demo in which a rule was broken.
var errRule = errors.New("a rule was broken")

func demoCommand(o *options) *cobra.Command {
	var file, report string
	var rate, used float64
	var own bool
	var d fleet.Demo
	cmd := &cobra.Command{Use: "demo", Short: "Run front ends, workers, store, directory and clients; no set-up needed",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			log, err := o.logger()
			if err != nil {
				return err
			}
			d.Log = log.Level(max(log.GetLevel(), zerolog.WarnLevel))
			d.Script, d.Mix = fleet.DemoDay, fleet.DemoMix(rate)
			if file != "" {
				raw, err := os.ReadFile(file)
				if err != nil {
					return err
				}
				d.Script = string(raw)
			}
			if report != "" {
				day, err := readReport(report)
				if err != nil {
					return err
				}
				d.Script, d.Mix = day.Script(), day.Mix(d.Mix, used)
				d.Workers, d.FrontEnds, d.Lasts = day.Workers, day.FrontEnds, day.Lasts
				fmt.Fprint(cmd.OutOrStdout(), d.Script)
			}
			d.Mix.OwnFunctions = own
			return demo(cmd, d)
		}}
	cmd.Flags().StringVar(&file, "script", "", "a script of troubles in place of the built-in one")
	cmd.Flags().StringArrayVar(&d.Set, "set", nil, "a line of settings for the front ends, say 'shares off'; may be repeated")
	cmd.Flags().BoolVar(&own, "own-functions", false, "each tenant calls functions of its own")
	cmd.Flags().StringVar(&report, "report", "", "a report of the bench: its day is transcribed and played")
	cmd.Flags().Float64Var(&used, "used", 0.6, "part of the workers' cores that a report's requests fill; it does not tell")
	cmd.Flags().DurationVar(&d.Lasts, "for", 12*time.Second, "how long clients call")
	cmd.Flags().Float64Var(&rate, "rate", 150, "calls a second")
	cmd.Flags().IntVar(&d.Workers, "workers", 12, "emulated workers")
	cmd.Flags().IntVar(&d.FrontEnds, "front-ends", 3, "front ends")
	cmd.Flags().Uint64Var(&d.Seed, "seed", 1, "of the clients' calls and of who is hit")
	cmd.MarkFlagsMutuallyExclusive("script", "report")
	return cmd
}

func readReport(path string) (*reportimport.Day, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	day, err := reportimport.Parse(string(raw))
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", errUsage, path, err)
	}
	return day, nil
}

func transcribeCommand() *cobra.Command {
	return &cobra.Command{Use: "transcribe REPORT", Short: "Write the day that a report of the bench tells as a script of troubles",
		Long: "Reads what the bench printed for a run, a replay or an incident, and writes the day's course as a script. What the report\n" +
			"does not tell is assumed, and the script says so. `havencart demo --report REPORT` plays it.",
		Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			day, err := readReport(args[0])
			if err != nil {
				return err
			}
			fmt.Fprint(cmd.OutOrStdout(), day.Script())
			return nil
		}}
}

func demo(cmd *cobra.Command, d fleet.Demo) error {
	out := cmd.OutOrStdout()
	d.Tell = func(text string) { fmt.Fprintln(out, text) }
	ctx, cancel := context.WithCancel(cmd.Context())
	defer cancel()
	result, err := d.Run(ctx)
	if errors.Is(err, scenario.ErrScript) {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "\n%v\n", result.Tally)
	for _, k := range slices.Sorted(maps.Keys(result.Seen)) {
		fmt.Fprintf(out, "clients' calls that ended %-12s %d\n", k+":", result.Seen[k])
	}
	for _, name := range slices.Sorted(maps.Keys(result.Score.ByTenant)) {
		fmt.Fprintf(out, "service of tenant %-16s %.3f\n", name+":", result.Score.ByTenant[name].Share())
	}
	for _, b := range result.Breaks {
		fmt.Fprintf(out, "rule %s broken: %s\n", b.Rule, b.What)
	}
	if len(result.Breaks) > 0 || !result.Tally.Balanced() {
		return errRule
	}
	fmt.Fprintln(out, "all five rules kept, by what clients, workers and directory saw on their sockets")
	return nil
}
