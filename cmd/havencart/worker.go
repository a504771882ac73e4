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

// The function store that a worker starts for itself where it is given none.
const (
	ownStoreConcurrency = 8  // fetches at full pace
	ownStoreLimit       = 40 // fetches in flight beyond which it rejects
)

// workerCommand runs one emulated worker as a process of its own; fault commands come on standard input.
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
	flags.StringVar(&config.Name, "name", "worker-1", "its name in the endpoint list")
	flags.StringVar(&config.Cell, "cell", "cell-1", "its cell")
	flags.StringVar(&config.Address, "listen", "127.0.0.1:9001", "address that front ends connect to")
	flags.StringVar(&storeAddress, "store", "", "HOST:PORT of a function store; empty: one of its own")
	flags.Float64Var(&config.Cores, "cores", config.Cores, "cores")
	flags.Float64Var(&config.Speed, "speed", config.Speed, "speed of a core, relative to the emulation's standard core")
	flags.Float64Var(&config.MemoryMB, "memory", config.MemoryMB, "megabytes for replicas")
	flags.IntVar(&config.Queue, "queue", config.Queue, "requests that may be queued")
	flags.BoolVar(&config.ReportsNotLoaded, "miss", false, "answer miss in place of loading")
	flags.DurationVar(&config.Work, "work", 20*time.Millisecond, "work of a request whose body does not tell (\"work 20ms reply 100\")")
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

// runFaultCommands carries out the lines of standard input until the command's context ends. The end of standard input
// does not end it.
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

// readLines sends each line that is not blank until ctx or the input ends. While it waits for input it does not see
// ctx end; it then lasts as long as the process.
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
