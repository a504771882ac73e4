package main

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"havencart/lab/client"
	"havencart/lab/loadgen"
)

func lateRun(lateRequests int, lag time.Duration) error {
	tally := newLoadTally()
	for i := range 1000 {
		o := client.Observation{Request: loadgen.Request{Class: "a"}, Outcome: "served", Duration: time.Millisecond, Attempts: 1}
		if i < lateRequests {
			o.SendDelay = lag
		}
		tally.observe(o)
	}
	return tally.print(output{new(bytes.Buffer)})
}

// What a tool that lags measures would be its own slowness.
func TestLoadTally_ToolSendsLate_RunIsVoid(t *testing.T) {
	if err := lateRun(20, 50*time.Millisecond); !errors.Is(err, errVoid) {
		t.Errorf("2 requests in 100 were sent 50 ms late: %v", err)
	}
	if err := lateRun(5, 50*time.Millisecond); err != nil {
		t.Errorf("5 requests in 1000 were sent late: %v", err)
	}
	if err := lateRun(1000, time.Millisecond); err != nil {
		t.Errorf("all requests were sent 1 ms late: %v", err)
	}
}
