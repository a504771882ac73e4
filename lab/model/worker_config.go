package model

import (
	"fmt"
	"time"
)

// WorkerConfig describes one emulated worker.
type WorkerConfig struct {
	Name, Cell         string
	Cores              float64
	Speed              float64 // of a core, relative to the reference core
	MemoryMB           float64
	Queue              int           // requests that may wait
	MaxConcurrentLoads int           // twice as many more may wait
	KeepAlive          time.Duration // an idle replica is unloaded after this
	ReportsNotLoaded   bool          // responds NotLoaded where a function has no replica; otherwise it loads one
	LoadsMoreReplicas  bool          // loads another replica by itself when all replicas of a function are full
	CancelStopsWork    bool          // a cancelled request stops executing
	ColdCapacity       float64       // share of its capacity after a start; 0: no slow start
	SlowStart          time.Duration // until the full capacity is reached
	OverloadMultiple   float64       // crashes while cold when sent more than this many times its capacity
	OverloadWindow     time.Duration // over this window; 0: never
	KeyRetention       time.Duration // how long its cell remembers an idempotency key
}

// ForWorker returns the configuration of worker i, from 0, of an installation with the given number of cells, and
// the index of its cell, from 0. Workers are assigned to cells round robin.
func (c WorkerConfig) ForWorker(i, cells int) (config WorkerConfig, cell int) {
	cell = i % cells
	c.Name = fmt.Sprintf("worker-%d", i+1)
	c.Cell = fmt.Sprintf("cell-%d", cell+1)
	return c, cell
}
