// Package measure benchmarks a front end against direct requests to the emulated workers and against a plain reverse
// proxy (net/http/httputil, round robin) to the same workers: requests per second, latency and memory of a connection.
// All routes are measured in the same run. Clients, front end, proxy and workers share one process on one machine, so
// only the ratios of the results are meaningful.
package measure

import (
	"context"
	"fmt"
	"math"
	"net"
	"runtime"
	"slices"
	"strings"
	"time"
)

// Config describes a measurement.
type Config struct {
	Workers       int
	Connections   int           // number of client connections, each with one request in flight
	Work          time.Duration // work of a request at its worker
	ResponseBytes int           // size of a response's body
	Duration      time.Duration // duration of each measurement
	Rounds        int
	Loops         int // event loops of the front end
}

// Sample is the result of one round of measurements of one route.
type Sample struct {
	Rate                     float64       // requests per second in a closed loop
	P50, P99, P999           time.Duration // latency quantiles in a closed loop
	HalfLoadP50, HalfLoadP99 time.Duration // latency quantiles in an open loop at half the slowest route's rate
	HalfLoadP999             time.Duration
	Errors                   int     // requests that were not served, in both loops
	CPUPerRequestMicros      float64 // processor time of the whole process per request in a closed loop
}

// Route is one route from a client to a worker.
type Route struct {
	Name      string
	Addresses []string // addresses that the connections are spread over
	Samples   []Sample
}

// settings are the front end's settings. Nothing is rejected, and one replica at each worker serves all connections.
const settings = "keep-alive 60s\nmax-calls 100000\nqueue 100000\nclass echo\naim 1s\ngive-up 5s\nrepeat safe\nlanes 64\nend\n"

// Run measures the routes direct, proxy and gateway, and calls report with each result as text.
func Run(ctx context.Context, cfg Config, report func(string)) ([]*Route, error) {
	b := &benchmark{cfg: cfg}
	defer b.close()
	if err := b.start(); err != nil {
		return nil, err
	}
	if err := b.warmUp(ctx, b.routes...); err != nil {
		return nil, err
	}
	for round := range cfg.Rounds {
		if err := b.round(ctx, round, report); err != nil {
			return nil, err
		}
	}
	return b.routes, nil
}

// round measures each route in a closed loop, and then each in an open loop at half the rate of the slowest route.
func (b *benchmark) round(ctx context.Context, round int, report func(string)) error {
	slowest := math.Inf(1)
	for _, route := range b.routes {
		s, err := b.measureClosedLoop(ctx, route, b.cfg.Duration)
		if err != nil {
			return err
		}
		route.Samples = append(route.Samples, s)
		slowest = min(slowest, s.Rate)
	}
	for _, route := range b.routes {
		s := &route.Samples[round]
		if err := b.measureOpenLoop(ctx, route, s, slowest/2); err != nil {
			return err
		}
		report(fmt.Sprintf("round %d %-8s %8.0f/s p50 %v p99 %v p999 %v; half load p50 %v p99 %v p999 %v; errors %d", round+1,
			route.Name, s.Rate, s.P50, s.P99, s.P999, s.HalfLoadP50, s.HalfLoadP99, s.HalfLoadP999, s.Errors))
	}
	return nil
}

// warmUp sends requests on the routes, so that replicas are loaded, the connections to workers are open and the
// gateway's averages have settled.
func (b *benchmark) warmUp(ctx context.Context, routes ...*Route) error {
	for _, route := range routes {
		if _, err := b.measureClosedLoop(ctx, route, b.cfg.Duration/4); err != nil {
			return err
		}
	}
	return nil
}

// Ratios returns the least, the median and the greatest ratio of a figure between the samples of two routes. Samples of
// the same round are compared.
func Ratios(a, b *Route, figure func(Sample) float64) (least, median, greatest float64) {
	var ratios []float64
	for i := range a.Samples {
		ratios = append(ratios, figure(a.Samples[i])/figure(b.Samples[i]))
	}
	slices.Sort(ratios)
	return ratios[0], ratios[len(ratios)/2], ratios[len(ratios)-1]
}

// stallMargin is how much longer than a measurement the event loop stalls. The next round begins after the same time,
// so that the event loop has recovered.
const stallMargin = time.Second

// RejectionCost measures the processor time of a served request and of a request that a lagging event loop rejects, and
// calls report with both in each round. The times are in microseconds and are those of the whole process, clients and
// workers included.
func RejectionCost(ctx context.Context, cfg Config, report func(served, rejected float64)) error {
	b := &benchmark{cfg: cfg}
	defer b.close()
	if err := b.start(); err != nil {
		return err
	}
	stalled, err := b.gateway(b.discoveryURL, strings.Replace(settings, "queue 100000", "queue 1", 1))
	if err != nil {
		return err
	}
	stalledRoute := &Route{Name: "refused", Addresses: []string{stalled.Address()}}
	if err := b.warmUp(ctx, b.gatewayRoute()); err != nil {
		return err
	}
	for range cfg.Rounds {
		served, err := b.measureClosedLoop(ctx, b.gatewayRoute(), cfg.Duration)
		if err != nil {
			return err
		}
		stalled.Stall(cfg.Duration + stallMargin) // one request waits in the queue, the others are rejected
		rejected, err := b.measureClosedLoop(ctx, stalledRoute, cfg.Duration)
		if err != nil {
			return err
		}
		report(served.CPUPerRequestMicros, rejected.CPUPerRequestMicros)
		time.Sleep(stallMargin)
	}
	return nil
}

// IdleMemory opens n connections to the gateway and returns the heap and stack memory of an idle connection in bytes,
// averaged over them. Both ends of a connection are in this process and are included.
func IdleMemory(ctx context.Context, cfg Config, n int) (heap, stack float64, err error) {
	b := &benchmark{cfg: cfg}
	defer b.close()
	if err := b.start(); err != nil {
		return 0, 0, err
	}
	if _, err := b.measureClosedLoop(ctx, b.gatewayRoute(), 100*time.Millisecond); err != nil {
		return 0, 0, err
	}
	before := memory()
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	for range n {
		c, err := b.connect(b.gatewayRoute(), 0)
		if err != nil {
			return 0, 0, err
		}
		conns = append(conns, c.conn)
		if _, err := c.roundTrip(); err != nil { // the connection is idle after one request
			return 0, 0, err
		}
	}
	after := memory()
	heap = float64(after.HeapInuse-before.HeapInuse) / float64(n)
	stack = float64(after.StackInuse-before.StackInuse) / float64(n)
	return heap, stack, nil
}

// memory returns the memory statistics after garbage collection.
func memory() (m runtime.MemStats) {
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m
}
