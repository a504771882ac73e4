package gateway

import (
	"fmt"
	"math/rand/v2"
	"time"

	"havencart/internal/config/gatewayconfig"
	"havencart/internal/decide/tenancy"
	"havencart/internal/discovery"
	"havencart/internal/native/muxclient"
	"havencart/internal/shadow"
	"havencart/scheduler"
)

// loadReportFields are the names of the values that the scheduler expects in the load reports of workers.
var loadReportFields = []string{"queue"}

// eventQueue is the capacity of a loop's event queue. While the queue is full, worker clients stop reading.
const eventQueue = 4096

// workerQueue is the capacity of the queue of work to be sent to one worker.
const workerQueue = 4096

// loopConfig returns the configuration of the process's event loop with index i.
func loopConfig(settings *gatewayconfig.Settings, i int, clockStart time.Time) EventLoopConfig {
	cfg := EventLoopConfig{
		Settings:        SettingsFromConfig(settings, i, clockStart, rand.Uint64()),
		RequestQueue:    settings.RequestQueue,
		EventQueue:      eventQueue,
		ShutdownTimeout: settings.ShutdownTimeout,
		WorkerClient:    muxclient.Config{ConnectTimeout: settings.ConnectTimeout, Window: settings.ResponseWindow, MaxQueue: workerQueue},
	}
	if settings.Discovery.Kind == "file" {
		cfg.Source = discovery.NewFile(settings.Discovery.Location)
	} else {
		cfg.Source = discovery.NewConsul(settings.Discovery.Location, settings.Discovery.Service, cfg.Name)
	}
	return cfg
}

// SettingsFromConfig returns the settings of the process's front end with index i. Its clock is 0 at the wall time
// clockStart, and seed is the seed of its random numbers.
func SettingsFromConfig(settings *gatewayconfig.Settings, i int, clockStart time.Time, seed uint64) Settings {
	out := Settings{
		Name:           fmt.Sprintf("%s-%d", settings.Name, settings.FirstFrontEndIndex+i),
		DeadlineMargin: settings.DeadlineMargin,
		MaxInFlight:    settings.MaxInFlight,
		ClockStart:     clockStart,
		Zones:          append([]string{settings.Zone}, settings.Zones...),
		Scheduler:      schedulerSettings(settings, i, seed),
		Tenancy:        tenancySettings(settings),
	}
	for _, class := range settings.Classes {
		out.Classes = append(out.Classes, class.Name)
	}
	for _, tenant := range settings.Tenants {
		out.Tenants = append(out.Tenants, tenant.Name)
	}
	if shadowed, interval := settings.ShadowSettings(); shadowed != nil {
		out.Shadow = &shadow.Settings{Scheduler: schedulerSettings(shadowed, i, seed), SampleInterval: interval}
	}
	return out
}

// tenancySettings returns the tenants' limits on one front end. Quotas are divided by the number of front ends,
// shares are not, because they are fractions.
func tenancySettings(settings *gatewayconfig.Settings) tenancy.Settings {
	out := tenancy.Settings{Basis: settings.ShareBasis}
	for _, tenant := range settings.Tenants {
		out.Shares = append(out.Shares, tenant.Share)
		out.Quotas = append(out.Quotas, tenant.Quota/float64(max(1, settings.FrontEndCount)))
	}
	return out
}

// schedulerSettings returns the settings of the scheduler for the process's front end with index i.
func schedulerSettings(settings *gatewayconfig.Settings, i int, seed uint64) scheduler.Settings {
	out := scheduler.Settings{
		Seed:                seed,
		FrontEndIndex:       settings.FirstFrontEndIndex + i,
		FrontEndCount:       settings.FrontEndCount,
		MaxFunctions:        settings.MaxFunctions,
		ReportsNotLoaded:    settings.ReportsNotLoaded,
		LoadOrdersAllowed:   settings.LoadOrdersAllowed,
		ReportsColdStart:    settings.ReportsColdStart,
		ReportsQueueDepth:   settings.ReportsQueueDepth,
		ReplicaIdleTimeout:  settings.ReplicaIdleTimeout,
		LoadOrderTimeout:    settings.LoadOrderTimeout,
		LoadRateWindow:      settings.LoadRateWindow,
		LoadRateBurst:       settings.LoadRateBurst,
		LoadRatePerRequest:  settings.LoadRatePerRequest,
		HealthChecksAllowed: settings.HealthChecksAllowed,
		CancelAllowed:       settings.CancelAllowed,
		MaxAttempts:         settings.MaxAttempts,
		MaxRetryAfter:       settings.EffectiveMaxRetryAfter(),
		ConnectTimeout:      settings.ConnectTimeout,
		DrainGrace:          settings.DrainGrace,
		SlowStartFraction:   settings.SlowStartFraction,
		SlowStartDuration:   settings.SlowStartDuration,
		OverloadFactor:      settings.OverloadFactor,
		OverloadWindow:      settings.OverloadWindow,
		Resolution:          time.Millisecond,
		LoadReportFields:    loadReportFields,
		ScaleIsCapacity:     settings.ScaleIsCapacity,
	}
	for _, class := range settings.Classes {
		out.Classes = append(out.Classes, class.SchedulerClass())
	}
	for _, tenant := range settings.Tenants {
		out.Tenants = append(out.Tenants, scheduler.Tenant{Share: tenant.Share, Quota: tenant.Quota})
	}
	return out
}
