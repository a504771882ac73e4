package gateway

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/config/platformconfig"
	"havencart/internal/decide/connadmission"
	"havencart/internal/decide/looplag"
	"havencart/internal/discovery"
	"havencart/internal/native/muxframe"
	"havencart/internal/periodic"
	"havencart/internal/platform/rpcserver"
	"havencart/internal/platform/workerclient"
)

// The bounds of a platform server, beside those of its configuration.
const (
	platformRequestQueue       = 1024                   // requests that wait for the event loop; more are rejected at once
	platformEventQueue         = 1024                   // events that wait for it; beyond, worker clients stop reading
	platformMaxInFlight        = 4096                   // requests; more are rejected at once
	platformDeadlineMargin     = 15 * time.Millisecond  // the final response is due this long before the client gives up
	platformMaxResponse        = 64 << 10               // bytes of a worker's response
	platformMaxUnsent          = 256 << 10              // bytes of responses that a client has not read
	platformWriteTimeout       = 2 * time.Second        // that a client may stall while a response is written to it
	platformMaxOpen            = 32                     // requests of one connection in flight, by the platform's rules
	platformAcceptGrace        = 700 * time.Millisecond // after a shutdown has begun, clients are still accepted for this long
	platformMaxShutdown        = 3 * time.Second        // bounds the longest deadline at a shutdown, counted from the last accept
	platformAcceptRest         = 100 * time.Millisecond // by which the last clients within platformAcceptGrace may be late
	platformNoticeAfterSilence = 4 * time.Second        // of changes of the endpoint list, after its stream fell silent
	platformNoticeAfterBreak   = 2 * time.Second        // the same after it broke off
	platformLogInterval        = 5 * time.Second        // between two log lines of the totals
	memoryLimitFraction        = 0.7                    // of the memory, from which the runtime collects harder
	bodyMemoryFraction         = 0.25                   // of the memory, for bodies of requests in flight
	bytesPerMB                 = 1 << 20
)

// PlatformServer is a front end on the users' platform: one event loop, with the platform's protocols towards clients,
// workers and endpoint discovery. Its methods may be called from any goroutine; Run once.
type PlatformServer struct {
	config    *platformconfig.Config
	log       zerolog.Logger
	loop      *EventLoop
	listener  net.Listener
	clients   *rpcserver.Server
	endpoints *discovery.EndpointStream
	budget    *workerclient.ConnectionBudget
	draining  atomic.Bool                 // the shutdown has begun
	after     func(time.Duration, func()) // calls a function later; tests do so by hand
	recentIDs recentIDs
	bodyBytes atomic.Int64 // of the requests in flight
}

// NewPlatformServer prepares a front end and opens its listener, which Run closes. It sets limits of the whole
// process: the processors and the memory that the runtime uses.
func NewPlatformServer(config *platformconfig.Config, log zerolog.Logger) (*PlatformServer, error) {
	runtime.GOMAXPROCS(max(1, int(config.Cores+0.5)))
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(config.MemoryMB) * bytesPerMB))
	log = sampled(log)
	clientConns, workerConns := connadmission.SplitDescriptors(config.MaxDescriptors)
	server := &PlatformServer{
		config: config,
		log:    log,
		budget: workerclient.NewConnectionBudget(workerConns),
		after:  func(d time.Duration, f func()) { time.AfterFunc(d, f) },
	}
	site := config.Settings
	var err error
	server.endpoints, err = discovery.NewEndpointStream(config.EndpointStreamAddress, config.InitialEvents, site.ZoneNames, site.WorkerKinds, config.Seed)
	if err != nil {
		return nil, err
	}
	server.listener, err = net.Listen("tcp", config.ListenAddress)
	if err != nil {
		return nil, fmt.Errorf("clients' listener: %w", err)
	}
	server.clients = rpcserver.New(rpcserver.Config{
		Rules:             clientRules(config.Settings),
		MaxConnections:    clientConns,
		MaxInFlight:       platformMaxOpen,
		MaxQueuedBytes:    platformMaxUnsent,
		WriteTimeout:      platformWriteTimeout,
		AcceptGracePeriod: platformAcceptRest,
		ObserveWriteDelay: func(took time.Duration) { server.loop.ObserveLag(took) },
	}, server, log)
	server.loop = NewEventLoop(server.loopConfig(), log)
	return server, nil
}

