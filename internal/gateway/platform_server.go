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
	"havencart/internal/discovery"
	"havencart/internal/native/muxclient"
	"havencart/internal/native/muxframe"
	"havencart/internal/platform/rpcserver"
	"havencart/internal/platform/workerclient"
	"havencart/scheduler"
)

// Relay is a front end on the users' platform: one Loop, their protocol before and behind it.
type PlatformServer struct {
	config    *platformconfig.Relay
	log       zerolog.Logger
	loop      *EventLoop
	listener  net.Listener
	clients   *rpcserver.Server
	endpoints *discovery.EndpointStream
	budget    *workerclient.ConnectionBudget
	draining  atomic.Bool
	after     func(time.Duration, func()) // calls a function later; tests do so by hand

	recentIDs recentIDs
	bodyBytes atomic.Int64 // bytes of the requests in hand
}

// The bounds of a relay, beside those of its settings.
const (
	platformRequestQueue   = 1024                   // arrivals that wait for the loop; more are refused at once
	platformEventQueue     = 1024                   // events from links that wait; beyond, links stop reading
	platformMaxInFlight    = 4096                   // calls in hand; more are refused at once
	platformDeadlineMargin = 15 * time.Millisecond  // the final answer is due this long before the client gives up
	platformMaxResponse    = 64 << 10               // bytes of a worker's answer
	platformMaxUnsent      = 256 << 10              // bytes of answers that a client has not taken
	platformWriteTimeout   = 2 * time.Second        // that a client may stand still while it is answered
	platformMaxOpen        = 32                     // requests of one connection, by the platform's page
	platformAcceptGrace    = 700 * time.Millisecond // that clients go on coming after a stop was asked for
	platformMaxShutdown    = 3 * time.Second        // that the longest deadline counts for at a stop, from when the last clients came
	platformAcceptRest     = 100 * time.Millisecond // before the end of relayComing clients came last; for as long they may be late
	platformLogInterval    = 5 * time.Second        // between two lines of the totals
	memoryLimitFraction    = 0.7                    // of the limit, from which the runtime collects harder
	bodyMemoryFraction     = 0.25                   // of the limit, for bodies of requests in hand; more are refused at once
)

// NewRelay prepares a front end and begins to listen; Run serves.
func NewPlatformServer(set *platformconfig.Relay, log zerolog.Logger) (*PlatformServer, error) {
	runtime.GOMAXPROCS(max(1, int(set.Cores+0.5)))
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(set.MemoryMB) * (1 << 20)))
	log = sampled(log)
	clients, workers := connadmission.SplitDescriptors(set.Sockets)
	r := &PlatformServer{config: set, log: log, budget: workerclient.NewConnectionBudget(workers),
		after: func(d time.Duration, f func()) { time.AfterFunc(d, f) }}
	var err error
	site := set.Site
	if r.endpoints, err = discovery.NewEndpointStream(set.Bulletin, set.Known, site.Zones, site.Kinds, set.Seed); err != nil {
		return nil, err
	}
	if r.listener, err = net.Listen("tcp", set.Listen); err != nil {
		return nil, fmt.Errorf("clients' listener: %w", err)
	}
	rules := rpcserver.Rules{Tenants: site.Tenants, MemoryMB: site.MemoryMB}
	for i, c := range site.Control.Classes {
		rules.Classes = append(rules.Classes, rpcserver.Class{Name: site.Classes[i], MaxTimeout: c.Timeout,
			RequiresKey: c.Idempotency == scheduler.IdempotentByKey})
	}
	r.clients = rpcserver.New(rpcserver.Config{Rules: rules, MaxConns: clients, MaxOpen: platformMaxOpen, MaxOut: platformMaxUnsent,
		Write: platformWriteTimeout, Rest: platformAcceptRest, Wrote: func(took time.Duration) { r.loop.ObserveLag(took) }}, r, log)
	r.loop = NewEventLoop(r.loopConfig(), log)
	return r, nil
}

func (r *PlatformServer) loopConfig() EventLoopConfig {
	site := r.config.Site
	return EventLoopConfig{Source: r.endpoints, RequestQueue: platformRequestQueue, EventQueue: platformEventQueue, Dial: r.newWorkerClient,
		ShutdownTimeout: max(platformAcceptRest, min(site.Longest(), platformMaxShutdown)-platformAcceptRest),
		Settings: Settings{Name: r.config.Name, Classes: site.Classes, Tenants: site.Tenants, Zones: site.Zones,
			Scheduler: site.Control, DeadlineMargin: platformDeadlineMargin, MaxInFlight: min(platformMaxInFlight, site.MaxCalls), ClockStart: time.Now()}}
}

