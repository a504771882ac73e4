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
func clientRules(settings platformconfig.Settings) rpcserver.Rules {
	rules := rpcserver.Rules{Tenants: settings.TenantNames, MaxMemoryMB: settings.MaxWorkerMemoryMB}
	for i, class := range settings.Scheduler.Classes {
		rules.Classes = append(rules.Classes, rpcserver.Class{
			Name:        settings.ClassNames[i],
			MaxTimeout:  class.Timeout,
			RequiresKey: class.Idempotency == scheduler.IdempotentByKey,
		})
	}
	return rules
}

func (p *PlatformServer) loopConfig() EventLoopConfig {
	settings := p.config.Settings
	rules := settings.Scheduler
	rules.MaxFunctions = functionsPerMB * p.config.MemoryMB
	return EventLoopConfig{
		Source:          p.endpoints,
		RequestQueue:    platformRequestQueue,
		EventQueue:      platformEventQueue,
		Dial:            p.newWorkerClient,
		ShutdownTimeout: max(platformBacklogGrace, min(settings.MaxTimeout(), platformMaxShutdown)-platformBacklogGrace),
		Settings: Settings{
			Name:           p.config.Name,
			Classes:        settings.ClassNames,
			Tenants:        settings.TenantNames,
			Zones:          settings.ZoneNames,
			Scheduler:      rules,
			EndpointRules:  p.endpointRules(),
			DeadlineMargin: platformDeadlineMargin,
			MaxInFlight:    min(platformMaxInFlight, settings.MaxInFlight),
			ClockStart:     time.Now(),
		},
	}
}

// endpointRules returns the times after which the platform regards a front end as notified of changes of the endpoint
// list.
func (p *PlatformServer) endpointRules() endpointlease.Rules {
	return endpointlease.Rules{
		NotifiedAfterSilence:      platformNotifiedAfterSilence,
		NotifiedAfterInterruption: platformNotifiedAfterInterruption,
		DrainGrace:                p.config.Settings.Scheduler.DrainGrace,
	}
}

// newWorkerClient implements Dial for the platform's worker protocol.
func (p *PlatformServer) newWorkerClient(id scheduler.WorkerID, w discovery.Worker, runtime ClientRuntime) AwaitableWorkerClient {
	settings := p.config.Settings
	return workerclient.New(workerclient.Config{
		Worker:               w.Name,
		Address:              w.Address,
		ConnectTimeout:       settings.Scheduler.ConnectTimeout,
		StreamsPerConnection: settings.StreamsPerConnection,
		IdleTimeout:          settings.WorkerIdleTimeout,
		MaxQueue:             workerQueue,
		MaxResponse:          platformMaxResponse,
		LoadReportFields:     settings.Scheduler.LoadReportFields,
		HealthChecksAllowed:  settings.Scheduler.HealthChecksAllowed,
		Budget:               p.budget,
		ResponseMemory:       p.memory.workerResponses,
		Seed:                 settings.Scheduler.Seed ^ uint64(id),
		Now:                  runtime.Now,
		Guard:                runtime.Guard,
	}, runtime.Events)
}
