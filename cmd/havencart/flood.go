package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"time"

	"github.com/spf13/cobra"

	"havencart/lab/flood"
)

// floodOptions holds the flags of the flood command.
type floodOptions struct {
	config   flood.Config
	kinds    []string
	frontEnd string // path of the program to run as the front end; empty: this program
	target   string // address of a front end that runs already; empty: one is started
}

// floodCommand returns the command that measures a front end with little memory beside clients that send more than it
// can hold.
func floodCommand() *cobra.Command {
	options := &floodOptions{}
	command := &cobra.Command{
		Use:   "flood",
		Short: "Measure a front end's memory, and what its regular clients are served, beside floods of requests",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return runFloods(cmd.Context(), results(cmd), options) },
	}
	flags := command.Flags()
	config := &options.config
	flags.Uint64Var(&config.Seed, "seed", 1, "seed of the random draws")
	flags.StringSliceVar(&options.kinds, "kind", nil, "floods to run one after another; default: all")
	flags.IntVar(&config.Clients, "clients", 80, "number of flooding clients, each with one connection")
	flags.IntVar(&config.MemoryMB, "memory", 32, "memory limit of the front end in megabytes")
	flags.IntVar(&config.Descriptors, "descriptors", 256, "limit of the front end's file descriptors")
	flags.IntVar(&config.Workers.Count, "workers", 64, "number of emulated workers")
	flags.DurationVar(&config.Workers.MinDelay, "min-delay", 300*time.Millisecond, "shortest time in which a worker responds")
	flags.DurationVar(&config.Workers.MaxDelay, "max-delay", 600*time.Millisecond, "longest time in which a worker responds")
	flags.IntVar(&config.Workers.ResponseBytes, "response-bytes", 16<<10, "size of a response's body in bytes")
	flags.IntVar(&config.Workers.StalledEvery, "stalled-every", 0, "every such worker stops in the middle of its responses; 0: none does")
	flags.Float64Var(&config.CoreShare, "core", 0, "share of a core that the front end gets; 0: not limited")
	flags.DurationVar(&config.RequestTimeout, "timeout", 0, "time for which clients wait for a response; 0: 3s")
	flags.DurationVar(&config.RegularGap, "regular-gap", 0, "mean time between two requests of a regular client; 0: 100ms")
	flags.DurationVar(&config.Length, "length", 20*time.Second, "duration of each flood")
	flags.StringVar(&config.LogPath, "logs", "", "file for the front end's log, followed by the kind of the flood")
	flags.StringVar(&options.target, "target", "", "address of a front end that runs already: only the flooding clients are run")
	flags.StringVar(&options.frontEnd, "front-end", "", "program to run as the front end; default: this program")
	return command
}

// runFloods runs the selected floods. It returns an error if the front end's memory went over its limit, or if the
// process exited by itself.
func runFloods(ctx context.Context, out output, options *floodOptions) error {
	kinds, err := options.selectedKinds()
	if err != nil {
		return err
	}
	if options.target != "" {
		return runFloodClients(ctx, out, options, kinds)
	}
	program := options.frontEnd
	if program == "" {
		if program, err = os.Executable(); err != nil {
			return err
		}
	}
	held := true
	for _, kind := range kinds {
		config := options.config
		config.Kind = kind
		config.Command = func() *exec.Cmd { return exec.Command(program, "serve-platform") }
		if config.LogPath != "" {
			config.LogPath += "-" + string(kind)
		}
		report, err := flood.Run(ctx, config)
		if err != nil {
			return err
		}
		out.printf("%-11s %v\n", kind, report)
		held = held && !report.Exited && report.PeakAnonymousBytes <= int64(config.MemoryMB)<<20
	}
	if !held {
		return errInvariantViolated
	}
	return nil
}

// runFloodClients runs the selected floods against a front end that runs already.
func runFloodClients(ctx context.Context, out output, options *floodOptions, kinds []flood.Kind) error {
	for _, kind := range kinds {
		ctx, cancel := context.WithTimeout(ctx, options.config.Length)
		tally := flood.RunClients(ctx, flood.ClientsConfig{
			Address: options.target, Kind: kind, Clients: options.config.Clients, Timeout: options.config.RequestTimeout, Seed: options.config.Seed,
		})
		cancel()
		out.printf("%-11s %v\n", kind, tally)
	}
	return nil
}

// selectedKinds returns the kinds of the flags, or all kinds if none is given.
func (o *floodOptions) selectedKinds() ([]flood.Kind, error) {
	if len(o.kinds) == 0 {
		return flood.Kinds(), nil
	}
	known := map[flood.Kind]bool{}
	for _, kind := range flood.Kinds() {
		known[kind] = true
	}
	var selected []flood.Kind
	for _, name := range o.kinds {
		if !known[flood.Kind(name)] {
			return nil, usageError(fmt.Errorf("unknown kind of flood %q", name))
		}
		selected = append(selected, flood.Kind(name))
	}
	return selected, nil
}
