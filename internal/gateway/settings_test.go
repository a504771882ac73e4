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
	got := FrontSettings(set, 0, time.Time{}, 3)
	want := scheduler.Settings{Seed: 3, FrontEnds: 1, MayOrder: true, TellsWarm: true, TellsCrowd: true, KeepAlive: 10 * time.Second,
		OrderTimeout: 10 * time.Second, LoadFree: 4, LoadShare: 0.1, MayProbe: true, MayCancel: true, MaxAttempts: 5,
		MaxRetryAfter: time.Second, ConnectTimeout: 250 * ms, DrainGrace: 500 * ms, ColdFrom: 0.2, ColdTime: 15 * time.Second,
		TipMultiple: 3, TipWindow: 2 * time.Second, Resolution: ms, Reports: reportNames,
		Classes: []scheduler.Class{{Aim: 500 * ms, Deadline: 2 * time.Second, Worth: 1, LateWorth: 0.3, Repeat: scheduler.Unsafe,
			Scope: scheduler.ScopeCell, Memory: 5 * time.Second}}}
	if !reflect.DeepEqual(got.Control, want) || got.Watch != nil {
		t.Errorf("the module is told\n%+v\nwant\n%+v", got.Control, want)
	}
}

func TestSettingsOfTheNewShapeReachTheModule(t *testing.T) {
	set, err := gatewayconfig.Parse("f", "directory file /nowhere\nprobes off\nretry-after off\nweights nominal\nclass a\nend\nwatch w\n  probes on\n  weights live\nend\n")
	if err != nil {
		t.Fatal(err)
	}
	got := FrontSettings(set, 0, time.Time{}, 3)
	if got.Control.MayProbe || !got.Control.Sized || got.Control.MaxRetryAfter != 0 || got.Watch == nil || got.Watch.Control.Sized ||
		!got.Watch.Control.MayProbe ||
		got.Watch.Control.MaxRetryAfter != 0 || got.Watch.Every != 1 {
		t.Errorf("told %+v, watched %+v", got.Control, got.Watch)
	}
}
