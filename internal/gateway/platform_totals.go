package gateway

import (
	"context"
	"runtime"
	"runtime/metrics"
	"syscall"
	"time"

	"havencart/internal/periodic"
)

// This file logs the totals and the resource usage of a PlatformServer.

// loggedDelayQuantile is the quantile of the goroutines' scheduling delays that is logged besides the longest.
const loggedDelayQuantile = 0.99

// logTotals logs the totals at regular intervals until ctx ends.
func (p *PlatformServer) logTotals(ctx context.Context) {
	var delays schedulingDelays
	periodic.Run(ctx, platformLogInterval, func() { p.logTotalsOnce(&delays) })
}

// logTotalsOnce logs the totals and the resource usage of the process.
func (p *PlatformServer) logTotalsOnce(delays *schedulingDelays) {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	loop := p.loop.Snapshot()
	delay, longestDelay := delays.sinceLast(loggedDelayQuantile)
	p.log.Info().Interface("counts", loop.Counts).Interface("clients", p.clients.Counts()).
		Interface("loop", loop.Times).Int("workers", loop.Workers).Int("functions", loop.Functions).Uint64("functions-evicted", loop.FunctionsEvicted).Int("in-flight", loop.InFlight).
		Int("client-connections", p.clients.ConnectionCount()).Int("worker-connections", p.budget.Used()).
		Dur("processor-time", processorTime()).Uint32("collections", memory.NumGC).Float64("collector-part", memory.GCCPUFraction).
		Int("goroutines", runtime.NumGoroutine()).Uint64("heap-kb", memory.HeapAlloc>>10).Uint64("sys-kb", memory.Sys>>10).
		Uint64("live-kb", liveHeapBytes()>>10).Uint64("stack-kb", memory.StackInuse>>10).
		Uint64("unused-kb", (memory.HeapInuse-memory.HeapAlloc)>>10).Uint64("released-kb", memory.HeapReleased>>10).
		Interface("shed-reasons", loop.ShedReasons).Interface("memory", p.memory.counts()).
		Dur("scheduling-delay", delay).Dur("longest-scheduling-delay", longestDelay).
		Msg("totals")
}

// processorTime returns the CPU time that the process has used since its start, or 0 if it is not available.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveHeapMetric is the runtime's metric of the heap memory that the last collection found in use, in bytes.
const liveHeapMetric = "/gc/heap/live:bytes"

// liveHeapBytes returns the heap memory that the last garbage collection found in use.
func liveHeapBytes() uint64 {
	sample := []metrics.Sample{{Name: liveHeapMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}
