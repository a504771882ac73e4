package main

import (
	"github.com/spf13/cobra"

	"havencart/internal/config/gatewayconfig"
	"havencart/internal/gateway"
)

// runCommand returns the command that runs the gateway.
func runCommand(options *globalOptions) *cobra.Command {
	return &cobra.Command{
		Use:   "run FILE",
		Short: "Run the gateway with the settings in FILE until it receives SIGINT or SIGTERM",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runGateway(cmd, options, args[0])
		},
	}
}

func runGateway(cmd *cobra.Command, options *globalOptions, path string) error {
	log, err := options.logger()
	if err != nil {
		return err
	}
	settings, err := gatewayconfig.Load(path)
	if err != nil {
		return err
	}
	service, err := gateway.NewService(settings, log)
	if err != nil {
		return err
	}
	log.Info().Str("listen", service.Address()).Int("loops", settings.EventLoops).Msg("running")
	counts, err := service.Run(cmd.Context())
	log.Info().Interface("counts", counts).Err(err).Msg("stopped")
	return err
}
