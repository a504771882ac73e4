package gateway

import (
	"reflect"
	"testing"
	"time"

	"havencart/internal/config/gatewayconfig"
	"havencart/scheduler"
)

// TestDefaultsAreAsBefore pins what the module is told where the settings file says nothing of it.
func TestDefaultsAreAsBefore(t *testing.T) {
	set, err := gatewayconfig.Parse("f", "directory file /nowhere\nclass a\nend\n")
	if err != nil {
		t.Fatal(err)
	}
	got := FrontEndSettings(set, 0, time.Time{}, 3)
	want := scheduler.Settings{
		Seed: 3, FrontEndCount: 1, LoadOrdersAllowed: true, ReportsColdStart: true, ReportsQueueDepth: true, ReplicaIdleTimeout: 10 * time.Second,
		LoadOrderTimeout: 10 * time.Second, LoadRateBurst: 4, LoadRatePerRequest: 0.1, HealthChecksAllowed: true, CancelAllowed: true, MaxAttempts: 5,
		MaxRetryAfter: time.Second, ConnectTimeout: 250 * ms, DrainGrace: 500 * ms, SlowStartFraction: 0.2, SlowStartDuration: 15 * time.Second,
		OverloadFactor: 3, OverloadWindow: 2 * time.Second, Resolution: ms, LoadReportFields: loadReportFields,
		Classes: []scheduler.Class{{
			LatencyObjective: 500 * ms, Timeout: 2 * time.Second, PriorityWeight: 1, LateWeight: 0.3, Idempotency: scheduler.NonIdempotent,
			KeyScope: scheduler.ScopeCell, KeyRetention: 5 * time.Second,
		}},
	}
	if !reflect.DeepEqual(got.Scheduler, want) || got.Shadow != nil {
		t.Errorf("the module is told\n%+v\nwant\n%+v", got.Scheduler, want)
	}
}

func TestSettingsOfTheNewShapeReachTheModule(t *testing.T) {
	set, err := gatewayconfig.Parse("f", "directory file /nowhere\nprobes off\nretry-after off\nweights nominal\nclass a\nend\nwatch w\n  probes on\n  weights live\nend\n")
	if err != nil {
		t.Fatal(err)
	}
	got := FrontEndSettings(set, 0, time.Time{}, 3)
	if got.Scheduler.HealthChecksAllowed || !got.Scheduler.ScaleIsCapacity || got.Scheduler.MaxRetryAfter != 0 || got.Shadow == nil || got.Shadow.Scheduler.ScaleIsCapacity ||
		!got.Shadow.Scheduler.HealthChecksAllowed ||
		got.Shadow.Scheduler.MaxRetryAfter != 0 || got.Shadow.SampleInterval != 1 {
		t.Errorf("told %+v, watched %+v", got.Scheduler, got.Shadow)
	}
}
