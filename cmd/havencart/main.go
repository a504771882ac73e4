// Command havencart is the gateway, its stand-ins and its tools on one command line.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"havencart/internal/config/gatewayconfig"
	"havencart/internal/config/platformconfig"
	"havencart/internal/gateway"
	"havencart/internal/platform/endpointstream"
	"havencart/lab/scenario"
)

// Exit codes, as docs/running.md tells them.
const (
	exitOK       = 0
	exitFault    = 1 // could not be done
	exitSettings = 2 // settings, script or command line are wrong
	exitUnclean  = 3 // stopped, but calls were in hand when the time for it was over
	exitRule     = 4 // a demo in which a rule was broken
)

func main() {
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	// Signals are heard until the process ends: a second one, or one that comes at the very end, kills nothing.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(exitCode(root().ExecuteContext(ctx)))
}

// errUsage is wrapped by errors about the command line.
var errUsage = errors.New("usage")

func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "havencart:", err)
	switch {
	case errors.Is(err, gatewayconfig.ErrSettings), errors.Is(err, platformconfig.ErrMalformed), errors.Is(err, endpointstream.ErrMalformed),
		errors.Is(err, errUsage):
		return exitSettings
	case errors.Is(err, gateway.ErrShutdownTimeout):
		return exitUnclean
	case errors.Is(err, errRule):
		return exitRule
	}
	return exitFault
}

// options are those of all commands.
type options struct {
	level string
	plain bool
}

func (o *options) logger() (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(o.level)
	if err != nil {
		return zerolog.Nop(), fmt.Errorf("%w: log level %q; allowed: debug, info, warn, error", errUsage, o.level)
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	if o.plain {
		log = log.Output(zerolog.ConsoleWriter{Out: os.Stderr, TimeFormat: "15:04:05.000", NoColor: true})
	}
	return log, nil
}

func root() *cobra.Command {
	o := &options{}
	cmd := &cobra.Command{Use: "havencart", Short: "A gateway that runs calls on workers which load functions on demand",
		SilenceUsage: true, SilenceErrors: true}
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w: %w", errUsage, err) })
	cmd.PersistentFlags().StringVar(&o.level, "log", "info", "least level that is logged: debug, info, warn, error")
	cmd.PersistentFlags().BoolVar(&o.plain, "plain", false, "log for people in place of JSON")
	cmd.AddCommand(runCommand(o), relayCommand(o), checkCommand(), referenceCommand(), demoCommand(o), workerCommand(), callCommand(),
		measureCommand(), experimentCommand(), cellCommand(),
		loadCommand(), huntCommand(), transcribeCommand())
	return cmd
}

func runCommand(o *options) *cobra.Command {
	return &cobra.Command{Use: "run FILE", Short: "Run the gateway with the settings in FILE until it is told to stop",
		Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			log, err := o.logger()
			if err != nil {
				return err
			}
			set, err := gatewayconfig.Load(args[0])
			if err != nil {
				return err
			}
			s, err := gateway.NewService(set, log)
			if err != nil {
				return err
			}
			log.Info().Str("listen", s.Address()).Int("loops", set.Loops).Msg("running")
			counts, err := s.Run(cmd.Context())
			log.Info().Interface("counts", counts).Err(err).Msg("stopped")
			return err
		}}
}

func checkCommand() *cobra.Command {
	troubles := false
	cmd := &cobra.Command{Use: "check FILE", Short: "Check the settings, or a script of troubles, in FILE", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			check := func(path string) error { _, err := gatewayconfig.Load(path); return err }
			if troubles {
				check = func(path string) error { _, err := scenario.Load(path); return err }
			}
			if err := check(args[0]); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), args[0], "is good")
			return nil
		}}
	cmd.Flags().BoolVar(&troubles, "script", false, "FILE is a script of troubles")
	return cmd
}

func referenceCommand() *cobra.Command {
	troubles := false
	cmd := &cobra.Command{Use: "reference", Short: "Print the page of all settings, or of all troubles", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			page := gatewayconfig.Reference()
			if troubles {
				page = scenario.Reference()
			}
			fmt.Fprint(cmd.OutOrStdout(), page)
		}}
	cmd.Flags().BoolVar(&troubles, "script", false, "the page of troubles")
	return cmd
}
