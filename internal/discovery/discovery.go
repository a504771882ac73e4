// Package discovery follows the endpoint list: the workers to which a front end may send requests. It provides three
// sources: Consul's health endpoint with blocking queries, a watched file, and the platform's endpoint stream.
//
// A source only reports what it receives and makes no decisions. A list that cannot be parsed is rejected as a whole
// and reported as a failure; the previous list stays in effect.
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
	Name    string // unique within the list
	Address string // host:port
	Zone    string
	Cell    string
	Kind    string
	Scale   float64   // relative capacity, above 0; 1 if the list does not give it
	Started time.Time // start of the worker's process; the zero time if the list does not give it
	State   scheduler.WorkerState
}

// Sink receives what a source observes. A source calls it from the goroutine of its Run, one call at a time.
type Sink interface {
	// EndpointsListed is called with the first list, which is complete. The sink may keep the slice.
	EndpointsListed(list []Worker)
	// EndpointsUpdated is called after the first list with the workers that were added or changed since the previous
	// call, and with removed workers as they were last listed but in state Removed. An empty slice reports that the
	// source obtained the list and found it unchanged. The sink may keep the slice.
	EndpointsUpdated(changed []Worker)
	// WatchFailed is called each time a source fails to obtain a usable list. The previous list stays in effect.
	WatchFailed(err error)
	// ListRequested is called with the time at which the source requests the changes from the service. Sources that
	// cannot tell the age of their list call neither ListRequested nor ListConfirmed.
	ListRequested(at time.Time)
	// ListConfirmed is called when the list, with all changes reported so far, is known to match the service's list
	// as of the given time.
	ListConfirmed(asOf time.Time)
}

// ErrUnreachable is wrapped by the error of a watch that failed because no connection to the service could be made.
var ErrUnreachable = errors.New("discovery is unreachable")

// Source follows an endpoint list.
type Source interface {
	// Run reports to sink until ctx ends. It may be called only once, and releases its resources before it returns.
	Run(ctx context.Context, sink Sink)
	// Refresh makes a source that waits after a failure try again immediately. It does not block and may be called
	// from any goroutine.
	Refresh()
}

// refreshSignal is a channel of capacity 1 that ends a source's wait after a failure. Calls of Refresh that arrive
// while the source is not waiting are merged into one.
type refreshSignal chan struct{}

func newRefreshSignal() refreshSignal { return make(refreshSignal, 1) }

// Refresh implements Source.
func (s refreshSignal) Refresh() {
	select {
	case s <- struct{}{}:
	default: // a signal is already pending
	}
}

// wait blocks until Refresh is called. It returns false if ctx ended first.
func (s refreshSignal) wait(ctx context.Context) bool {
	select {
	case <-s:
		return true
	case <-ctx.Done():
		return false
	}
}

// validate returns an error that wraps ErrMalformed if two workers of the list have the same name, or if a worker lacks
// a name, a usable address or a positive scale.
func validate(list []Worker) error {
	names := map[string]bool{}
	for _, worker := range list {
		if worker.Name == "" {
			return fmt.Errorf("%w: worker at %s has no name", ErrMalformed, worker.Address)
		}
		if names[worker.Name] {
			return fmt.Errorf("%w: worker %s is listed twice", ErrMalformed, worker.Name)
		}
		names[worker.Name] = true
		if !isHostPort(worker.Address) {
			return fmt.Errorf("%w: worker %s has address %q, want host:port", ErrMalformed, worker.Name, worker.Address)
		}
		if !(worker.Scale > 0) { // also rejects NaN
			return fmt.Errorf("%w: worker %s has scale %v, want a number above 0", ErrMalformed, worker.Name, worker.Scale)
		}
	}
	return nil
}

// isHostPort reports whether address consists of a host and a port that can be dialled, that is, other than 0.
func isHostPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	hasPort := port != "" && port != "0"
	return host != "" && hasPort
}
