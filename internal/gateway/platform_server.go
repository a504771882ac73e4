package gateway

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/config/platformconfig"
	"havencart/internal/decide/connadmission"
	"havencart/internal/decide/loadshed"
	"havencart/internal/decide/looplag"
	"havencart/internal/decide/memoryshare"
	"havencart/internal/discovery"
	"havencart/internal/native/muxframe"
	"havencart/internal/platform/rpcframe"
	"havencart/internal/platform/rpcserver"
	"havencart/internal/platform/workerclient"
)

// The limits of a platform server other than those of its configuration.
const (
	platformRequestQueue     = 1024                  // queued requests above which requests are rejected
	platformEventQueue       = 1024                  // queued events above which worker clients stop reading
	platformMaxInFlight      = 4096                  // requests in flight above which requests are rejected
	platformDeadlineMargin   = 15 * time.Millisecond // time between the final response and the client's timeout
	platformMaxResponse      = 64 << 10              // maximum size of a worker's response in bytes
	platformWriteTimeout     = 2 * time.Second       // how long a client may stall while a response is written to it
	platformMaxPerConnection = 32                    // requests in flight per connection, by the platform's rules
	// platformMaxQueuedBytes lets a connection have a response of the maximum size of a request waiting for each request.
	platformMaxQueuedBytes = platformMaxPerConnection * rpcframe.MaxBody
	platformAcceptGrace    = 700 * time.Millisecond // clients are accepted this long after a shutdown has begun
	platformMaxShutdown    = 3 * time.Second        // limit of the shutdown time after the last accept
	platformBacklogGrace   = 100 * time.Millisecond // further time for clients in the listener's backlog
	// The platform regards a front end as notified of a change of the endpoint list this long after the endpoint stream
	// fell silent or broke off, even if the front end has not received the change.
	platformNotifiedAfterSilence      = 4 * time.Second // time after the stream fell silent
	platformNotifiedAfterInterruption = 2 * time.Second // time after the stream broke off
	platformLogInterval               = 5 * time.Second // time between two log lines with the totals
	functionsPerMB                    = 64              // functions remembered per MB; each takes about 1 KB
	bytesPerMB                        = 1 << 20
)

// clientListener opens the clients' listener. Connections have no TCP keepalive, as they are closed when idle for seconds.
var clientListener = net.ListenConfig{KeepAlive: -1}

// PlatformServer is a front end on the platform: one event loop that uses the platform's protocols for clients, workers
// and endpoint discovery. Its methods may be called from any goroutine. Run must be called at most once.
type PlatformServer struct {
	config    *platformconfig.Config
	log       zerolog.Logger
	loop      *EventLoop
	listener  net.Listener
	clients   *rpcserver.Server
	endpoints *discovery.EndpointStream
	budget    *workerclient.ConnectionBudget
	draining  atomic.Bool                 // whether the shutdown has begun
	afterFunc func(time.Duration, func()) // calls a function after a delay; replaced in tests
	recentIDs recentIDs
	memory    memoryBudgets
}

