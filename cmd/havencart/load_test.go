package main

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"havencart/lab/client"
	"havencart/lab/loadgen"
)

func lateRun(late int, by time.Duration) error {
	t := newLoadTally()
	for i := range 1000 {
		o := client.Observation{Call: loadgen.Call{Class: "a"}, Outcome: "served", Took: time.Millisecond, Tries: 1}
		if i < late {
			o.Late = by
		}
		t.observe(o)
	}
	return t.print(new(bytes.Buffer))
}

// TestALoadToolThatLagsVoidsItsRun: what it measured would be its own slowness.
func TestALoadToolThatLagsVoidsItsRun(t *testing.T) {
	if err := lateRun(20, 50*time.Millisecond); !errors.Is(err, errVoid) {
		t.Errorf("2 calls in 100 were sent 50 ms late: %v", err)
	}
	if err := lateRun(5, 50*time.Millisecond); err != nil {
		t.Errorf("5 calls in 1000 were sent late: %v", err)
	}
	if err := lateRun(1000, time.Millisecond); err != nil {
		t.Errorf("all calls were sent 1 ms late: %v", err)
	}
}

func TestExitCodesTellWhatWentWrong(t *testing.T) {
	for _, args := range [][]string{{"check", "/does/not/exist"}, {"load", "--shape", "square"}, {"run", "--colour"}, {"--log", "loud", "run", "x"}} {
		cmd := root()
		cmd.SetArgs(args)
		cmd.SetOut(new(bytes.Buffer))
		if code := exitCode(cmd.Execute()); code != exitSettings {
			t.Errorf("%v: exit code %d", args, code)
		}
	}
}