// Address returns where clients connect.
func (p *PlatformServer) Address() string { return p.listener.Addr().String() }

// Ready implements rpcserver.Handler: it is true until the shutdown begins.
func (p *PlatformServer) Ready() bool { return !p.draining.Load() }

// Handle implements rpcserver.Handler. An error wraps rpcserver.ErrProtocol.
func (p *PlatformServer) Handle(received *rpcserver.Request, respond func(rpcserver.Response)) (disconnect func(), err error) {
	if !p.recentIDs.admit(received.ID) {
		return nil, fmt.Errorf("%w: id %s was used before", rpcserver.ErrProtocol, received.ID)
	}
	size := int64(len(received.Body))
	release := sync.OnceFunc(func() { // by the final response or the client's disconnect, whichever comes first
		p.recentIDs.release(received.ID)
		p.bodyBytes.Add(-size)
	})
	request := NewRequestWithCallback(func(response FinalResponse) {
		release()
		respond(response.rpcResponse())
	})
	p.fill(request, received)
	if p.bodyBytes.Add(size) > p.maxBodyBytes() {
		request.complete(FinalResponse{
			Kind:       Rejected,
			Reason:     TooManyBodyBytes.String(),
			RetryAfter: p.config.Settings.Scheduler.MaxRetryAfter,
		})
		return func() {}, nil
	}
	p.loop.Submit(request)
	return func() {
		release()
		p.loop.Disconnect(request)
	}, nil
}

// fill copies what a client sent to a request.
func (p *PlatformServer) fill(request *Request, received *rpcserver.Request) {
	request.ID = received.ID
	request.Class = received.Class
	request.Tenant = received.Tenant
	request.IdempotencyKey = received.IdempotencyKey
	request.WorkEstimate = received.WorkEstimate
	request.Body = received.Body
	request.Timeout = received.Timeout
	request.StartedAt = received.ReceivedAt.Sub(p.loop.cfg.ClockStart)
	request.ArrivedAfter = looplag.AnyArrival
	if !received.ArrivedAfter.IsZero() {
		request.ArrivedAfter = received.ArrivedAfter.Sub(p.loop.cfg.ClockStart)
	}
	request.Replica = muxframe.ReplicaSpec{
		Function:    received.Function,
		MemoryMB:    received.MemoryMB,
		Concurrency: received.Concurrency,
		LoadMillis:  millis(received.LoadTime),
	}
}

// maxBodyBytes bounds the bodies of the requests in flight; beyond, requests are rejected at once.
func (p *PlatformServer) maxBodyBytes() int64 {
	return int64(bodyMemoryFraction * float64(p.config.MemoryMB) * bytesPerMB)
}

// rpcKinds are the kinds of final responses as the platform's clients receive them.
var rpcKinds = map[ResponseKind]rpcserver.ResponseKind{
	Served:   rpcserver.Served,
	Rejected: rpcserver.Rejected,
	Failed:   rpcserver.Failed,
}

// rpcResponse is a final response as the platform's clients receive it.
func (f FinalResponse) rpcResponse() rpcserver.Response {
	out := rpcserver.Response{Kind: rpcKinds[f.Kind], RetryAfter: f.RetryAfter}
	if f.Response != nil {
		out.Body = f.Response.Body
	}
	return out
}

// Reload takes a configuration that was read again. Only the address of endpoint discovery can change while the server
// runs; a configuration of another deployment changes nothing.
func (p *PlatformServer) Reload(config *platformconfig.Config) {
	if field := p.config.FirstDifference(config); field != "" {
		p.log.Error().Str("field", field).Msg("the configuration stays as it was: the new one is of another front end")
		return
	}
	p.log.Info().Str("discovery-address", config.EndpointStreamAddress).Msg("configuration reloaded")
	p.endpoints.SetAddress(config.EndpointStreamAddress)
}

