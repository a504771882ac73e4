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

func huntCommand() *cobra.Command {
	cfg := faultsearch.Config{Parallel: runtime.NumCPU()}
	out, lasts := "", 20*time.Second
	cmd := &cobra.Command{Use: "hunt", Short: "Search for bad days in virtual time, shrink and keep them", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg.Base = faultsearch.Base(lasts)
			cfg.Base.Seed = cfg.Seed
			cfg.Tell = func(text string) { fmt.Fprintln(cmd.ErrOrStderr(), text) }
			finds, err := faultsearch.Run(cmd.Context(), cfg)
			if err != nil {
				return err
			}
			for i, f := range finds {
				fmt.Fprintf(cmd.OutOrStdout(), "--- find %d: worse than the oracle by %.3f\n%s", i+1, f.Score(), f.Text())
				if out == "" {
					continue
				}
				path := filepath.Join(out, fmt.Sprintf("seed%d-%d.day", cfg.Seed, i+1))
				if err := os.WriteFile(path, []byte(f.Text()), 0o644); err != nil {
					return err
				}
			}
			return nil
		}}
	flags := cmd.Flags()
	flags.IntVar(&cfg.Rounds, "rounds", 12, "of mutation")
	flags.IntVar(&cfg.Width, "width", 24, "scripts tried in each")
	flags.IntVar(&cfg.Keep, "keep", 10, "finds")
	flags.Uint64Var(&cfg.Seed, "seed", 1, "of the hunt and of its days")
	flags.DurationVar(&lasts, "for", lasts, "how long a day lasts")
	flags.StringVar(&out, "out", "", "folder that keeps the finds")
	return cmd
}