// NewPlatformServer creates a front end and opens its listener, which Run closes. It sets two limits of the whole
// process: GOMAXPROCS and the memory limit of the Go runtime.
func NewPlatformServer(config *platformconfig.Config, log zerolog.Logger) (*PlatformServer, error) {
	runtime.GOMAXPROCS(max(1, int(config.Cores+0.5)))
	log = sampled(log)
	clientConns, workerConns := connadmission.SplitDescriptors(config.MaxDescriptors)
	memoryBytes := int64(config.MemoryMB) * bytesPerMB
	workerConns = min(workerConns, memoryshare.MaxWorkerConnections(memoryBytes))
	division := memoryshare.Divide(memoryshare.Process{
		MemoryBytes:       memoryBytes,
		ClientConnections: clientConns,
		WorkerConnections: workerConns,
		Functions:         functionsPerMB * config.MemoryMB,
	})
	debug.SetMemoryLimit(division.RuntimeLimit)
	server := &PlatformServer{
		config:    config,
		log:       log,
		memory:    newMemoryBudgets(division),
		budget:    workerclient.NewConnectionBudget(workerConns),
		afterFunc: func(d time.Duration, f func()) { time.AfterFunc(d, f) },
	}
	settings := config.Settings
	var err error
	server.endpoints, err = discovery.NewEndpointStream(config.EndpointStreamAddress, config.InitialEvents, settings.ZoneNames, settings.WorkerKindNames, config.Seed)
	if err != nil {
		return nil, err
	}
	server.listener, err = clientListener.Listen(context.Background(), "tcp", config.ListenAddress)
	if err != nil {
		return nil, fmt.Errorf("clients' listener: %w", err)
	}
	server.clients = rpcserver.New(rpcserver.Config{
		Rules:             clientRules(config.Settings),
		MaxConnections:    clientConns,
		MaxInFlight:       platformMaxPerConnection,
		RequestMemory:     server.memory.requests,
		ResponseMemory:    server.memory.clientResponses,
		MaxQueuedBytes:    platformMaxQueuedBytes,
		WriteTimeout:      platformWriteTimeout,
		AcceptGracePeriod: platformBacklogGrace,
		ObserveWriteDelay: func(took time.Duration) { server.loop.ObserveLag(took) },
	}, server, log)
	server.loop = NewEventLoop(server.loopConfig(), log)
	return server, nil
}

// Address returns the address on which the server accepts clients.
func (p *PlatformServer) Address() string { return p.listener.Addr().String() }

// Ready implements rpcserver.Handler: it returns true until the shutdown begins.
func (p *PlatformServer) Ready() bool { return !p.draining.Load() }

// Handle implements rpcserver.Handler. An error that it returns wraps rpcserver.ErrProtocol.
func (p *PlatformServer) Handle(received *rpcserver.Request, respond func(rpcserver.Response)) (cancel func(rpcserver.CancelCause), err error) {
	resent, ok := p.recentIDs.admit(received.ID)
	if !ok {
		return nil, fmt.Errorf("%w: id %s was used before", rpcserver.ErrProtocol, received.ID)
	}
	id := received.ID      // the functions below must not keep received, whose body is released earlier
	var released sync.Once // at the final response or the client's disconnect, whichever comes first
	release := func(outcome idOutcome) {
		released.Do(func() { p.recentIDs.release(id, outcome) })
	}
	request := NewRequestWithCallback(func(response FinalResponse) {
		release(response.idOutcome())
		respond(response.rpcResponse())
	})
	request.Resent = resent
	p.fillRequest(request, received)
	if received.Memory == nil {
		request.complete(FinalResponse{
			Kind:       Rejected,
			Reason:     OverMemoryShare.String(),
			RetryAfter: p.config.Settings.Scheduler.MaxRetryAfter,
		})
		return func(rpcserver.CancelCause) {}, nil
	}
	p.loop.Submit(request)
	return func(cause rpcserver.CancelCause) {
		if cause != rpcserver.ConnectionEnded {
			release(idExecuted)
			p.loop.Disconnect(request)
			return
		}
		p.loop.Abandon(request)
		release(idAbandoned) // only now, so that the loop learns of the end before the request is sent again
	}, nil
}

