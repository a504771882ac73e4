package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"havencart/lab/experiment"
	"havencart/lab/report"
)

// experimentOptions holds the flags of the experiment command.
type experimentOptions struct {
	resultsPath string
	htmlPath    string
	plot        string // scenario and output file, as SCENARIO=FILE.svg; empty: no plot
	parallel    int    // maximum number of concurrent runs
}

// experimentCommand returns the command that compares variants of the gateway on scenarios.
func experimentCommand() *cobra.Command {
	options := experimentOptions{}
	cmd := &cobra.Command{
		Use:   "experiment FILE",
		Short: "Run variants on scenarios in virtual time and compare them",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runExperiment(cmd, args[0], options)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&options.resultsPath, "results", "", "file to which the result of each finished run is appended; default: FILE.results")
	flags.StringVar(&options.htmlPath, "html", "", "write the report as an HTML file to this path")
	flags.StringVar(&options.plot, "plot", "", "SCENARIO=FILE.svg: write the plot of the service level in this scenario to the file")
	flags.IntVar(&options.parallel, "parallel", runtime.NumCPU(), "maximum number of concurrent runs")
	return cmd
}

func runExperiment(cmd *cobra.Command, path string, options experimentOptions) error {
	spec, err := experiment.Load(path)
	if err != nil {
		return usageError(err)
	}
	if options.resultsPath == "" {
		options.resultsPath = path + ".results"
	}
	reportProgress := func(text string) { output{os.Stderr}.println(text) }
	cells, err := spec.Run(cmd.Context(), options.resultsPath, options.parallel, reportProgress)
	if err != nil {
		return err
	}
	comparison := report.Report{Spec: spec, Cells: cells}
	comparison.Text(cmd.OutOrStdout())
	return writeReportFiles(comparison, options)
}

// writeReportFiles writes the HTML report and the plot if the flags name files for them.
func writeReportFiles(comparison report.Report, options experimentOptions) error {
	if options.htmlPath != "" {
		if err := writeFile(options.htmlPath, comparison.HTML); err != nil {
			return err
		}
	}
	scenarioName, path, given := strings.Cut(options.plot, "=")
	if !given {
		return nil
	}
	return writeFile(path, func(file io.Writer) error { return comparison.Plot(file, scenarioName) })
}

// writeFile creates the file at path, calls write to write its contents and closes it. It returns the first error.
func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		_ = file.Close() // the first error is the one to report
		return err
	}
	return file.Close()
}

// cellCommand returns the command that performs one run of an experiment and prints its result as JSON. Experiments
// execute this command in builds of other commits.
func cellCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "cell FILE VARIANT DAY SEED",
		Hidden: true,
		Args:   cobra.ExactArgs(4),
		RunE: func(cmd *cobra.Command, args []string) error {
			path, variant, scenarioName := args[0], args[1], args[2]
			spec, err := experiment.Load(path)
			if err != nil {
				return usageError(err)
			}
			seed, err := strconv.ParseUint(args[3], 10, 64)
			if err != nil {
				return fmt.Errorf("%w: seed: %w", errUsage, err)
			}
			cell, err := spec.RunCell(variant, scenarioName, seed)
			if err != nil {
				return err
			}
			return json.NewEncoder(cmd.OutOrStdout()).Encode(cell)
		},
	}
}