// Run serves until ctx ends, then shuts down gracefully: clients are accepted for platformAcceptGrace more, and after
// that nothing new is; what is in flight gets its final response, and Run returns the totals. All goroutines of the
// server have ended then.
func (p *PlatformServer) Run(ctx context.Context) (Counts, error) {
	loopCtx, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	if ctx.Err() != nil {
		p.draining.Store(true) // AfterFunc's goroutine may come later than the first heartbeat
	}
	stopShutdown := context.AfterFunc(ctx, func() { p.beginShutdown(stopLoop) })
	defer stopShutdown()
	serveCtx, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	p.logSettings()
	var logging sync.WaitGroup
	logging.Go(func() { p.logTotals(serveCtx) })
	accepted := make(chan error, 1)
	go func() {
		err := p.clients.Serve(serveCtx, p.listener)
		if err != nil {
			stopLoop() // no client can connect any longer: better no front end than one that serves nobody
		}
		accepted <- err
	}()
	counts, clean := p.loop.Run(loopCtx)
	err := <-accepted
	stopServing()
	p.clients.Shutdown()
	logging.Wait()
	if !clean {
		p.log.Warn().Msg("shutdown timed out with requests in flight; each got its final response")
	}
	return counts, err
}

// beginShutdown fails heartbeats at once, and after platformAcceptGrace ends the accepting and the event loop.
func (p *PlatformServer) beginShutdown(stopLoop func()) {
	p.draining.Store(true)
	p.log.Info().Msg("stopping")
	p.after(platformAcceptGrace, func() {
		stopLoop()
		p.clients.BeginShutdown()
	})
}

// logSettings logs the settings on which it depends when a request may be sent, repeated or given up.
func (p *PlatformServer) logSettings() {
	site := p.config.Settings
	for i, class := range site.Scheduler.Classes {
		p.log.Info().Str("class", site.ClassNames[i]).Dur("timeout", class.Timeout).Dur("objective", class.LatencyObjective).
			Stringer("idempotency", class.Idempotency).Stringer("key-scope", class.KeyScope).
			Dur("key-retention", class.KeyRetention).Msg("class settings")
	}
	rules := site.Scheduler
	p.log.Info().Int("front-ends", rules.FrontEndCount).Int("max-attempts", rules.MaxAttempts).
		Dur("connect-timeout", rules.ConnectTimeout).Dur("drain-grace", rules.DrainGrace).
		Dur("slow-start", rules.SlowStartDuration).Float64("slow-start-fraction", rules.SlowStartFraction).
		Dur("overload-window", rules.OverloadWindow).Float64("overload-factor", rules.OverloadFactor).
		Bool("cancel-allowed", rules.CancelAllowed).Bool("load-orders-allowed", rules.LoadOrdersAllowed).
		Msg("rule settings")
}

// logTotals logs the totals at regular intervals until ctx ends.
func (p *PlatformServer) logTotals(ctx context.Context) {
	periodic.Run(ctx, platformLogInterval, p.logTotalsOnce)
}

// logTotalsOnce logs the totals and what the process uses.
func (p *PlatformServer) logTotalsOnce() {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	loop := p.loop.Snapshot()
	p.log.Info().Interface("counts", loop.Counts).Interface("clients", p.clients.Counts()).
		Interface("loop", loop.Times).Int("workers", loop.Workers).Int("functions", loop.Functions).Int("in-flight", loop.InFlight).
		Int("client-connections", p.clients.ConnectionCount()).Int("worker-connections", p.budget.Used()).
		Dur("processor-time", processorTime()).Uint32("collections", memory.NumGC).Float64("collector-part", memory.GCCPUFraction).
		Int("goroutines", runtime.NumGoroutine()).Uint64("heap-kb", memory.HeapAlloc>>10).Uint64("sys-kb", memory.Sys>>10).
		Msg("totals")
}

// processorTime is what the process has used since its start, 0 if the system does not tell.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
