package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/config/gatewayconfig"
	"havencart/internal/native/httpserver"
)

// Service is a gateway process: an HTTP listener for clients, and the event loops behind it. Its methods may be called
// from any goroutine; Run and Kill once each.
type Service struct {
	settings *gatewayconfig.Settings
	log      zerolog.Logger
	loops    []*EventLoop
	listener net.Listener
	clients  *httpserver.Server
	next     atomic.Uint64 // connections are spread over the loops in turn
}

// ErrShutdownTimeout is returned by Service.Run where requests were in flight when the time for a shutdown was over. Each got
// its final response all the same.
var ErrShutdownTimeout = errors.New("requests were in flight when the shutdown timed out")

// The bounds of logs in a second, by level: a burst whole, then a sample.
const (
	logBurst  = 100
	logSample = 100 // one line of so many
)

// NewService prepares a gateway and opens its listener, which Run and Kill close. Run serves.
func NewService(set *gatewayconfig.Settings, log zerolog.Logger) (*Service, error) {
	listener, err := net.Listen("tcp", set.ListenAddress)
	if err != nil {
		return nil, fmt.Errorf("clients' listener: %w", err)
	}
	log = sampled(log)
	s := &Service{settings: set, log: log, listener: listener}
	catalog := NewCatalog(set)
	clockStart := time.Now()
	for i := range set.EventLoops {
		loopLog := log.With().Int("front-end", set.FirstFrontEndIndex+i).Logger()
		s.loops = append(s.loops, NewEventLoop(loopConfig(set, i, clockStart), loopLog))
	}
	newHandler := func() httpserver.Handler {
		return httpHandler{s.loops[s.next.Add(1)%uint64(len(s.loops))], catalog}
	}
	s.clients = httpserver.New(serverConfig(set), newHandler, log)
	return s, nil
}

// serverConfig bounds what clients may do.
func serverConfig(set *gatewayconfig.Settings) httpserver.Config {
	return httpserver.Config{
		IdleTimeout:    set.IdleTimeout,
		HeaderTimeout:  set.HeaderTimeout,
		BodyTimeout:    set.BodyTimeout,
		WriteTimeout:   set.WriteTimeout,
		StallTimeout:   set.StallTimeout,
		MaxHeaderBytes: set.MaxHeader,
		MaxBodyBytes:   set.MaxBody,
		MaxPipelined:   set.MaxPipelined,
		MaxConnections: set.MaxConnections,
		KeepHalfClosed: set.AllowHalfClosed,
	}
}

// sampled bounds what is logged in a second, for each level below error.
func sampled(log zerolog.Logger) zerolog.Logger {
	sampler := func() zerolog.Sampler {
		return &zerolog.BurstSampler{
			Burst:       logBurst,
			Period:      time.Second,
			NextSampler: &zerolog.BasicSampler{N: logSample},
		}
	}
	return log.Sample(zerolog.LevelSampler{DebugSampler: sampler(), InfoSampler: sampler(), WarnSampler: sampler()})
}

// Address returns where clients connect.
func (s *Service) Address() string { return s.listener.Addr().String() }

// Stall blocks all loops for d, as a pause of the process does; it is for laboratories.
func (s *Service) Stall(d time.Duration) {
	for _, loop := range s.loops {
		loop.Stall(d)
	}
}

// Counts returns the totals of all loops.
func (s *Service) Counts() Counts {
	var total Counts
	for _, loop := range s.loops {
		total.Add(loop.Counts())
	}
	return total
}

// Run serves until ctx ends, then shuts down gracefully: it accepts no new connections; what is in flight gets its
// final response, at the latest when the settings' ShutdownTimeout is over. It returns the totals, and ErrShutdownTimeout
// where that time was needed in full. All goroutines of the service have ended when it returns.
func (s *Service) Run(ctx context.Context) (Counts, error) {
	loopsEnded := s.runLoops(ctx)
	stopListening := context.AfterFunc(ctx, s.closeListener)
	defer stopListening()
	err := s.clients.Serve(s.listener)
	s.closeListener()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), s.settings.ShutdownTimeout+s.settings.WriteTimeout)
	defer cancel()
	s.clients.Shutdown(shutdownCtx)
	total, clean := loopsEnded()
	if err == nil && !clean {
		err = ErrShutdownTimeout
	}
	return total, err
}

// runLoops starts the event loops. The function that it returns waits for them; it returns their totals, and whether
// all ended in time.
func (s *Service) runLoops(ctx context.Context) (wait func() (Counts, bool)) {
	var mu sync.Mutex
	var total Counts
	clean := true
	var loops sync.WaitGroup
	for _, loop := range s.loops {
		loops.Go(func() {
			counts, inTime := loop.Run(ctx)
			mu.Lock()
			defer mu.Unlock()
			total.Add(counts)
			clean = clean && inTime
		})
	}
	return func() (Counts, bool) {
		loops.Wait()
		return total, clean
	}
}

// closeListener ends the accepting of connections. It may be called again: the error tells only that it is closed.
func (s *Service) closeListener() { _ = s.listener.Close() }

// Kill breaks all connections at once, those of clients and of workers, without final responses: what is left of a
// process that was killed. Run then ends. It is for tests and emulations of that.
func (s *Service) Kill() {
	s.closeListener()
	s.clients.Close()
	for _, loop := range s.loops {
		loop.Kill()
	}
}