// fillRequest sets the fields of a request from the request that was received.
func (p *PlatformServer) fillRequest(request *Request, received *rpcserver.Request) {
	request.ID = received.ID
	request.Class = received.Class
	request.Tenant = received.Tenant
	request.IdempotencyKey = received.IdempotencyKey
	request.WorkEstimate = received.WorkEstimate
	request.Body = received.Body
	request.memory = received.Memory
	if received.Memory.Trusted() {
		request.Priority = loadshed.Preferred
	}
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

// rpcKinds maps the kinds of final responses to those that the platform's clients receive.
var rpcKinds = map[ResponseKind]rpcserver.ResponseKind{
	Served:   rpcserver.Served,
	Rejected: rpcserver.Rejected,
	Failed:   rpcserver.Failed,
}

// rpcResponse converts a final response to the form that the platform's clients receive.
func (f FinalResponse) rpcResponse() rpcserver.Response {
	out := rpcserver.Response{Kind: rpcKinds[f.Kind], RetryAfter: f.RetryAfter}
	if f.Response != nil {
		out.Body = f.Response.Body
	}
	return out
}

// idOutcome returns what the final response says about the execution of the request.
func (f FinalResponse) idOutcome() idOutcome {
	if f.Kind == Rejected {
		return idRejected
	}
	return idExecuted
}

// Reload applies a configuration that was read again. Only the address of endpoint discovery can change while the
// server runs; other changes have no effect until it restarts. A configuration that belongs to another front end,
// according to platformconfig.Config.FirstDifference, is ignored.
func (p *PlatformServer) Reload(config *platformconfig.Config) {
	if field := p.config.FirstDifference(config); field != "" {
		p.log.Error().Str("field", field).Msg("new configuration ignored: it belongs to another front end")
		return
	}
	p.log.Info().Str("discovery-address", config.EndpointStreamAddress).Msg("configuration reloaded")
	p.endpoints.SetAddress(config.EndpointStreamAddress)
}

// Run serves clients until ctx ends, and then shuts down gracefully. It accepts clients for another
// platformAcceptGrace, then admits no new requests, waits until all requests in flight have their final response, and
// returns the totals. When it returns, all goroutines of the server have ended.
func (p *PlatformServer) Run(ctx context.Context) (Counts, error) {
	loopCtx, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	if ctx.Err() != nil {
		p.draining.Store(true) // the goroutine of AfterFunc may run only after the first heartbeat
	}
	stopShutdown := context.AfterFunc(ctx, func() { p.beginShutdown(stopLoop) })
	defer stopShutdown()
	serveCtx, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	p.logSettings()
	var logging sync.WaitGroup
	logging.Go(func() { p.logTotals(serveCtx) })
	serveErr := make(chan error, 1)
	go func() {
		err := p.clients.Serve(serveCtx, p.listener)
		if err != nil {
			stopLoop() // no client can connect any longer, so stop instead of running without clients
		}
		serveErr <- err
	}()
	counts, clean := p.loop.Run(loopCtx)
	err := <-serveErr
	stopServing()
	p.clients.Shutdown()
	logging.Wait()
	if !clean {
		p.log.Warn().Msg("shutdown timed out with requests in flight; each got its final response")
	}
	return counts, err
}

// beginShutdown makes heartbeats fail immediately. After platformAcceptGrace it stops accepting clients and ends the
// event loop.
func (p *PlatformServer) beginShutdown(stopLoop func()) {
	p.draining.Store(true)
	p.log.Info().Msg("stopping")
	p.afterFunc(platformAcceptGrace, func() {
		stopLoop()
		p.clients.BeginShutdown()
	})
}

// logSettings logs the settings that determine when a request may be sent, retried or given up.
func (p *PlatformServer) logSettings() {
	settings := p.config.Settings
	for i, class := range settings.Scheduler.Classes {
		p.log.Info().Str("class", settings.ClassNames[i]).Dur("timeout", class.Timeout).Dur("objective", class.LatencyObjective).
			Stringer("idempotency", class.Idempotency).Stringer("key-scope", class.KeyScope).
			Dur("key-retention", class.KeyRetention).Msg("class settings")
	}
	rules := settings.Scheduler
	p.log.Info().Int("front-ends", rules.FrontEndCount).Int("max-attempts", rules.MaxAttempts).
		Dur("connect-timeout", rules.ConnectTimeout).Dur("drain-grace", rules.DrainGrace).
		Dur("slow-start", rules.SlowStartDuration).Float64("slow-start-fraction", rules.SlowStartFraction).
		Dur("overload-window", rules.OverloadWindow).Float64("overload-factor", rules.OverloadFactor).
		Bool("cancel-allowed", rules.CancelAllowed).Bool("load-orders-allowed", rules.LoadOrdersAllowed).
		Msg("rule settings")
}
