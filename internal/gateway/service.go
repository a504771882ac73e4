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

// Service is a gateway process: an HTTP listener for clients and the event loops behind it. Its methods may be called
// from any goroutine. Run and Kill must each be called at most once.
type Service struct {
	settings *gatewayconfig.Settings
	log      zerolog.Logger
	loops    []*EventLoop
	listener net.Listener
	clients  *httpserver.Server
	next     atomic.Uint64 // round-robin counter for assigning connections to loops
}

// ErrShutdownTimeout is returned by Service.Run if requests were still in flight when the shutdown timed out. Each of
// them got a final response nevertheless.
var ErrShutdownTimeout = errors.New("requests were in flight when the shutdown timed out")

// The limits of log lines per second and level. Lines up to logBurst are all logged, further ones are sampled.
const (
	logBurst  = 100
	logSample = 100 // one in this many lines is logged
)

// NewService creates a gateway and opens its listener, which Run and Kill close. Run starts serving clients.
func NewService(settings *gatewayconfig.Settings, log zerolog.Logger) (*Service, error) {
	listener, err := net.Listen("tcp", settings.ListenAddress)
	if err != nil {
		return nil, fmt.Errorf("clients' listener: %w", err)
	}
	log = sampled(log)
	s := &Service{settings: settings, log: log, listener: listener}
	catalog := NewCatalog(settings)
	clockStart := time.Now()
	for i := range settings.EventLoops {
		loopLog := log.With().Int("front-end", settings.FirstFrontEndIndex+i).Logger()
		s.loops = append(s.loops, NewEventLoop(loopConfig(settings, i, clockStart), loopLog))
	}
	newHandler := func() httpserver.Handler {
		return httpHandler{s.loops[s.next.Add(1)%uint64(len(s.loops))], catalog}
	}
	s.clients = httpserver.New(serverConfig(settings), newHandler, log)
	return s, nil
}

// serverConfig returns the limits for clients' connections and requests.
func serverConfig(settings *gatewayconfig.Settings) httpserver.Config {
	return httpserver.Config{
		IdleTimeout:    settings.IdleTimeout,
		HeaderTimeout:  settings.HeaderTimeout,
		BodyTimeout:    settings.BodyTimeout,
		WriteTimeout:   settings.WriteTimeout,
		StallTimeout:   settings.StallTimeout,
		MaxHeaderBytes: settings.MaxHeader,
		MaxBodyBytes:   settings.MaxBody,
		MaxPipelined:   settings.MaxPipelined,
		MaxConnections: settings.MaxConnections,
		KeepHalfClosed: settings.AllowHalfClosed,
	}
}

// sampled returns a logger that limits the lines per second, separately for each level below error.
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

// Address returns the address on which the service accepts clients.
func (s *Service) Address() string { return s.listener.Addr().String() }

// Stall blocks all loops for d, to emulate a pause of the process in experiments.
func (s *Service) Stall(d time.Duration) {
	for _, loop := range s.loops {
		loop.Stall(d)
	}
}

// Counts returns the sum of the totals of all loops.
func (s *Service) Counts() Counts {
	var total Counts
	for _, loop := range s.loops {
		total.Add(loop.Counts())
	}
	return total
}

// Run serves clients until ctx ends, and then shuts down gracefully. It stops accepting connections and gives the
// requests in flight their final response, at the latest after the ShutdownTimeout of the settings. It returns the
// totals, and ErrShutdownTimeout if that time was not sufficient. When it returns, all goroutines of the service have
// ended.
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

// runLoops starts the event loops. It returns a function that waits for them to end and returns their totals, and
// whether all of them ended in time.
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

// closeListener stops accepting connections. It may be called more than once: the ignored error only indicates that the
// listener is already closed.
func (s *Service) closeListener() { _ = s.listener.Close() }

// Kill closes all connections to clients and workers immediately, without final responses, and makes Run return. It
// emulates a killed process in tests and experiments.
func (s *Service) Kill() {
	s.closeListener()
	s.clients.Close()
	for _, loop := range s.loops {
		loop.Kill()
	}
}
