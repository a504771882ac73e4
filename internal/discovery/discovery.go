// Package discovery follows the endpoint list: the workers that a front end may send requests to. It has three
// sources: Consul's health endpoint with blocking queries, a watched file, and the platform's endpoint stream.
//
// A source passes on what it was told and decides nothing. A list that cannot be read is refused whole, reported as a
// failure, and the list before it stays in force.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"havencart/scheduler"
)

// ErrMalformed is wrapped by every error about a list that was received but cannot be used.
var ErrMalformed = errors.New("malformed endpoint list")

// Worker is one entry of an endpoint list.
type Worker struct {
	Name    string // unique in the list
	Address string // host:port
	Zone    string
	Cell    string
	Kind    string
	Scale   float64   // relative capacity, above 0; 1 where the list gives none
	Started time.Time // start of the worker's process; the zero time where the list gives none
	State   scheduler.WorkerState
}

// Sink receives what a source observes. A source calls it from the goroutine of its Run, one call at a time.
type Sink interface {
	// EndpointsChanged is called with the first list, which is whole. The sink may keep it.
	EndpointsChanged(list []Worker)
	// EndpointsUpdated is called, after the first list, with the workers that were added or changed since the last call, and
	// with those that were removed, as they were listed last but in state Removed. Without any it says that the list could
	// be had and is as it was. The sink may keep them.
	EndpointsUpdated(changed []Worker)
	// WatchFailed is called each time that no usable list could be had; the list before it stays in force.
	WatchFailed(err error)
	// ListRequested is called when the service was asked for what changed. Sources that cannot tell how old their list is
	// call neither this nor ListConfirmed.
	ListRequested(at time.Time)
	// ListConfirmed is called when the list, with the changes reported before, was what the service had at a time.
	ListConfirmed(asOf time.Time)
}

// Source follows an endpoint list.
type Source interface {
	// Run reports to sink until ctx ends. It is called once and closes what it opened before it returns.
	Run(ctx context.Context, sink Sink)
	// Refresh makes a source that waits after a failure try again at once. It does not block and may be called from
	// any goroutine.
	Refresh()
}

// wakeUp is a channel of capacity 1 that ends a source's wait after a failure. Wake-ups that nobody waits for yet
// count as one.
type wakeUp chan struct{}

func newWakeUp() wakeUp { return make(wakeUp, 1) }

// Refresh implements Source.
func (w wakeUp) Refresh() {
	select {
	case w <- struct{}{}:
	default: // one is pending already
	}
}

// wait blocks until Refresh is called. It returns false if ctx ended first.
func (w wakeUp) wait(ctx context.Context) bool {
	select {
	case <-w:
		return true
	case <-ctx.Done():
		return false
	}
}

// validate returns an error that wraps ErrMalformed if the list has two workers of one name or a worker that lacks a
// name, a usable address or a positive scale.
func validate(list []Worker) error {
	names := map[string]bool{}
	for _, worker := range list {
		if worker.Name == "" {
			return fmt.Errorf("%w: a worker at %s without a name", ErrMalformed, worker.Address)
		}
		if names[worker.Name] {
			return fmt.Errorf("%w: worker %s twice", ErrMalformed, worker.Name)
		}
		names[worker.Name] = true
		if !isHostPort(worker.Address) {
			return fmt.Errorf("%w: worker %s at %q, which is no host:port", ErrMalformed, worker.Name, worker.Address)
		}
		if !(worker.Scale > 0) { // neither is a scale that is not a number
			return fmt.Errorf("%w: worker %s with scale %v", ErrMalformed, worker.Name, worker.Scale)
		}
	}
	return nil
}

// isHostPort reports whether address has both a host and a port that can be dialled.
func isHostPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	hasPort := port != "" && port != "0"
	return host != "" && hasPort
}