// dial is the way to a worker in the platform's protocol.
func (r *PlatformServer) newWorkerClient(id scheduler.WorkerID, w discovery.Worker, now func() time.Duration, events muxclient.Events) ClosableWorkerClient {
	site := r.config.Site
	return workerclient.New(workerclient.Config{Worker: w.Name, Address: w.Address, ConnectTimeout: site.Control.ConnectTimeout,
		StreamsPerConnection: site.Streams, IdleTimeout: site.ConnIdle, MaxQueue: workerQueue, MaxResponse: platformMaxResponse, LoadReportFields: site.Control.LoadReportFields,
		Budget: r.budget, Seed: site.Control.Seed ^ uint64(id), Now: now}, events)
}

// Address is where clients connect.
func (r *PlatformServer) Address() string { return r.listener.Addr().String() }

// Ready implements callrpc.Handler.
func (r *PlatformServer) Ready() bool { return !r.draining.Load() }

// Take implements callrpc.Handler.
func (r *PlatformServer) Handle(in *rpcserver.Request, answer func(rpcserver.Response)) (leave func(), err error) {
	if !r.recentIDs.admit(in.ID) {
		return nil, fmt.Errorf("%w: id %s was used before", rpcserver.ErrProtocol, in.ID)
	}
	size := int64(len(in.Body))
	over := sync.OnceFunc(func() { // its final answer, or its client's leaving, whichever comes first
		r.recentIDs.release(in.ID)
		r.bodyBytes.Add(-size)
	})
	request := NewRequestTo(func(f FinalResponse) {
		over()
		answer(f.rpcResponse())
	})
	request.ID, request.Class, request.Tenant, request.IdempotencyKey, request.WorkEstimate, request.Body = in.ID, in.Class, in.Tenant, in.IdempotencyKey, in.WorkEstimate, in.Body
	request.Timeout, request.StartedAt = in.Timeout, in.ReceivedAt.Sub(r.loop.cfg.ClockStart)
	request.Replica = muxframe.ReplicaSpec{Function: in.Function, MemoryMB: in.MemoryMB, Concurrency: in.Concurrency, LoadMillis: millis(in.LoadTime)}
	if r.bodyBytes.Add(size) > int64(bodyMemoryFraction*float64(r.config.MemoryMB)*(1<<20)) {
		request.complete(FinalResponse{Kind: Rejected, Reason: "too much in hand", RetryAfter: r.config.Site.Control.MaxRetryAfter})
		return func() {}, nil
	}
	r.loop.Submit(request)
	return func() { over(); r.loop.Disconnect(request) }, nil
}

var rpcKinds = map[ResponseKind]rpcserver.ResponseKind{Served: rpcserver.Served, Rejected: rpcserver.Rejected, Failed: rpcserver.Failed}

// rpc is a final answer as the platform's clients have it.
func (f FinalResponse) rpcResponse() rpcserver.Response {
	out := rpcserver.Response{Kind: rpcKinds[f.Kind], RetryAfter: f.RetryAfter}
	if f.Response != nil {
		out.Body = f.Response.Body
	}
	return out
}

// Follow makes the relay go by a configuration read anew. Only the bulletin's address can change while it runs; a
// configuration of another deployment changes nothing.
func (r *PlatformServer) Reload(set *platformconfig.Relay) {
	if field := r.config.Differs(set); field != "" {
		r.log.Error().Str("field", field).Msg("the configuration stays as it was: the new one is of another front end")
		return
	}
	r.log.Info().Str("bulletin", set.Bulletin).Msg("configuration read anew")
	r.endpoints.SetAddress(set.Bulletin)
}

// Run serves until ctx ends. Then clients that still come are served for a while, and after that nothing new is
// taken, what is in hand gets its final answer, and Run returns the totals.
func (r *PlatformServer) Run(ctx context.Context) (Counts, error) {
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	defer context.AfterFunc(ctx, func() {
		r.draining.Store(true)
		r.log.Info().Msg("stopping")
		r.after(platformAcceptGrace, func() {
			stop()
			r.clients.Finish()
		})
	})()
	looking, done := context.WithCancel(context.Background())
	defer done()
	var telling sync.WaitGroup
	telling.Go(func() { r.logTotals(looking) })
	accepted := make(chan error, 1)
	go func() {
		err := r.clients.Serve(looking, r.listener)
		if err != nil {
			stop() // nobody can come any longer: better none than one that serves nobody
		}
		accepted <- err
	}()
	counts, clean := r.loop.Run(serving)
	err := <-accepted
	done()
	r.clients.Shutdown()
	telling.Wait()
	if !clean {
		r.log.Warn().Msg("stopped with calls in hand; each got its final answer")
	}
	return counts, err
}

// tell logs now and then how the front end stands.
func (r *PlatformServer) logTotals(ctx context.Context) {
	ticker := time.NewTicker(platformLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		r.log.Info().Interface("counts", r.loop.Counts()).Interface("clients", r.clients.Counts()).
			Int("client-connections", r.clients.Conns()).Int("worker-connections", r.budget.Used()).
			Int("goroutines", runtime.NumGoroutine()).Uint64("heap-kb", m.HeapAlloc>>10).Uint64("sys-kb", m.Sys>>10).
			Msg("standing")
	}
}
