package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"havencart/lab/fleet"
	"havencart/lab/script"
)

// errRule is returned by a demo in which a rule was broken.
var errRule = errors.New("a rule was broken")

func demoCommand(o *options) *cobra.Command {
	var file string
	var d fleet.Demo
	cmd := &cobra.Command{Use: "demo", Short: "Run front ends, workers, store, directory and clients; no set-up needed",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			log, err := o.logger()
			if err != nil {
				return err
			}
			d.Log = log.Level(max(log.GetLevel(), zerolog.WarnLevel))
			d.Script = fleet.DemoDay
			if file != "" {
				raw, err := os.ReadFile(file)
				if err != nil {
					return err
				}
				d.Script = string(raw)
			}
			return demo(cmd, d)
		}}
	cmd.Flags().StringVar(&file, "script", "", "a script of troubles in place of the built-in one")
	cmd.Flags().DurationVar(&d.Lasts, "for", 12*time.Second, "how long clients call")
	cmd.Flags().Float64Var(&d.Rate, "rate", 150, "calls a second")
	cmd.Flags().IntVar(&d.Workers, "workers", 12, "emulated workers")
	cmd.Flags().IntVar(&d.FrontEnds, "front-ends", 3, "front ends")
	cmd.Flags().Uint64Var(&d.Seed, "seed", 1, "of the clients' calls and of who is hit")
	return cmd
}

func demo(cmd *cobra.Command, d fleet.Demo) error {
	out := cmd.OutOrStdout()
	d.Tell = func(text string) { fmt.Fprintln(out, text) }
	ctx, cancel := context.WithCancel(cmd.Context())
	defer cancel()
	result, err := d.Run(ctx)
	if errors.Is(err, script.ErrScript) {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "\n%v\n", result.Tally)
	var kinds []string
	for k := range result.Seen {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	for _, k := range kinds {
		fmt.Fprintf(out, "clients' calls that ended %-12s %d\n", k+":", result.Seen[k])
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
