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

// A load generator that sends requests late would measure its own delay instead of the gateway's latency.
func TestLoadTally_GeneratorSendsLate_RunIsInvalid(t *testing.T) {
	if err := lateRun(20, 50*time.Millisecond); !errors.Is(err, errInvalidRun) {
		t.Errorf("2 requests in 100 were sent 50 ms late: error %v, want errInvalidRun", err)
	}
	if err := lateRun(5, 50*time.Millisecond); err != nil {
		t.Errorf("5 requests in 1000 were sent 50 ms late: unexpected error %v", err)
	}
	if err := lateRun(1000, time.Millisecond); err != nil {
		t.Errorf("all requests were sent 1 ms late: unexpected error %v", err)
	}
}
