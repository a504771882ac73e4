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

// loadReportFields are the values of a load report that workers are asked for.
var loadReportFields = []string{"queue"}

// eventQueue bounds the events that wait for a loop; beyond, worker clients stop reading.
const eventQueue = 4096

// workerQueue bounds what waits to be sent to one worker.
const workerQueue = 4096

// loopConfig is the configuration of the process's event loop i.
func loopConfig(set *gatewayconfig.Settings, i int, clockStart time.Time) EventLoopConfig {
	cfg := EventLoopConfig{
		Settings:        SettingsFromConfig(set, i, clockStart, rand.Uint64()),
		RequestQueue:    set.RequestQueue,
		EventQueue:      eventQueue,
		ShutdownTimeout: set.ShutdownTimeout,
		WorkerClient:    muxclient.Config{ConnectTimeout: set.ConnectTimeout, Window: set.ResponseWindow, MaxQueue: workerQueue},
	}
	if set.Discovery.Kind == "file" {
		cfg.Source = discovery.NewFile(set.Discovery.Location)
	} else {
		cfg.Source = discovery.NewConsul(set.Discovery.Location, set.Discovery.Service, cfg.Name)
	}
	return cfg
}

// SettingsFromConfig returns the settings of the process's front end i, whose clock starts at a wall time and whose
// random numbers are drawn from seed.
func SettingsFromConfig(set *gatewayconfig.Settings, i int, clockStart time.Time, seed uint64) Settings {
	out := Settings{
		Name:           fmt.Sprintf("%s-%d", set.Name, set.FirstFrontEndIndex+i),
		DeadlineMargin: set.DeadlineMargin,
		MaxInFlight:    set.MaxInFlight,
		ClockStart:     clockStart,
		Zones:          append([]string{set.Zone}, set.Zones...),
		Scheduler:      schedulerSettings(set, i, seed),
		Tenancy:        tenancySettings(set),
	}
	for _, class := range set.Classes {
		out.Classes = append(out.Classes, class.Name)
	}
	for _, tenant := range set.Tenants {
		out.Tenants = append(out.Tenants, tenant.Name)
	}
	if shadowed, interval := set.ShadowSettings(); shadowed != nil {
		out.Shadow = &shadow.Settings{Scheduler: schedulerSettings(shadowed, i, seed), SampleInterval: interval}
	}
	return out
}

// tenancySettings are what the tenants were promised of one front end: of quotas its part, of shares all.
func tenancySettings(set *gatewayconfig.Settings) tenancy.Settings {
	out := tenancy.Settings{Basis: set.ShareBasis}
	for _, tenant := range set.Tenants {
		out.Shares = append(out.Shares, tenant.Share)
		out.Quotas = append(out.Quotas, tenant.Quota/float64(max(1, set.FrontEndCount)))
	}
	return out
}

// schedulerSettings are the scheduler's own settings for the process's front end i.
func schedulerSettings(set *gatewayconfig.Settings, i int, seed uint64) scheduler.Settings {
	out := scheduler.Settings{
		Seed:                seed,
		FrontEndIndex:       set.FirstFrontEndIndex + i,
		FrontEndCount:       set.FrontEndCount,
		AnswersNotLoaded:    set.AnswersNotLoaded,
		LoadOrdersAllowed:   set.LoadOrdersAllowed,
		ReportsColdStart:    set.ReportsColdStart,
		ReportsQueueDepth:   set.ReportsQueueDepth,
		ReplicaIdleTimeout:  set.ReplicaIdleTimeout,
		LoadOrderTimeout:    set.LoadOrderTimeout,
		LoadRateWindow:      set.LoadRateWindow,
		LoadRateBurst:       set.LoadRateBurst,
		LoadRatePerRequest:  set.LoadRatePerRequest,
		HealthChecksAllowed: set.HealthChecksAllowed,
		CancelAllowed:       set.CancelAllowed,
		MaxAttempts:         set.MaxAttempts,
		MaxRetryAfter:       set.EffectiveMaxRetryAfter(),
		ConnectTimeout:      set.ConnectTimeout,
		DrainGrace:          set.DrainGrace,
		SlowStartFraction:   set.SlowStartFraction,
		SlowStartDuration:   set.SlowStartDuration,
		OverloadFactor:      set.OverloadFactor,
		OverloadWindow:      set.OverloadWindow,
		Resolution:          time.Millisecond,
		LoadReportFields:    loadReportFields,
		ScaleIsCapacity:     set.ScaleIsCapacity,
	}
	for _, class := range set.Classes {
		out.Classes = append(out.Classes, class.SchedulerClass())
	}
	for _, tenant := range set.Tenants {
		out.Tenants = append(out.Tenants, scheduler.Tenant{Share: tenant.Share, Quota: tenant.Quota})
	}
	return out
}
