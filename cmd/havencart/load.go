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

// loadOptions holds the flags of the load command.
type loadOptions struct {
	addresses, classes, tenants []string
	arrivalsPath                string
	shape, retryPolicy          string
	mix                         loadgen.Mix
	duration                    time.Duration
	seed                        uint64
}

// loadCommand returns the command that sends requests in an open loop and reports their latencies.
func loadCommand() *cobra.Command {
	options := loadOptions{}
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send requests to front ends at a rate that does not depend on responses, and report latencies",
		Long: "Sends requests in an open loop: each request is sent at its scheduled time, without waiting for earlier responses,\n" +
			"and its latency is measured from that time. If the load generator itself sends more than 1 request in 100 over\n" +
			"20 ms late, the results of the run are invalid.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runLoad(cmd, options) },
	}
	flags, mix := cmd.Flags(), &options.mix
	flags.StringSliceVar(&options.addresses, "at", []string{"127.0.0.1:8080"}, "HOST:PORT of front ends")
	flags.StringSliceVar(&options.classes, "class", []string{"safe"}, "classes, among which the requests are divided equally")
	flags.StringSliceVar(&options.tenants, "tenant", nil, "tenants, among which the requests are divided equally")
	flags.StringVar(&options.arrivalsPath, "arrivals", "", "file of request arrivals to replay")
	flags.StringVar(&options.shape, "shape", "steady", "shape of the request rate over time: steady, bursty, ramp or daily")
	flags.StringVar(&options.retryPolicy, "habit", "never", "clients' retry policy after a rejection: never, at-once, wait, advised or impolite")
	flags.IntVar(&mix.Retries, "retries", 0, "maximum number of retries of a request")
	flags.Float64Var(&mix.Rate, "rate", 100, "requests per second")
	flags.IntVar(&mix.Functions, "functions", 10, "number of functions of each class, with a Zipf distribution of requests")
	flags.Float64Var(&mix.Zipf, "zipf", 1.3, "exponent of the Zipf distribution, above 1")
	flags.DurationVar(&mix.Drift, "drift", 0, "interval at which a fifth of the functions are replaced; 0: never")
	flags.Float64Var(&mix.RequestedOnceShare, "once", 0, "fraction of requests for functions that are requested only once")
	flags.DurationVar(&mix.Work, "work", 20*time.Millisecond, "mean work of a request at an emulated worker")
	flags.Float64Var(&mix.WorkSigma, "sigma", 0.5, "sigma of the lognormal distribution of the work")
	flags.DurationVar(&mix.LoadTime, "load", 300*time.Millisecond, "load time of a function at an emulated worker")
	flags.Float64Var(&mix.MemoryMB, "size", 300, "memory of a replica in megabytes")
	flags.IntVar(&mix.ResponseBytes, "reply", 1000, "maximum size of a response in bytes")
	flags.DurationVar(&mix.Timeout, "patience", 2*time.Second, "maximum timeout of clients")
	flags.DurationVar(&options.duration, "for", 10*time.Second, "how long clients send requests")
	flags.Uint64Var(&options.seed, "seed", 1, "seed of the clients' requests")
	return cmd
}

var (
	loadShapes        = []loadgen.Shape{loadgen.Steady, loadgen.Bursty, loadgen.Ramp, loadgen.Daily}
	loadRetryPolicies = []loadgen.RetryPolicy{loadgen.RetryNever, loadgen.RetryAtOnce, loadgen.RetryWithBackoff, loadgen.RetryAsAdvised, loadgen.RetryAlways}
)

// validate checks the flags and sets the shape and the retry policy of the request mix.
func (o *loadOptions) validate() error {
	o.mix.Shape, o.mix.RetryPolicy = loadgen.Shape(o.shape), loadgen.RetryPolicy(o.retryPolicy)
	switch {
	case !slices.Contains(loadShapes, o.mix.Shape):
		return fmt.Errorf("%w: unknown shape %q", errUsage, o.shape)
	case !slices.Contains(loadRetryPolicies, o.mix.RetryPolicy):
		return fmt.Errorf("%w: unknown retry policy %q for --habit", errUsage, o.retryPolicy)
	case !o.mixInRange():
		return fmt.Errorf("%w: --rate and --functions must be greater than 0, --zipf greater than 1, and --patience at least 1ms", errUsage)
	}
	return nil
}

// mixInRange reports whether the numbers of the request mix are valid. It returns false if the rate or the Zipf
// exponent is NaN.
func (o *loadOptions) mixInRange() bool {
	hasRate := o.mix.Rate > 0
	hasFunctions := o.mix.Functions >= 1 && o.mix.Zipf > 1
	hasTimeout := o.mix.Timeout >= time.Millisecond
	return hasRate && hasFunctions && hasTimeout
}

// source returns a function that returns the next request and the time at which to send it. The function returns false
// when there are no more requests.
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

// clientGrace is how long a client continues to wait after its timeout for the response that reports the timeout.
const clientGrace = time.Second

func runLoad(cmd *cobra.Command, options loadOptions) error {
	if err := options.validate(); err != nil {
		return err
	}
	next, err := options.source()
	if err != nil {
		return err
	}
	history := invariant.NewHistory()
	var pools []*client.Pool
	for _, address := range options.addresses {
		pool := &client.Pool{Name: address, Address: address, History: history, Grace: clientGrace}
		defer pool.Close()
		pools = append(pools, pool)
	}
	tally := newLoadTally()
	runner := client.Runner{
		Next:      next,
		FrontEnds: len(pools),
		Pool:      func(i int) *client.Pool { return pools[i] },
		Observe:   tally.observe,
	}
	ctx, cancel := context.WithCancel(cmd.Context())
	progressDone := make(chan struct{})
	go func() { // returns when ctx ends; runLoad waits for it
		defer close(progressDone)
		tally.reportProgress(ctx, progress(cmd))
	}()
	runner.Run(ctx)
	cancel()
	<-progressDone
	return tally.print(results(cmd))
}
