package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"havencart/lab/reportimport"
)

// importReportCommand returns the command that converts the scenario of a bench report to a fault script.
func importReportCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "import-report REPORT",
		Aliases: []string{"transcribe"},
		Short:   "Convert the scenario of a bench report to a fault script",
		Long: "Reads the report that the bench printed for a run, a replay or an incident, and prints its scenario as a fault script.\n" +
			"Values that the report does not contain are assumed, and the script marks them as assumptions.\n" +
			"`havencart demo --report REPORT` runs the scenario.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			imported, err := readReport(args[0])
			if err != nil {
				return err
			}
			results(cmd).print(imported.Script())
			return nil
		},
	}
}

// readReport reads a bench report. If the file is not a valid report, the error wraps errUsage.
func readReport(path string) (*reportimport.RunReport, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	imported, err := reportimport.Parse(string(raw))
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", errUsage, path, err)
	}
	return imported, nil
}
