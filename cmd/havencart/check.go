package main

import (
	"github.com/spf13/cobra"

	"havencart/internal/config/gatewayconfig"
	"havencart/lab/scenario"
)

// checkCommand returns the command that checks a file with the same code that loads it at startup.
func checkCommand() *cobra.Command {
	isScript := false
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check the settings or the fault script in FILE",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			path := args[0]
			if err := checkFile(path, isScript); err != nil {
				return err
			}
			results(cmd).println(path, "is valid")
			return nil
		},
	}
	cmd.Flags().BoolVar(&isScript, "script", false, "FILE is a fault script")
	return cmd
}

func checkFile(path string, isScript bool) error {
	if isScript {
		_, err := scenario.Load(path)
		return err
	}
	_, err := gatewayconfig.Load(path)
	return err
}

// referenceCommand returns the command that prints a reference page: the page of all settings, from which
// docs/settings.md is generated, or the page of fault scripts.
func referenceCommand() *cobra.Command {
	forScripts := false
	cmd := &cobra.Command{
		Use:   "reference",
		Short: "Print the reference page of all settings or of fault scripts",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			page := gatewayconfig.Reference()
			if forScripts {
				page = scenario.Reference()
			}
			results(cmd).print(page)
		},
	}
	cmd.Flags().BoolVar(&forScripts, "script", false, "print the reference page of fault scripts")
	return cmd
}
