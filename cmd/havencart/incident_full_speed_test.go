package main

import (
	"testing"
	"time"

	"havencart/lab/flood"
)

// These tests reproduce the incident of docs/incidents/full-speed-clients.md: a few clients send small messages at full
// speed to a front end on one core. `havencart flood` does the same with all floods and reports what the regular clients
// are served.

const (
	fullSpeedClients = 6
	fullSpeedTimeout = 950 * time.Millisecond
	// fullSpeedRegularGap makes the four regular clients send 160 requests a second together.
	fullSpeedRegularGap = 25 * time.Millisecond
	// minServedShare is the share of its requests that a front end must serve beside bad clients, by the platform's
	// standing test.
	minServedShare = 0.5
)

// TestFullSpeedClients_SmallMessages_OthersAnsweredInTime guards against clients that send small messages at full speed
// and so keep the requests of other clients waiting past their deadline.
func TestFullSpeedClients_SmallMessages_OthersAnsweredInTime(t *testing.T) {
	for _, kind := range []flood.Kind{flood.Heartbeats, flood.UnknownCancels, flood.CancelledAtOnce, flood.RepeatedID, flood.UnknownClass} {
		t.Run(string(kind), func(t *testing.T) {
			report, err := flood.Run(t.Context(), flood.Config{
				Seed: 1, Kind: kind, Clients: fullSpeedClients, MemoryMB: 64, Descriptors: 512,
				Workers: flood.WorkerConfig{
					Count: 15, MinDelay: 20 * time.Millisecond, MaxDelay: 60 * time.Millisecond, ResponseBytes: 200,
				},
				Length: 5 * time.Second, RequestTimeout: fullSpeedTimeout, RegularGap: fullSpeedRegularGap,
				Command: frontEndCommand,
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Log(report)
			if report.Exited || report.Regular.Sent == 0 || report.Flooding.Sent == 0 {
				t.Fatalf("%v: the run does not test anything", report)
			}
			if report.Regular.Lost > 0 || report.Regular.ServedShare() < minServedShare {
				t.Errorf("regular clients: %v; want none lost and a share of at least %v served", &report.Regular, minServedShare)
			}
		})
	}
}
