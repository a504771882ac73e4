package faultsearch

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"pgregory.net/rapid"

	"havencart/lab/scenario"
)

func TestFinding_Text_IsParsedAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &search{cfg: Config{Base: BaseConfig(30 * time.Second)}, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
		want := s.mutate(s.randomScenario())
		got, err := scenario.Parse("found", Finding{Faults: want}.Text())
		if err != nil || len(got) != len(want) {
			t.Fatalf("the text parses to %d of %d faults, error %v", len(got), len(want), err)
		}
		for i := range got {
			got[i].Line = 0
			want[i].Line = 0
			if scenario.Format(got[i]) != scenario.Format(want[i]) {
				t.Fatalf("%+v was parsed back as %+v", want[i], got[i])
			}
		}
	})
}

func TestRun_SameSeed_GivesTheSameFindings(t *testing.T) {
	cfg := Config{Base: BaseConfig(8 * time.Second), Rounds: 2, Width: 6, Keep: 2, Seed: 3, Parallel: 2, ReportProgress: func(string) {}}
	first, err := Run(context.Background(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Run(context.Background(), cfg)
	if err != nil || len(again) != len(first) || len(first) == 0 {
		t.Fatalf("%d and %d findings, error %v", len(first), len(again), err)
	}
	for i := range first {
		if first[i].Text() != again[i].Text() {
			t.Errorf("finding %d of the first run:\n%s\nof the second run:\n%s", i, first[i].Text(), again[i].Text())
		}
	}
}

// TestFoundScenarios_KeepInvariants runs the scenarios that earlier searches found, as regression tests.
func TestFoundScenarios_KeepInvariants(t *testing.T) {
	files, err := filepath.Glob("../scenarios/found/*.day")
	if err != nil || len(files) < 10 {
		t.Fatalf("%d scenario files of earlier searches, want at least 10; error %v", len(files), err)
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		faults, err := scenario.Parse(file, string(raw))
		if err != nil {
			t.Fatal(err)
		}
		s := &search{cfg: Config{Base: BaseConfig(20 * time.Second)}}
		f, err := s.evaluate(faults)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: scheduler %.3f, oracle %.3f", filepath.Base(file), f.SchedulerService, f.OracleService)
		if f.Violation != "" {
			t.Errorf("%s: %s", file, f.Violation)
		}
	}
}
