package faultsearch

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"pgregory.net/rapid"

	"havencart/lab/scenario"
)

func TestScriptsComeBackAsTheyWereWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &hunter{cfg: Config{Base: Base(30 * time.Second)}, rng: rng(rapid.Uint64().Draw(t, "seed"))}
		want := h.mutate(h.draw())
		got, err := scenario.Parse("found", Find{Troubles: want}.Text())
		if err != nil || len(got) != len(want) {
			t.Fatalf("%v, %d of %d", err, len(got), len(want))
		}
		for i := range got {
			got[i].Line = 0
			want[i].Line = 0
			if scenario.Format(got[i]) != scenario.Format(want[i]) {
				t.Fatalf("%+v came back as %+v", want[i], got[i])
			}
		}
	})
}

func TestAHuntFindsTheSameDaysAgain(t *testing.T) {
	cfg := Config{Base: Base(8 * time.Second), Rounds: 2, Width: 6, Keep: 2, Seed: 3, Parallel: 2, Tell: func(string) {}}
	first, err := Run(context.Background(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Run(context.Background(), cfg)
	if err != nil || len(again) != len(first) || len(first) == 0 {
		t.Fatalf("%d and %d finds, %v", len(first), len(again), err)
	}
	for i := range first {
		if first[i].Text() != again[i].Text() {
			t.Errorf("find %d:\n%s\nand again:\n%s", i, first[i].Text(), again[i].Text())
		}
	}
}

// TestFoundDaysBreakNoRule plays the days that hunts found, which stay as regressions.
func TestFoundDaysBreakNoRule(t *testing.T) {
	files, err := filepath.Glob("../scenarios/found/*.day")
	if err != nil || len(files) < 10 {
		t.Fatalf("%d found days, %v", len(files), err)
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		troubles, err := scenario.Parse(file, string(raw))
		if err != nil {
			t.Fatal(err)
		}
		h := &hunter{cfg: Config{Base: Base(20 * time.Second)}}
		f, err := h.judge(troubles)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: module %.3f, oracle %.3f", filepath.Base(file), f.Module, f.Oracle)
		if f.Broken != "" {
			t.Errorf("%s: %s", file, f.Broken)
		}
	}
}
