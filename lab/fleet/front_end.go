package fleet

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"havencart/internal/config/gatewayconfig"
	"havencart/internal/gateway"
	"havencart/lab/client"
	"havencart/lab/portreservation"
)

var errNeverStarted = errors.New("never started")

// FrontEnd is one front end of a Fleet, and its clients' connections to it.
type FrontEnd struct {
	fleet       *Fleet
	number      int
	reservation *portreservation.Reservation // of its address, for all its processes

	mu      sync.Mutex
	service *gateway.Service
	pool    *client.Pool
	cancel  context.CancelFunc
	done    chan struct{}  // closed when the service has ended
	counts  gateway.Counts // of the service that ended last
	err     error          // and how it ended
}

// Name is the front end's name, as workers and discovery see it.
func (e *FrontEnd) Name() string { return fmt.Sprintf("fe-%d", e.number) }

// Pool is the clients' connections to the front end.
func (e *FrontEnd) Pool() *client.Pool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pool
}

// Counts are the totals of the service that ended last.
func (e *FrontEnd) Counts() gateway.Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Service is the service that was started last.
func (e *FrontEnd) Service() *gateway.Service {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.service
}

// Start starts the front end, at its address.
func (e *FrontEnd) Start() error {
	settings, err := gatewayconfig.Parse(e.Name(), e.settingsText())
	if err != nil {
		return err
	}
	cfg := &e.fleet.cfg
	service, err := gateway.NewService(settings, cfg.Log.With().Str("of", e.Name()).Logger())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.service, e.cancel, e.done = service, cancel, done
	if e.pool == nil {
		e.pool = &client.Pool{Name: e.Name(), Address: e.reservation.Address(), History: e.fleet.History, Grace: cfg.Tolerance}
	}
	go func() {
		defer close(done)
		counts, err := service.Run(ctx)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.counts, e.err = counts, err
	}()
	return nil
}

// settingsText is the fleet's settings with what is this front end's own.
func (e *FrontEnd) settingsText() string {
	cfg := &e.fleet.cfg
	loops := max(1, cfg.Loops)
	return fmt.Sprintf("name fe\nlisten %s\ndirectory consul %s workers\nloops %d\nfirst %d\nfront-ends %d\n%s", e.reservation.Address(),
		e.fleet.Discovery.URL(), loops, e.number*loops, cfg.FrontEnds*loops, cfg.Settings)
}

// Kill ends the front end as a kill -9 of its process does, as far as others can see: its listener and all its
// connections close at once, without a word to anybody. Its goroutines, which a process would take with it, are waited
// for.
func (e *FrontEnd) Kill() {
	e.mu.Lock()
	cancel, done, pool, service := e.cancel, e.done, e.pool, e.service
	e.mu.Unlock()
	e.fleet.History.FrontEndKilled(e.Name())
	service.Kill()
	cancel()
	<-done
	pool.Close()
}

// Stop shuts the front end down gracefully and returns how that went.
func (e *FrontEnd) Stop() error {
	e.mu.Lock()
	cancel, done, pool := e.cancel, e.done, e.pool
	e.mu.Unlock()
	if cancel == nil {
		return errNeverStarted
	}
	cancel()
	<-done
	pool.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.err
}
