package main

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"havencart/lab/experiment"
	"havencart/lab/report"
)

func experimentCommand() *cobra.Command {
	results, html, plot, parallel := "", "", "", runtime.NumCPU()
	cmd := &cobra.Command{Use: "experiment FILE", Short: "Play variants on days in virtual time and compare them",
		Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			spec, err := experiment.Load(args[0])
			if err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			if results == "" {
				results = args[0] + ".results"
			}
			cells, err := spec.Run(cmd.Context(), results, parallel, func(text string) { fmt.Fprintln(os.Stderr, text) })
			if err != nil {
				return err
			}
			r := report.Report{Spec: spec, Cells: cells}
			r.Text(cmd.OutOrStdout())
			return writeFiles(r, html, plot)
		}}
	flags := cmd.Flags()
	flags.StringVar(&results, "results", "", "file that keeps each run as it ends; FILE.results if not given")
	flags.StringVar(&html, "html", "", "write the report as one HTML file here")
	flags.StringVar(&plot, "plot", "", "DAY=FILE.svg: write that day's plot of service")
	flags.IntVar(&parallel, "parallel", parallel, "runs at a time")
	return cmd
}

func writeFiles(r report.Report, html, plot string) error {
	if html != "" {
		f, err := os.Create(html)
		if err != nil {
			return err
		}
		if err := r.HTML(f); err != nil {
			return err
		}
		if err := f.Close(); err != nil {
			return err
		}
	}
	day, path, given := strings.Cut(plot, "=")
	if !given {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := r.Plot(f, day); err != nil {
		return err
	}
	return f.Close()
}

// cellCommand plays one run of an experiment and prints it: what a build of another commit is asked for.
func cellCommand() *cobra.Command {
	return &cobra.Command{Use: "cell FILE VARIANT DAY SEED", Hidden: true, Args: cobra.ExactArgs(4),
		RunE: func(cmd *cobra.Command, args []string) error {
			spec, err := experiment.Load(args[0])
			if err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			seed, err := strconv.ParseUint(args[3], 10, 64)
			if err != nil {
				return fmt.Errorf("%w: seed: %w", errUsage, err)
			}
			r, err := spec.Play(args[1], args[2], seed)
			if err != nil {
				return err
			}
			return json.NewEncoder(cmd.OutOrStdout()).Encode(r)
		}}
}
