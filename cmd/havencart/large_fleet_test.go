package main

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"havencart/internal/platform/endpointstream"
	"havencart/internal/platform/workerframe"
	"havencart/lab/platformdiscovery"
	"havencart/lab/platformworker"
)

// emulatedWorker is a worker that loads functions on demand.
type emulatedWorker struct {
	*platformworker.Server
	id uint32 // ID of the worker process that currently has this address; used only by the goroutine of release

	mu     sync.Mutex
	loaded map[string]time.Time // time at which each function is or will be loaded
}

func (w *emulatedWorker) handle(c *platformworker.Conn, f workerframe.Frame) {
	switch f.Code {
	case workerframe.Request:
		name, _ := workerframe.Field(f.Fields, "name")
		time.AfterFunc(w.load(name)+emulatedRunTime, func() {
			c.Respond(workerframe.Frame{Code: workerframe.OK, ID: f.ID, Body: f.Body})
		})
	case workerframe.Load:
		name, _ := workerframe.Field(f.Fields, "name")
		replicas, _ := workerframe.Count(f.Fields, "replicas", 0)
		w.handleLoad(c, f, name, replicas)
	}
}

// handleLoad responds to a load order, or to a residency query, which is a load order for 0 replicas.
func (w *emulatedWorker) handleLoad(c *platformworker.Conn, f workerframe.Frame, name string, replicas int) {
	wait := time.Duration(0)
	if replicas > 0 {
		wait = w.load(name)
	} else if w.holds(name) {
		replicas = 1
	}
	time.AfterFunc(wait, func() {
		c.Respond(workerframe.Frame{Code: workerframe.OK, ID: f.ID, Fields: "replicas=" + strconv.Itoa(replicas)})
	})
}

// load starts to load a function unless it is loaded or loading, and returns the remaining load time.
func (w *emulatedWorker) load(name string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, known := w.loaded[name]
	if !known {
		at = time.Now().Add(emulatedLoadTime)
		w.loaded[name] = at
	}
	return max(0, time.Until(at))
}

func (w *emulatedWorker) holds(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, known := w.loaded[name]
	return known && time.Now().After(at)
}

func (w *emulatedWorker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.loaded)
}

func (w *emulatedWorker) entry(state endpointstream.State) endpointstream.Entry {
	return endpointstream.Entry{ID: w.id, Address: netip.MustParseAddrPort(w.Address()), State: state, Weight: 1, Cell: int(w.id) % 4}
}

// largeFleet is an installation with many workers that are replaced during the test.
type largeFleet struct {
	*testing.T
	rng       *rand.Rand
	discovery *platformdiscovery.Server
	workers   []*emulatedWorker
	lastID    uint32
	number    uint64            // number of the last event of the endpoint list
	draining  []*emulatedWorker // workers that the next step replaces
}

func startLargeFleet(t *testing.T, workers int) *largeFleet {
	t.Helper()
	fleet := &largeFleet{T: t, rng: rand.New(rand.NewPCG(1, 2))}
	var err error
	if fleet.discovery, err = platformdiscovery.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.discovery.Close)
	for range workers {
		worker := &emulatedWorker{id: fleet.nextID(), loaded: map[string]time.Time{}}
		if worker.Server, err = platformworker.Start(worker.handle); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(worker.Close)
		fleet.workers = append(fleet.workers, worker)
	}
	return fleet
}

func (l *largeFleet) nextID() uint32 {
	l.lastID++
	return l.lastID * 2654435761 // spreads the IDs over all 32 bits, as the IDs of the platform are
}

// config returns the configuration of the front end, with all workers.
func (l *largeFleet) config() string {
	l.Helper()
	l.number = 1
	settings := platformSettings{
		discovery: l.discovery.Address(), frontEnds: 100, index: 7,
		rules: map[string]any{"stopSendingWithin": 500.0, "cold": 4000.0, "coldFrom": 0.3, "fall": 1000.0, "tipMultiple": 2.0},
		classes: []map[string]any{
			{"name": "quote", "deadline": 1230.0, "onTime": 400.0, "repeat": "retryable", "worth": 2.0},
			{"name": "status", "deadline": 1230.0, "onTime": 600.0, "repeat": "dedup", "worth": 1.0, "keyScope": "cell", "memorySpan": 2000.0},
			{"name": "charge", "deadline": 820.0, "onTime": 300.0, "repeat": "fragile", "worth": 3.0},
		},
	}
	for _, worker := range l.workers {
		settings.workers = append(settings.workers, worker.entry(endpointstream.Ready))
	}
	return settings.json(l.T)
}

// release replaces workers in steps until ctx ends. In each step, some workers begin to drain, and the workers that
// began to drain in the step before are removed and replaced by new processes at the same addresses.
func (l *largeFleet) release(ctx context.Context) {
	for range releaseSteps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(releaseInterval):
		}
		var entries []endpointstream.Entry
		for _, worker := range l.draining {
			entries = append(entries, worker.entry(endpointstream.Removed))
			worker.id = l.nextID()
			worker.restart()
			started := worker.entry(endpointstream.Ready)
			started.StartedUnixMilli = time.Now().UnixMilli()
			entries = append(entries, started)
		}
		l.draining = nil
		for range int(releaseFraction * float64(len(l.workers))) {
			worker := l.workers[l.rng.IntN(len(l.workers))]
			l.draining = append(l.draining, worker)
			entries = append(entries, worker.entry(endpointstream.Draining))
		}
		l.number++
		l.discovery.Publish(endpointstream.Event{Number: l.number, Kind: endpointstream.Delta, Entries: entries})
	}
}
