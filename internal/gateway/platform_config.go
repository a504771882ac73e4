package gateway

import (
	"time"

	"havencart/internal/config/platformconfig"
	"havencart/internal/decide/endpointlease"
	"havencart/internal/discovery"
	"havencart/internal/platform/rpcserver"
	"havencart/internal/platform/workerclient"
	"havencart/scheduler"
)

// This file derives the configurations of the parts of a PlatformServer from the server's configuration.

// clientRules returns the names that clients' requests may use and the limits that apply to the requests.
func clientRules(site platformconfig.Settings) rpcserver.Rules {
	rules := rpcserver.Rules{Tenants: site.TenantNames, MaxMemoryMB: site.MaxWorkerMemoryMB}
	for i, class := range site.Scheduler.Classes {
		rules.Classes = append(rules.Classes, rpcserver.Class{
			Name:        site.ClassNames[i],
			MaxTimeout:  class.Timeout,
			RequiresKey: class.Idempotency == scheduler.IdempotentByKey,
		})
	}
	return rules
}

func (p *PlatformServer) loopConfig() EventLoopConfig {
	site := p.config.Settings
	return EventLoopConfig{
		Source:          p.endpoints,
		RequestQueue:    platformRequestQueue,
		EventQueue:      platformEventQueue,
		Dial:            p.newWorkerClient,
		ShutdownTimeout: max(platformAcceptRest, min(site.MaxTimeout(), platformMaxShutdown)-platformAcceptRest),
		Settings: Settings{
			Name:           p.config.Name,
			Classes:        site.ClassNames,
			Tenants:        site.TenantNames,
			Zones:          site.ZoneNames,
			Scheduler:      site.Scheduler,
			EndpointRules:  p.endpointRules(),
			DeadlineMargin: platformDeadlineMargin,
			MaxInFlight:    min(platformMaxInFlight, site.MaxInFlight),
			ClockStart:     time.Now(),
		},
	}
}

// endpointRules returns the times after which the platform regards a front end as notified of changes of the endpoint
// list.
func (p *PlatformServer) endpointRules() endpointlease.Rules {
	return endpointlease.Rules{
		Silence: platformNoticeAfterSilence,
		Break:   platformNoticeAfterBreak,
		Grace:   p.config.Settings.Scheduler.DrainGrace,
	}
}

// newWorkerClient implements Dial for the platform's worker protocol.
func (p *PlatformServer) newWorkerClient(id scheduler.WorkerID, w discovery.Worker, runtime ClientRuntime) ClosableWorkerClient {
	site := p.config.Settings
	return workerclient.New(workerclient.Config{
		Worker:               w.Name,
		Address:              w.Address,
		ConnectTimeout:       site.Scheduler.ConnectTimeout,
		StreamsPerConnection: site.StreamsPerConnection,
		IdleTimeout:          site.WorkerIdleTimeout,
		MaxQueue:             workerQueue,
		MaxResponse:          platformMaxResponse,
		LoadReportFields:     site.Scheduler.LoadReportFields,
		Budget:               p.budget,
		Seed:                 site.Scheduler.Seed ^ uint64(id),
		Now:                  runtime.Now,
		Guard:                runtime.Guard,
	}, runtime.Events)
}
