// Command havencart is the gateway, the laboratory's stand-ins and the measuring tools on one command line. It holds
// no logic of its own: each command reads its flags, runs what the packages below provide, and prints the result.
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

// Exit codes; docs/running.md has them.
const (
	exitOK       = 0
	exitFailure  = 1 // the command could not be carried out
	exitSettings = 2 // settings, script or command line are wrong
	exitUnclean  = 3 // stopped, but requests were in flight when the shutdown timeout was over
	exitRule     = 4 // an invariant was violated in a demo or measurement
)

var (
	// errUsage is wrapped by errors about the command line.
	errUsage = errors.New("usage")
	// errRule is returned by a demo or measurement in which an invariant was violated.
	errRule = errors.New("a rule was broken")
)

// timeFormat is the form of times in the log: RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func main() {
	zerolog.TimeFieldFormat = timeFormat
	// Signals are caught until the process ends, so that neither a second one nor one during the shutdown kills it.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(exitCode(rootCommand().ExecuteContext(ctx)))
}

// exitCode reports the error of a command on standard error and returns the process's exit code for it.
func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "havencart:", err)
	switch {
	case isSettingsError(err):
		return exitSettings
	case errors.Is(err, gateway.ErrShutdownTimeout):
		return exitUnclean
	case errors.Is(err, errRule):
		return exitRule
	}
	return exitFailure
}

// isSettingsError reports whether the user's settings, script or command line caused the error.
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

// usageError wraps an error that the command line, or a file that it names, caused.
func usageError(err error) error { return fmt.Errorf("%w: %w", errUsage, err) }

// globalOptions are the flags that all commands have.
type globalOptions struct {
	level string
	plain bool
}

// logger returns the log on standard error that the flags ask for.
func (o *globalOptions) logger() (zerolog.Logger, error) {
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

// rootCommand returns the command line. A command that was renamed has its old word as an alias.
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
	flags.StringVar(&options.level, "log", "info", "least level that is logged: debug, info, warn, error")
	flags.BoolVar(&options.plain, "plain", false, "log as plain text in place of JSON")
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
	)
	return root
}
