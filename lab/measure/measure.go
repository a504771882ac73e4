// Package measure compares a front end with direct requests to the emulated workers and with a plain reverse proxy
// (net/http/httputil, round robin) to the same workers, in one run on one machine: requests a second, latency, memory
// of a connection. All of it runs in one process, clients and workers included, so that only ratios mean anything.
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
	Connections   int           // of clients, each with one request in flight
	Work          time.Duration // of a request at its worker
	ResponseBytes int           // bytes of a response
	Duration      time.Duration // of each measurement
	Rounds        int
	Loops         int // event loops of the front end
}

// Sample is one measurement of one route.
type Sample struct {
	Rate                     float64 // requests a second, clients waiting for each response
	P50, P99, P999           time.Duration
	HalfLoadP50, HalfLoadP99 time.Duration // quantiles in an open loop at half the slowest route's rate
	HalfLoadP999             time.Duration
	Errors                   int
	CPUPerRequestMicros      float64 // processor time a request
}

// Route is one route from a client to a worker.
type Route struct {
	Name    string
	Address []string // clients are spread over them
	Samples []Sample
}

// settings are those of the front end: nothing is rejected, and each worker has one replica for all connections.
const settings = "keep-alive 60s\nmax-calls 100000\nqueue 100000\nclass echo\naim 1s\ngive-up 5s\nrepeat safe\nlanes 64\nend\n"

// Run measures the routes: direct, proxy, gateway. report is called with the progress.
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

// round measures each route with clients that wait, and then all at half the rate of the slowest.
func (b *benchmark) round(ctx context.Context, round int, report func(string)) error {
	slowest := math.Inf(1)
	for _, w := range b.routes {
		s, err := b.measureClosedLoop(ctx, w, b.cfg.Duration)
		if err != nil {
			return err
		}
		w.Samples = append(w.Samples, s)
		slowest = min(slowest, s.Rate)
	}
	for _, w := range b.routes {
		s := &w.Samples[round]
		if err := b.measureOpenLoop(ctx, w, s, slowest/2); err != nil {
			return err
		}
		report(fmt.Sprintf("round %d %-8s %8.0f/s p50 %v p99 %v p999 %v; half load p50 %v p99 %v p999 %v; errors %d", round+1,
			w.Name, s.Rate, s.P50, s.P99, s.P999, s.HalfLoadP50, s.HalfLoadP99, s.HalfLoadP999, s.Errors))
	}
	return nil
}

// warmUp loads replicas, opens connections and lets averages settle.
func (b *benchmark) warmUp(ctx context.Context, routes ...*Route) error {
	for _, w := range routes {
		if _, err := b.measureClosedLoop(ctx, w, b.cfg.Duration/4); err != nil {
			return err
		}
	}
	return nil
}

// Ratios compares the samples of two routes in pairs: the least ratio, the median, the greatest.
func Ratios(a, b *Route, of func(Sample) float64) (least, median, greatest float64) {
	var ratios []float64
	for i := range a.Samples {
		ratios = append(ratios, of(a.Samples[i])/of(b.Samples[i]))
	}
	slices.Sort(ratios)
	return ratios[0], ratios[len(ratios)/2], ratios[len(ratios)-1]
}

// recovery is the time for which a stalled event loop is given to go on.
const recovery = time.Second

// RejectionCost measures the processor time of a request that is served and of one that is rejected by an event loop that is
// behind, in microseconds of the whole process, clients and workers included, in turn for each round.
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
	toStalled := &Route{Name: "refused", Address: []string{stalled.Address()}}
	if err := b.warmUp(ctx, b.gatewayRoute()); err != nil {
		return err
	}
	for range cfg.Rounds {
		served, err := b.measureClosedLoop(ctx, b.gatewayRoute(), cfg.Duration)
		if err != nil {
			return err
		}
		stalled.Stall(cfg.Duration + recovery) // one request waits in the queue, the others are rejected
		rejected, err := b.measureClosedLoop(ctx, toStalled, cfg.Duration)
		if err != nil {
			return err
		}
		report(served.CPUPerRequestMicros, rejected.CPUPerRequestMicros)
		time.Sleep(recovery)
	}
	return nil
}

// IdleMemory measures the memory of n idle connections to the gateway, both ends of each, in bytes a connection.
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
		if _, err := c.roundTrip(); err != nil { // it is idle after a request
			return 0, 0, err
		}
	}
	after := memory()
	heap = float64(after.HeapInuse-before.HeapInuse) / float64(n)
	stack = float64(after.StackInuse-before.StackInuse) / float64(n)
	return heap, stack, nil
}

func memory() (m runtime.MemStats) {
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m
}
