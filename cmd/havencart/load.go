package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"havencart/lab/client"
	"havencart/lab/invariant"
	"havencart/lab/loadgen"
)

// errVoid is returned by a load run in which the tool itself was too slow.
var errVoid = errors.New("the load tool could not keep up: the run is void")

// Beyond these the tool was the bottleneck: 1% of calls sent later than lateMost after they were due.
const lateMost = 20 * time.Millisecond

type loadOptions struct {
	at, classes, tenants []string
	arrivals             string
	shape, habit         string
	mix                  loadgen.Mix
	lasts                time.Duration
	seed                 uint64
}

func loadCommand() *cobra.Command {
	o := loadOptions{}
	cmd := &cobra.Command{Use: "load", Short: "Call front ends at a rate that does not wait for them, and tell latencies",
		Long: "Calls front ends in an open loop: each call is sent at its time, whatever becomes of earlier ones, and its latency is\n" +
			"counted from when it was due. If the tool itself sends more than 1 call in 100 later than 20 ms the run is void.",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error { return runLoad(cmd, o) }}
	f := cmd.Flags()
	f.StringSliceVar(&o.at, "at", []string{"127.0.0.1:8080"}, "HOST:PORT of front ends")
	f.StringSliceVar(&o.classes, "class", []string{"safe"}, "classes, asked alike")
	f.StringSliceVar(&o.tenants, "tenant", nil, "tenants, asked alike")
	f.StringVar(&o.arrivals, "arrivals", "", "replay the arrivals of this file")
	f.StringVar(&o.shape, "shape", "steady", "steady, bursty, ramp or daily")
	f.StringVar(&o.habit, "habit", "never", "after a refusal: never, at-once, wait, advised, impolite")
	f.IntVar(&o.mix.Retries, "retries", 0, "repeats at most")
	f.Float64Var(&o.mix.Rate, "rate", 100, "calls a second")
	f.IntVar(&o.mix.Functions, "functions", 10, "of each class, by Zipf's law")
	f.Float64Var(&o.mix.Zipf, "zipf", 1.3, "its exponent, above 1")
	f.DurationVar(&o.mix.Drift, "drift", 0, "a fifth of the functions give way after each; 0: never")
	f.Float64Var(&o.mix.Once, "once", 0, "share of calls for functions wanted once")
	f.DurationVar(&o.mix.Work, "work", 20*time.Millisecond, "mean work of a call at an emulated worker")
	f.Float64Var(&o.mix.WorkSigma, "sigma", 0.5, "of its lognormal distribution")
	f.DurationVar(&o.mix.Load, "load", 300*time.Millisecond, "time of a load at an emulated worker")
	f.Float64Var(&o.mix.MemoryMB, "size", 300, "megabytes of a copy")
	f.IntVar(&o.mix.Reply, "reply", 1000, "bytes of an answer at most")
	f.DurationVar(&o.mix.Patience, "patience", 2*time.Second, "of clients at most")
	f.DurationVar(&o.lasts, "for", 10*time.Second, "how long clients call")
	f.Uint64Var(&o.seed, "seed", 1, "of the clients' calls")
	return cmd
}

// next makes the source of calls.
func (o loadOptions) next() (func() (time.Duration, loadgen.Call, bool), error) {
	if o.arrivals != "" {
		raw, err := os.ReadFile(o.arrivals)
		if err != nil {
			return nil, err
		}
		next, _, err := loadgen.ParseArrivals(o.arrivals, string(raw), o.mix)
		return next, err
	}
	shares := make([]float64, len(o.tenants))
	for i := range shares {
		shares[i] = 1
	}
	return loadgen.NewSource(o.mix, o.lasts, o.classes, o.tenants, shares, o.seed).Next, nil
}

