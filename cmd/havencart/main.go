// Command havencart provides the gateway, the laboratory's emulated components and the measurement tools as subcommands
// of one program. Each command parses its flags, calls the packages that implement it, and prints the result.
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
)

// Exit codes, which docs/running.md documents.
const (
	exitOK                = 0
	exitFailure           = 1 // the command failed for another reason
	exitSettings          = 2 // settings, fault script or command line are invalid
	exitShutdownTimeout   = 3 // requests were still in flight when the shutdown timeout expired
	exitInvariantViolated = 4 // an invariant was violated in a demo, a measurement or the soak
)

var (
	// errUsage is wrapped by errors about the command line.
	errUsage = errors.New("usage")
	// errInvariantViolated is returned by a demo, a measurement or the soak if an invariant was violated.
	errInvariantViolated = errors.New("an invariant was violated")
)

// timeFormat is the format of times in the log: RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func main() {
	zerolog.TimeFieldFormat = timeFormat
	// The process handles signals until it exits, so that neither a second signal nor one during the shutdown kills it.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(exitCode(rootCommand().ExecuteContext(ctx)))
}

// exitCode prints the error of a command to standard error and returns the corresponding exit code.
func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "havencart:", err)
	switch {
	case isSettingsError(err):
		return exitSettings
	case errors.Is(err, gateway.ErrShutdownTimeout):
		return exitShutdownTimeout
	case errors.Is(err, errInvariantViolated):
		return exitInvariantViolated
	}
	return exitFailure
}

// isSettingsError reports whether the user's settings, fault script or command line caused the error.
func isSettingsError(err error) bool {
	for _, cause := range []error{
		gatewayconfig.ErrSettings,
		platformconfig.ErrMalformed,
		endpointstream.ErrMalformed,
		errUsage,
	} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// usageError wraps an error that was caused by the command line or by a file that the command line names.
func usageError(err error) error { return fmt.Errorf("%w: %w", errUsage, err) }

// globalOptions holds the flags that all commands have.
type globalOptions struct {
	level string // minimum log level
	plain bool   // log as plain text instead of JSON
}

// logger returns a logger that writes to standard error with the level and format of the flags.
func (o *globalOptions) logger() (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(o.level)
	if err != nil {
		return zerolog.Nop(), fmt.Errorf("%w: unknown log level %q; allowed: debug, info, warn, error", errUsage, o.level)
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	if o.plain {
		log = log.Output(zerolog.ConsoleWriter{Out: os.Stderr, TimeFormat: "15:04:05.000", NoColor: true})
	}
	return log, nil
}

// rootCommand returns the root command with all subcommands. Renamed commands keep their old names as aliases.
func rootCommand() *cobra.Command {
	options := &globalOptions{}
	root := &cobra.Command{
		Use:           "havencart",
		Short:         "A gateway that runs requests on workers which load functions on demand",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError(err) })
	flags := root.PersistentFlags()
	flags.StringVar(&options.level, "log", "info", "minimum log level: debug, info, warn or error")
	flags.BoolVar(&options.plain, "plain", false, "log as plain text instead of JSON")
	root.AddCommand(
		runCommand(options),
		servePlatformCommand(options),
		checkCommand(),
		referenceCommand(),
		demoCommand(options),
		importReportCommand(),
		workerCommand(),
		callCommand(),
		loadCommand(),
		measureCommand(),
		experimentCommand(),
		cellCommand(),
		faultSearchCommand(),
		soakCommand(),
		floodCommand(),
	)
	return root
}
