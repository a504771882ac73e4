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

// relayCommand runs a front end on the users' platform, which tells it all in its environment.
func relayCommand(o *options) *cobra.Command {
	return &cobra.Command{Use: "relay", Short: "Run a front end of the users' platform, as told by RELAY_CONFIG",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			again := make(chan os.Signal, 1)
			signal.Notify(again, syscall.SIGHUP) // until the process ends: one that comes late kills nothing
			log, err := o.logger()
			if err != nil {
				return err
			}
			path := os.Getenv("RELAY_CONFIG")
			set, err := loadRelay(path)
			if err != nil {
				return err
			}
			r, err := gateway.NewPlatformServer(set, log)
			if err != nil {
				return err
			}
			log.Info().Str("name", set.Name).Str("listen", r.Address()).Msg("running")
			go reload(cmd.Context(), again, path, r, log)
			counts, err := r.Run(cmd.Context())
			log.Info().Interface("counts", counts).Err(err).Msg("stopped")
			return err
		}}
}

// loadRelay reads the configuration. Name and address in the environment go above those in the file.
func loadRelay(path string) (*platformconfig.Relay, error) {
	if path == "" {
		return nil, fmt.Errorf("%w: RELAY_CONFIG is not set", errUsage)
	}
	set, err := platformconfig.LoadRelay(path)
	if err != nil {
		return nil, err
	}
	if name := os.Getenv("RELAY_NAME"); name != "" {
		set.Name = name
	}
	if listen := os.Getenv("RELAY_LISTEN"); listen != "" {
		set.Listen = listen
	}
	return set, nil
}

// reload reads the configuration anew each time it is told to. One that cannot be read changes nothing.
func reload(ctx context.Context, again <-chan os.Signal, path string, r *gateway.PlatformServer, log zerolog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-again:
		}
		set, err := loadRelay(path)
		if err != nil {
			log.Error().Err(err).Msg("the configuration stays as it was")
			continue
		}
		r.Reload(set)
	}
}
