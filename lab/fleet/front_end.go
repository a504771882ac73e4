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

var errNeverStarted = errors.New("fleet: the front end was never started")

// FrontEnd is one front end of a Fleet, with its clients' connections. It can be stopped or killed and started again.
type FrontEnd struct {
	fleet       *Fleet
	number      int
	reservation *portreservation.Reservation // keeps the address across restarts

	mu      sync.Mutex
	service *gateway.Service
	pool    *client.Pool
	cancel  context.CancelFunc
	done    chan struct{}  // closed when the service has stopped
	counts  gateway.Counts // final totals of the service that stopped last
	err     error          // result of the service that stopped last
}

// Name returns the name by which workers and discovery know the front end if it has a single event loop. With several
// event loops, each one has a name of this form with its own number.
func (fe *FrontEnd) Name() string { return fmt.Sprintf("fe-%d", fe.number) }

// Pool returns the clients' connections to the front end.
func (fe *FrontEnd) Pool() *client.Pool {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	return fe.pool
}

// Counts returns the final totals of the service that stopped last.
func (fe *FrontEnd) Counts() gateway.Counts {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	return fe.counts
}

// Service returns the service that was started last.
func (fe *FrontEnd) Service() *gateway.Service {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	return fe.service
}

// Start starts the front end at its address, which stays the same for all starts.
func (fe *FrontEnd) Start() error {
	settings, err := gatewayconfig.Parse(fe.Name(), fe.settingsText())
	if err != nil {
		return err
	}
	cfg := &fe.fleet.cfg
	service, err := gateway.NewService(settings, cfg.Log.With().Str("of", fe.Name()).Logger())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	fe.mu.Lock()
	defer fe.mu.Unlock()
	fe.service, fe.cancel, fe.done = service, cancel, done
	if fe.pool == nil {
		fe.pool = &client.Pool{Name: fe.Name(), Address: fe.reservation.Address(), History: fe.fleet.History, Grace: cfg.Tolerance}
	}
	go func() {
		defer close(done)
		counts, err := service.Run(ctx)
		fe.mu.Lock()
		defer fe.mu.Unlock()
		fe.counts, fe.err = counts, err
	}()
	return nil
}

// settingsText returns the fleet's settings preceded by those that differ between front ends.
func (fe *FrontEnd) settingsText() string {
	cfg := &fe.fleet.cfg
	loops := max(1, cfg.Loops)
	return fmt.Sprintf("name fe\nlisten %s\ndirectory consul %s workers\nloops %d\nfirst %d\nfront-ends %d\n%s", fe.reservation.Address(),
		fe.fleet.Discovery.URL(), loops, fe.number*loops, cfg.FrontEnds*loops, cfg.Settings)
}

// Kill stops the front end as SIGKILL stops a process, as far as its peers can tell: its listener and all its
// connections close at once, without any shutdown messages. Kill waits for the front end's goroutines to end.
func (fe *FrontEnd) Kill() {
	fe.mu.Lock()
	cancel, done, pool, service := fe.cancel, fe.done, fe.pool, fe.service
	fe.mu.Unlock()
	fe.fleet.History.FrontEndKilled(fe.Name())
	service.Kill()
	cancel()
	<-done
	pool.Close()
}

// Stop shuts the front end down gracefully and returns the service's error, if any.
func (fe *FrontEnd) Stop() error {
	fe.mu.Lock()
	cancel, done, pool := fe.cancel, fe.done, fe.pool
	fe.mu.Unlock()
	if cancel == nil {
		return errNeverStarted
	}
	cancel()
	<-done
	pool.Close()
	fe.mu.Lock()
	defer fe.mu.Unlock()
	return fe.err
}
