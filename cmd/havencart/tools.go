package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"havencart/lab/fleet"
	"havencart/lab/functionstore"
	"havencart/lab/invariant"
	"havencart/lab/model"
	"havencart/lab/worker"
)

// workerCommand runs one emulated worker as a process of its own; commands come on standard input.
func workerCommand() *cobra.Command {
	cfg := worker.Config{WorkerConfig: fleet.DemoWorker()}
	store := ""
	cmd := &cobra.Command{Use: "worker", Short: "Run one emulated worker; reads fault commands from standard input",
		Long: "Runs one emulated worker that speaks the worker protocol. Each line of standard input is a command:\n" +
			worker.Commands, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runWorker(cmd, cfg, store) }}
	flags := cmd.Flags()
	flags.StringVar(&cfg.Name, "name", "worker-1", "its name in the list of workers")
	flags.StringVar(&cfg.Cell, "cell", "cell-1", "its cell")
	flags.StringVar(&cfg.Address, "listen", "127.0.0.1:9001", "where front ends connect")
	flags.StringVar(&store, "store", "", "HOST:PORT of a function store; empty: one of its own")
	flags.Float64Var(&cfg.Cores, "cores", cfg.Cores, "cores")
	flags.Float64Var(&cfg.Speed, "speed", cfg.Speed, "of a core, 1 is the yardstick")
	flags.Float64Var(&cfg.MemoryMB, "memory", cfg.MemoryMB, "megabytes for copies")
	flags.IntVar(&cfg.Queue, "queue", cfg.Queue, "calls that may wait")
	flags.BoolVar(&cfg.MissAnswers, "miss", false, "answer miss in place of loading")
	flags.DurationVar(&cfg.Work, "work", 20*time.Millisecond, "of a call whose body does not tell (\"work 20ms reply 100\")")
	return cmd
}

func runWorker(cmd *cobra.Command, cfg worker.Config, store string) error {
	world := model.NewWorld()
	if store == "" {
		own, err := functionstore.Start(world, model.StoreConfig{Places: 8, Limit: 40}, "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer own.Close()
		store = own.Address()
	}
	fetcher := functionstore.NewClient(world, store)
	defer fetcher.Close()
	w, err := worker.Start(world, cfg, fetcher, model.NewGroup(), invariant.NewBook())
	if err != nil {
		return err
	}
	defer w.Close()
	fmt.Fprintf(cmd.OutOrStdout(), "worker %s at %s\n", w.Name(), w.Address())
	lines := make(chan string)
	go readLines(cmd.Context(), cmd.InOrStdin(), lines)
	for {
		select {
		case <-cmd.Context().Done():
			return nil
		case line := <-lines:
			if err := w.Command(line); err != nil {
				fmt.Fprintln(cmd.ErrOrStderr(), err)
			}
		}
	}
}

// readLines sends what is typed until ctx ends. Reading standard input itself ends with the process.
func readLines(ctx context.Context, in io.Reader, lines chan<- string) {
	scan := bufio.NewScanner(in)
	for scan.Scan() {
		if strings.TrimSpace(scan.Text()) == "" {
			continue
		}
		select {
		case lines <- scan.Text():
		case <-ctx.Done():
			return
		}
	}
}

func callCommand() *cobra.Command {
	var at, class, tenant, key string
	var patience time.Duration
	cmd := &cobra.Command{Use: "call FUNCTION [BODY]", Short: "Make one call and print its answer",
		Args: cobra.RangeArgs(1, 2), RunE: func(cmd *cobra.Command, args []string) error {
			body := ""
			if len(args) == 2 {
				body = args[1]
			}
			r, err := http.NewRequestWithContext(cmd.Context(), http.MethodPost, "http://"+at+"/call/"+args[0], strings.NewReader(body))
			if err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			for name, value := range map[string]string{"Call-Class": class, "Call-Tenant": tenant, "Idempotency-Key": key} {
				if value != "" {
					r.Header.Set(name, value)
				}
			}
			if patience > 0 {
				r.Header.Set("Call-Patience", patience.String())
			}
			return call(cmd, r)
		}}
	flags := cmd.Flags()
	flags.StringVar(&at, "at", "127.0.0.1:8080", "HOST:PORT of the front end")
	flags.StringVar(&class, "class", "", "class of the call")
	flags.StringVar(&tenant, "tenant", "", "tenant")
	flags.StringVar(&key, "key", "", "idempotency key")
	flags.DurationVar(&patience, "patience", 0, "until you give up; 0: as the class says")
	return cmd
}

// call prints the answer; the exit code tells whether it was served.
func call(cmd *cobra.Command, r *http.Request) error {
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	for _, name := range []string{"Call-Outcome", "Call-Worker", "Call-Attempts", "Retry-After-Ms"} {
		if value := response.Header.Get(name); value != "" {
			fmt.Fprintf(os.Stderr, "%s: %s\n", name, value)
		}
	}
	if _, err := io.Copy(cmd.OutOrStdout(), response.Body); err != nil {
		return fmt.Errorf("the answer broke off: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("not served: %s", response.Status)
	}
	return nil
}
