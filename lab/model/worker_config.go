package model

import (
	"fmt"
	"time"
)

// WorkerConfig configures one emulated worker.
type WorkerConfig struct {
	Name, Cell         string
	Cores              float64
	Speed              float64 // speed of each core, relative to the reference core
	MemoryMB           float64
	Queue              int           // maximum number of queued requests
	MaxConcurrentLoads int           // maximum number of loads in progress; twice as many may be queued
	KeepAlive          time.Duration // time after which an idle replica is unloaded
	ReportsNotLoaded   bool          // respond NotLoaded instead of loading a function that has no replica
	ScalesUpOnQueue    bool          // load another replica if more requests than its concurrency are queued
	CancelStopsWork    bool          // stop the execution of a cancelled request
	ColdCapacity       float64       // share of the capacity that a new process has; 0: no slow start
	SlowStart          time.Duration // time until a new process reaches its full capacity
	OverloadMultiple   float64       // multiple of its capacity beyond which work crashes a cold worker
	OverloadWindow     time.Duration // window over which the work is summed; 0: overload causes no crash
	KeyRetention       time.Duration // time for which the worker's cell remembers an idempotency key
}

// ForWorker returns the configuration of the worker with index i in an installation with the given number of cells, and
// the index of the worker's cell. Both indexes start at 0. Workers are assigned to cells round robin.
func (c WorkerConfig) ForWorker(i, cells int) (config WorkerConfig, cell int) {
	cell = i % cells
	c.Name = fmt.Sprintf("worker-%d", i+1)
	c.Cell = fmt.Sprintf("cell-%d", cell+1)
	return c, cell
}
