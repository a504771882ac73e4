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

// faultSearchCommand searches for scenarios that the scheduler handles badly.
func faultSearchCommand() *cobra.Command {
	config := faultsearch.Config{Parallel: runtime.NumCPU()}
	directory, duration := "", 20*time.Second
	cmd := &cobra.Command{
		Use:     "fault-search",
		Aliases: []string{"hunt"},
		Short:   "Search for scenarios that are handled badly, in virtual time; shrink and keep them",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			config.Base = faultsearch.Base(duration)
			config.Base.Seed = config.Seed
			config.Report = func(text string) { progress(cmd).println(text) }
			return runFaultSearch(cmd, config, directory)
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&config.Rounds, "rounds", 12, "rounds of mutation")
	flags.IntVar(&config.Width, "width", 24, "scripts tried in each round")
	flags.IntVar(&config.Keep, "keep", 10, "finds that are kept")
	flags.Uint64Var(&config.Seed, "seed", 1, "seed of the search and of its scenarios")
	flags.DurationVar(&duration, "for", duration, "length of a scenario")
	flags.StringVar(&directory, "out", "", "directory that keeps the finds")
	return cmd
}

// runFaultSearch prints the finds and, unless directory is empty, writes each to a file of its own there.
func runFaultSearch(cmd *cobra.Command, config faultsearch.Config, directory string) error {
	finds, err := faultsearch.Run(cmd.Context(), config)
	if err != nil {
		return err
	}
	for i, find := range finds {
		number := i + 1
		results(cmd).printf("--- find %d: worse than the oracle by %.3f\n%s", number, find.Score(), find.Text())
		if directory == "" {
			continue
		}
		path := filepath.Join(directory, fmt.Sprintf("seed%d-%d.day", config.Seed, number))
		if err := os.WriteFile(path, []byte(find.Text()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
