package main

import (
	"bufio"
	"context"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"havencart/lab/fleet"
	"havencart/lab/functionstore"
	"havencart/lab/invariant"
	"havencart/lab/model"
	"havencart/lab/worker"
)

// Limits of the function store that a worker starts for itself if no store address is given.
const (
	ownStoreConcurrency = 8  // concurrent fetches at full speed
	ownStoreLimit       = 40 // concurrent fetches above which the store rejects further ones
)

// workerCommand returns the command that runs one emulated worker as a separate process. The process reads fault
// commands from standard input.
func workerCommand() *cobra.Command {
	config := worker.Config{WorkerConfig: fleet.DemoWorker()}
	storeAddress := ""
	cmd := &cobra.Command{
		Use:   "worker",
		Short: "Run one emulated worker; reads fault commands from standard input",
		Long: "Runs one emulated worker that speaks the worker protocol. Each line of standard input is a command:\n" +
			worker.Commands,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runWorker(cmd, config, storeAddress) },
	}
	flags := cmd.Flags()
	flags.StringVar(&config.Name, "name", "worker-1", "name of the worker in the endpoint list")
	flags.StringVar(&config.Cell, "cell", "cell-1", "cell of the worker")
	flags.StringVar(&config.Address, "listen", "127.0.0.1:9001", "address that front ends connect to")
	flags.StringVar(&storeAddress, "store", "", "HOST:PORT of a function store; empty: start one for this worker")
	flags.Float64Var(&config.Cores, "cores", config.Cores, "number of cores")
	flags.Float64Var(&config.Speed, "speed", config.Speed, "speed of a core, relative to the emulation's standard core")
	flags.Float64Var(&config.MemoryMB, "memory", config.MemoryMB, "memory for replicas in megabytes")
	flags.IntVar(&config.Queue, "queue", config.Queue, "maximum number of queued requests")
	flags.BoolVar(&config.ReportsNotLoaded, "miss", false, "respond with a miss to requests for functions that are not loaded, instead of loading them")
	flags.DurationVar(&config.Work, "work", 20*time.Millisecond, "work of a request whose body does not specify it (as in \"work 20ms reply 100\")")
	return cmd
}

// runWorker runs the worker until the command's context ends.
func runWorker(cmd *cobra.Command, config worker.Config, storeAddress string) error {
	world := model.NewRealClock()
	if storeAddress == "" {
		store, err := functionstore.Start(world, model.StoreConfig{Concurrency: ownStoreConcurrency, Limit: ownStoreLimit}, "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer store.Close()
		storeAddress = store.Address()
	}
	fetcher := functionstore.NewClient(world, storeAddress)
	defer fetcher.Close()
	server, err := worker.Start(world, config, fetcher, model.NewKeyCache(), invariant.NewHistory())
	if err != nil {
		return err
	}
	defer server.Close()
	results(cmd).printf("worker %s at %s\n", server.Name(), server.Address())
	runFaultCommands(cmd, server)
	return nil
}

// runFaultCommands executes the fault commands on standard input until the command's context ends. It does not return
// at the end of standard input, so that the worker continues to run.
func runFaultCommands(cmd *cobra.Command, server *worker.Server) {
	lines := make(chan string)
	go readLines(cmd.Context(), cmd.InOrStdin(), lines)
	for {
		select {
		case <-cmd.Context().Done():
			return
		case line := <-lines:
			if err := server.Command(line); err != nil {
				progress(cmd).println(err)
			}
		}
	}
}

// readLines sends each non-blank line of input to lines until ctx ends or the input ends. A blocked read is not
// interrupted when ctx ends; in this case the goroutine runs until the process exits.
func readLines(ctx context.Context, input io.Reader, lines chan<- string) {
	scanner := bufio.NewScanner(input)
	for scanner.Scan() {
		if strings.TrimSpace(scanner.Text()) == "" {
			continue
		}
		select {
		case lines <- scanner.Text():
		case <-ctx.Done():
			return
		}
	}
}