func (o *loadOptions) check() error {
	o.mix.Shape, o.mix.Habit = loadgen.Shape(o.shape), loadgen.Habit(o.habit)
	switch {
	case !slices.Contains([]loadgen.Shape{loadgen.Steady, loadgen.Bursty, loadgen.Ramp, loadgen.Daily}, o.mix.Shape):
		return fmt.Errorf("%w: shape %q", errUsage, o.shape)
	case !slices.Contains([]loadgen.Habit{loadgen.Never, loadgen.AtOnce, loadgen.Wait, loadgen.Advised, loadgen.Impolite}, o.mix.Habit):
		return fmt.Errorf("%w: habit %q", errUsage, o.habit)
	case !(o.mix.Rate > 0) || !(o.mix.Zipf > 1) || o.mix.Functions < 1 || o.mix.Patience < time.Millisecond:
		return fmt.Errorf("%w: rate, functions and patience must be above 0, zipf above 1", errUsage)
	}
	return nil
}

func runLoad(cmd *cobra.Command, o loadOptions) error {
	if err := o.check(); err != nil {
		return err
	}
	next, err := o.next()
	if err != nil {
		return err
	}
	book := invariant.NewBook()
	var pools []*client.Pool
	for _, at := range o.at {
		p := &client.Pool{Name: at, Address: at, Book: book, Grace: time.Second}
		defer p.Close()
		pools = append(pools, p)
	}
	t := newLoadTally()
	ctx, cancel := context.WithCancel(cmd.Context())
	watched := make(chan struct{})
	go func() { defer close(watched); t.watch(ctx, cmd.ErrOrStderr()) }()
	client.Runner{Next: next, Fronts: len(pools), Pools: func(i int) *client.Pool { return pools[i] }, Observe: t.observe}.Run(ctx)
	cancel()
	<-watched
	return t.print(cmd.OutOrStdout())
}

// loadTally gathers what became of calls.
type loadTally struct {
	mu       sync.Mutex
	hists    map[string]*hdrhistogram.Histogram // of served calls, by "class NAME" and "tenant NAME" and "all"
	outcomes map[string]int
	late     *hdrhistogram.Histogram
	lost     int
	tries    int
}

func newLoadTally() *loadTally {
	return &loadTally{hists: map[string]*hdrhistogram.Histogram{}, outcomes: map[string]int{}, late: histogram()}
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1000, int64(10*time.Minute), 3) }

func (t *loadTally) observe(o client.Observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.late.RecordValue(int64(max(o.Late, time.Microsecond))) // within the bounds, as below
	t.tries += o.Tries
	if o.Lost {
		t.lost++
	}
	outcome := o.Outcome
	if outcome == "" {
		outcome = "no answer"
	}
	t.outcomes[outcome]++
	if o.Outcome != "served" {
		return
	}
	for _, name := range []string{"all", "class " + o.Call.Class, "tenant " + o.Call.Tenant} {
		if name == "tenant " {
			continue
		}
		if t.hists[name] == nil {
			t.hists[name] = histogram()
		}
		_ = t.hists[name].RecordValue(int64(o.Took))
	}
}

// watch tells the progress once a second on one line.
func (t *loadTally) watch(ctx context.Context, out io.Writer) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for seconds := 1; ; seconds++ {
		select {
		case <-ctx.Done():
			fmt.Fprintln(out)
			return
		case <-tick.C:
		}
		t.mu.Lock()
		p99 := time.Duration(0)
		if h := t.hists["all"]; h != nil {
			p99 = time.Duration(h.ValueAtQuantile(99))
		}
		fmt.Fprintf(out, "\r%4ds %v p99 %v   ", seconds, t.outcomes, p99.Round(100*time.Microsecond))
		t.mu.Unlock()
	}
}

func (t *loadTally) print(out io.Writer) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(out, "calls %d, tries %d, lost %d, by outcome %v\n", t.late.TotalCount(), t.tries, t.lost, t.outcomes)
	var names []string
	for name := range t.hists {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		h := t.hists[name]
		at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)).Round(10 * time.Microsecond) }
		fmt.Fprintf(out, "%-22s served %7d  p50 %-9v p90 %-9v p99 %-9v p99.9 %-9v max %v\n", name, h.TotalCount(), at(50), at(90), at(99),
			at(99.9), at(100))
	}
	late := time.Duration(t.late.ValueAtQuantile(99))
	fmt.Fprintf(out, "sent late by p99 %v\n", late.Round(10*time.Microsecond))
	if late > lateMost {
		return fmt.Errorf("%w: 1 call in 100 was sent %v late or more", errVoid, late)
	}
	return nil
}
