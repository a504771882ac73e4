// Package discovery follows the list of workers: from a service that speaks Consul's health endpoint with
// blocking queries, or from a file. It believes what it is told and decides nothing; what cannot be read is
// told as a failure and the list of before stays in force.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"havencart/scheduler"
)

// ErrMalformed is wrapped by every error about a list that cannot be read. Such a list is refused whole.
var ErrMalformed = errors.New("malformed list of workers")

// Worker is one entry of a list.
type Worker struct {
	Name    string
	Address string // host:port
	Zone    string
	Cell    string
	Kind    string
	Scale   float64   // 1 if not told
	Started time.Time // zero if not told
	State   scheduler.WorkerState
}

// Sink is told each whole list, and each time that it could not be had.
type Sink interface {
	EndpointsChanged(list []Worker)
	WatchFailed(err error)
}

// Source follows a list until its context ends. After a failure it waits until Follow is called.
type Source interface {
	Run(ctx context.Context, sink Sink)
	Refresh()
}

// poke wakes a source that waits after a failure.
type poke chan struct{}

func (p poke) Refresh() {
	select {
	case p <- struct{}{}:
	default:
	}
}

// wait returns false where the context ended first.
func (p poke) wait(ctx context.Context) bool {
	select {
	case <-p:
		return true
	case <-ctx.Done():
		return false
	}
}

// check refuses a list that names a worker twice, or one without a name or a usable address.
func check(list []Worker) error {
	named := map[string]bool{}
	for _, w := range list {
		if w.Name == "" {
			return fmt.Errorf("%w: a worker at %s without a name", ErrMalformed, w.Address)
		}
		if named[w.Name] {
			return fmt.Errorf("%w: worker %s twice", ErrMalformed, w.Name)
		}
		named[w.Name] = true
		if host, port, err := net.SplitHostPort(w.Address); err != nil || host == "" || port == "" || port == "0" {
			return fmt.Errorf("%w: worker %s at %q, which is no host:port", ErrMalformed, w.Name, w.Address)
		}
		if !(w.Scale > 0) {
			return fmt.Errorf("%w: worker %s with scale %v", ErrMalformed, w.Name, w.Scale)
		}
	}
	return nil
}
