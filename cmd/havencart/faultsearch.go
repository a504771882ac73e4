package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"github.com/spf13/cobra"

	"havencart/lab/faultsearch"
)

// faultSearchCommand returns the command that searches for scenarios that the scheduler handles badly.
func faultSearchCommand() *cobra.Command {
	config := faultsearch.Config{Parallel: runtime.NumCPU()}
	directory, duration := "", 20*time.Second
	cmd := &cobra.Command{
		Use:     "fault-search",
		Aliases: []string{"hunt"},
		Short:   "Search in virtual time for scenarios that the scheduler handles badly; minimize and store them",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			config.Base = faultsearch.BaseConfig(duration)
			config.Base.Seed = config.Seed
			config.ReportProgress = func(text string) { progress(cmd).println(text) }
			return runFaultSearch(cmd, config, directory)
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&config.Rounds, "rounds", 12, "number of mutation rounds")
	flags.IntVar(&config.Width, "width", 24, "number of fault scripts tried in each round")
	flags.IntVar(&config.Keep, "keep", 10, "number of findings to keep")
	flags.Uint64Var(&config.Seed, "seed", 1, "seed of the search and of its scenarios")
	flags.DurationVar(&duration, "for", duration, "duration of each scenario")
	flags.StringVar(&directory, "out", "", "directory to which the findings are written; empty: only print them")
	return cmd
}

// runFaultSearch prints the findings and, unless directory is empty, writes each finding to a separate file in it.
func runFaultSearch(cmd *cobra.Command, config faultsearch.Config, directory string) error {
	findings, err := faultsearch.Run(cmd.Context(), config)
	if err != nil {
		return err
	}
	for i, finding := range findings {
		number := i + 1
		results(cmd).printf("--- finding %d: worse than the oracle by %.3f\n%s", number, finding.Score(), finding.Text())
		if directory == "" {
			continue
		}
		path := filepath.Join(directory, fmt.Sprintf("seed%d-%d.day", config.Seed, number))
		if err := os.WriteFile(path, []byte(finding.Text()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
