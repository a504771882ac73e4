package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"havencart/lab/reportimport"
)

// importReportCommand writes the scenario of a bench report as a fault script.
func importReportCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "import-report REPORT",
		Aliases: []string{"transcribe"},
		Short:   "Write the scenario that a report of the bench describes as a fault script",
		Long: "Reads what the bench printed for a run, a replay or an incident, and writes its course as a fault script. What the\n" +
			"report does not tell is assumed, and the script says so. `havencart demo --report REPORT` plays it.",
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

// readReport reads a report of the bench. A file that is no report is a usage error.
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
