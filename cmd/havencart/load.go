package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"havencart/lab/client"
	"havencart/lab/invariant"
	"havencart/lab/loadgen"
)

// loadOptions are the flags of the load tool.
type loadOptions struct {
	addresses, classes, tenants []string
	arrivalsPath                string
	shape, retryHabit           string
	mix                         loadgen.Mix
	duration                    time.Duration
	seed                        uint64
}

// loadCommand sends requests in an open loop and reports their latencies.
func loadCommand() *cobra.Command {
	options := loadOptions{}
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send requests to front ends at a rate that does not wait for them, and report latencies",
		Long: "Sends requests in an open loop: each is sent at its time, whatever becomes of earlier ones, and its latency is\n" +
			"counted from when it was due. If the tool itself sends more than 1 request in 100 later than 20 ms the run is void.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runLoad(cmd, options) },
	}
	flags, mix := cmd.Flags(), &options.mix
	flags.StringSliceVar(&options.addresses, "at", []string{"127.0.0.1:8080"}, "HOST:PORT of front ends")
	flags.StringSliceVar(&options.classes, "class", []string{"safe"}, "classes, with equal shares of the requests")
	flags.StringSliceVar(&options.tenants, "tenant", nil, "tenants, with equal shares of the requests")
	flags.StringVar(&options.arrivalsPath, "arrivals", "", "replay the arrivals of this file")
	flags.StringVar(&options.shape, "shape", "steady", "steady, bursty, ramp or daily")
	flags.StringVar(&options.retryHabit, "habit", "never", "retries of clients after a rejection: never, at-once, wait, advised, impolite")
	flags.IntVar(&mix.Retries, "retries", 0, "retries of one request at most")
	flags.Float64Var(&mix.Rate, "rate", 100, "requests a second")
	flags.IntVar(&mix.Functions, "functions", 10, "functions of each class, by Zipf's law")
	flags.Float64Var(&mix.Zipf, "zipf", 1.3, "its exponent, above 1")
	flags.DurationVar(&mix.Drift, "drift", 0, "a fifth of the functions are replaced after each; 0: never")
	flags.Float64Var(&mix.RequestedOnceShare, "once", 0, "share of requests for functions that are used once")
	flags.DurationVar(&mix.Work, "work", 20*time.Millisecond, "mean work of a request at an emulated worker")
	flags.Float64Var(&mix.WorkSigma, "sigma", 0.5, "sigma of its lognormal distribution")
	flags.DurationVar(&mix.LoadTime, "load", 300*time.Millisecond, "load time of a function at an emulated worker")
	flags.Float64Var(&mix.MemoryMB, "size", 300, "megabytes of a replica")
	flags.IntVar(&mix.ResponseBytes, "reply", 1000, "bytes of a response at most")
	flags.DurationVar(&mix.Timeout, "patience", 2*time.Second, "timeout of clients at most")
	flags.DurationVar(&options.duration, "for", 10*time.Second, "how long clients send requests")
	flags.Uint64Var(&options.seed, "seed", 1, "seed of the clients' requests")
	return cmd
}

var (
	loadShapes = []loadgen.Shape{loadgen.Steady, loadgen.Bursty, loadgen.Ramp, loadgen.Daily}
	loadHabits = []loadgen.RetryPolicy{loadgen.RetryNever, loadgen.RetryAtOnce, loadgen.RetryWithBackoff, loadgen.RetryAsAdvised, loadgen.RetryAlways}
)

// validate checks the flags and completes the request mix.
func (o *loadOptions) validate() error {
	o.mix.Shape, o.mix.RetryPolicy = loadgen.Shape(o.shape), loadgen.RetryPolicy(o.retryHabit)
	switch {
	case !slices.Contains(loadShapes, o.mix.Shape):
		return fmt.Errorf("%w: shape %q", errUsage, o.shape)
	case !slices.Contains(loadHabits, o.mix.RetryPolicy):
		return fmt.Errorf("%w: habit %q", errUsage, o.retryHabit)
	case !o.mixInRange():
		return fmt.Errorf("%w: rate, functions and patience must be above 0, zipf above 1", errUsage)
	}
	return nil
}

// mixInRange reports whether the numbers of the request mix can be used. None of them is where a flag is NaN.
func (o *loadOptions) mixInRange() bool {
	hasRate := o.mix.Rate > 0
	hasFunctions := o.mix.Functions >= 1 && o.mix.Zipf > 1
	hasTimeout := o.mix.Timeout >= time.Millisecond
	return hasRate && hasFunctions && hasTimeout
}

// source returns the function that yields the requests, each with its time; it yields false at the end.
func (o loadOptions) source() (func() (time.Duration, loadgen.Request, bool), error) {
	if o.arrivalsPath != "" {
		raw, err := os.ReadFile(o.arrivalsPath)
		if err != nil {
			return nil, err
		}
		next, _, err := loadgen.ParseArrivals(o.arrivalsPath, string(raw), o.mix)
		return next, err
	}
	shares := make([]float64, len(o.tenants))
	for i := range shares {
		shares[i] = 1
	}
	return loadgen.NewSource(o.mix, o.duration, o.classes, o.tenants, shares, o.seed).Next, nil
}

// clientGrace is how long a client waits beyond its timeout for the response that tells of it.
const clientGrace = time.Second

func runLoad(cmd *cobra.Command, options loadOptions) error {
	if err := options.validate(); err != nil {
		return err
	}
	next, err := options.source()
	if err != nil {
		return err
	}
	book := invariant.NewHistory()
	var pools []*client.Pool
	for _, address := range options.addresses {
		pool := &client.Pool{Name: address, Address: address, History: book, Grace: clientGrace}
		defer pool.Close()
		pools = append(pools, pool)
	}
	tally := newLoadTally()
	runner := client.Runner{
		Next:      next,
		FrontEnds: len(pools),
		Pools:     func(i int) *client.Pool { return pools[i] },
		Observe:   tally.observe,
	}
	ctx, cancel := context.WithCancel(cmd.Context())
	progressDone := make(chan struct{})
	go func() { // ends with ctx, and is waited for
		defer close(progressDone)
		tally.reportProgress(ctx, progress(cmd))
	}()
	runner.Run(ctx)
	cancel()
	<-progressDone
	return tally.print(results(cmd))
}
