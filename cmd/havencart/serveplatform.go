package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"havencart/internal/config/platformconfig"
	"havencart/internal/gateway"
)

// Environment variables through which the platform configures a front end.
const (
	envConfigPath    = "RELAY_CONFIG" // path of the configuration file
	envName          = "RELAY_NAME"   // overrides the name in the configuration file, unless empty
	envListenAddress = "RELAY_LISTEN" // overrides the listen address in the configuration file, unless empty
)

// servePlatformCommand returns the command that runs a front end on the platform. The platform configures it through
// environment variables.
func servePlatformCommand(options *globalOptions) *cobra.Command {
	return &cobra.Command{
		Use:     "serve-platform",
		Aliases: []string{"relay"},
		Short:   "Run a front end of the platform with the configuration file that " + envConfigPath + " names",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return servePlatform(cmd, options) },
	}
}

func servePlatform(cmd *cobra.Command, options *globalOptions) error {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP) // until the process exits, so that a SIGHUP during the shutdown does not kill it
	log, err := options.logger()
	if err != nil {
		return err
	}
	path := os.Getenv(envConfigPath)
	config, err := loadPlatformConfig(path)
	if err != nil {
		return err
	}
	server, err := gateway.NewPlatformServer(config, log)
	if err != nil {
		return err
	}
	log.Info().Str("name", config.Name).Str("listen", server.Address()).Msg("running")
	go reloadOnSignal(cmd.Context(), reloads, path, server, log) // returns when ctx ends, which also stops the server
	counts, err := server.Run(cmd.Context())
	log.Info().Interface("counts", counts).Err(err).Msg("stopped")
	return err
}

// loadPlatformConfig reads the configuration file and applies the name and listen address from the environment.
func loadPlatformConfig(path string) (*platformconfig.Config, error) {
	if path == "" {
		return nil, fmt.Errorf("%w: %s is not set", errUsage, envConfigPath)
	}
	config, err := platformconfig.Load(path)
	if err != nil {
		return nil, err
	}
	if name := os.Getenv(envName); name != "" {
		config.Name = name
	}
	if address := os.Getenv(envListenAddress); address != "" {
		config.ListenAddress = address
	}
	return config, nil
}

// reloadOnSignal reloads the configuration on each signal until ctx ends. If the new configuration cannot be loaded,
// the current one stays in effect.
func reloadOnSignal(ctx context.Context, signals <-chan os.Signal, path string, server *gateway.PlatformServer, log zerolog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		config, err := loadPlatformConfig(path)
		if err != nil {
			log.Error().Err(err).Msg("configuration reload failed; keeping the current configuration")
			continue
		}
		server.Reload(config)
	}
}
