package experiment

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"havencart/internal/gateway"
	"havencart/internal/shadow"
	"havencart/lab/simulation"
)

// storedFile was written by a build from before types and fields of a run were renamed. Its lines are a run of the spec
// below, a run of a variant whose program does not exist, and a cell in which every field has a different value.
const storedFile = "testdata/results-before-renames.jsonl"

const storedSpec = `
title "a stored result"
seeds 1
variant module
  set max-attempts 2
end
variant missing
  program /does/not/exist
end
day crash
  lasts 4s
  rate 30
  functions 2
  at 1s crash 30% for 1s
  at 2s flood palermo factor 2 for 1s
end
`

func storedLines(t *testing.T) []string {
	t.Helper()
	raw, err := os.ReadFile(storedFile)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSuffix(string(raw), "\n"), "\n")
}

func readLine(t *testing.T, line string) (c Cell) {
	t.Helper()
	if err := json.Unmarshal([]byte(line), &c); err != nil {
		t.Fatal(err)
	}
	return c
}

// TestCell_LineOfAnEarlierBuild_IsWrittenTheSame guards against a renamed field that changes the stored form: a line
// of an earlier build that is read and written must stay the same byte for byte.
func TestCell_LineOfAnEarlierBuild_IsWrittenTheSame(t *testing.T) {
	lines := storedLines(t)
	if len(lines) != 3 {
		t.Fatalf("read %d lines, want 3", len(lines))
	}
	for _, line := range lines {
		c := readLine(t, line)
		written, err := json.Marshal(&c)
		if err != nil {
			t.Fatal(err)
		}
		if string(written) != line {
			t.Errorf("stored  %s\nwritten %s", line, written)
		}
	}
}

// TestCell_LineOfAnEarlierBuild_FillsEveryField guards against a stored field that is no longer read. In the cell whose
// fields all have different values, no field may be zero after reading except those that later builds added, and the
// renamed counters must have the values that were stored under their old names.
func TestCell_LineOfAnEarlierBuild_FillsEveryField(t *testing.T) {
	c := readLine(t, storedLines(t)[2])
	if path := zeroField(reflect.ValueOf(c), "Cell"); path != "Cell.Result.Counts.Retries" {
		t.Errorf("the first zero field is %s, want Cell.Result.Counts.Retries, the first that a later build added", path)
	}
	setLaterFields(&c)
	if path := zeroField(reflect.ValueOf(c), "Cell"); path != "" {
		t.Errorf("field %s is zero", path)
	}
	c = readLine(t, storedLines(t)[2])
	want := gateway.Counts{
		Admitted: 90, Served: 91, Rejected: 92, Failed: 93, Disconnected: 94, Shed: 95, Attempts: 96, LoadOrders: 97,
		ResidencyQueries: 98, HealthChecks: 99, LateResponses: 100, PastDeadline: 101,
		ShadowDifferences: shadow.Counts{
			Compared: 103, OtherWorker: 104, OtherQueueing: 105, OtherResponse: 106, LoadOrder: 107, ResidencyQuery: 108,
			Cancellation: 109,
		},
	}
	if c.Result.Counts != want {
		t.Errorf("read %+v, stored %+v", c.Result.Counts, want)
	}
}

// setLaterFields sets each field that builds later than the one of storedFile added to a different value.
func setLaterFields(c *Cell) {
	counts := &c.Result.Counts
	counts.Retries, counts.AttemptsNotSent, counts.AttemptsUnanswered, counts.Expired = 201, 202, 203, 204
	counts.ResentAnswered = 205
	for violation := range counts.Violations {
		counts.Violations[violation] = uint64(300 + violation)
	}
}

// TestCell_FieldsOfLaterBuilds_AreStored checks that the fields that later builds added are stored and read back.
func TestCell_FieldsOfLaterBuilds_AreStored(t *testing.T) {
	c := readLine(t, storedLines(t)[2])
	setLaterFields(&c)
	written, err := json.Marshal(&c)
	if err != nil {
		t.Fatal(err)
	}
	if read := readLine(t, string(written)); read.Result.Counts != c.Result.Counts {
		t.Errorf("read %+v, stored %+v", read.Result.Counts, c.Result.Counts)
	}
}

// zeroField returns the path of the first field within value that is zero, empty if there is none.
func zeroField(value reflect.Value, path string) string {
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			if zero := zeroField(value.Field(i), path+"."+value.Type().Field(i).Name); zero != "" {
				return zero
			}
		}
		return ""
	case reflect.Pointer:
		if !value.IsNil() {
			return zeroField(value.Elem(), path)
		}
	case reflect.Slice:
		for i := range value.Len() {
			if zero := zeroField(value.Index(i), path); zero != "" {
				return zero
			}
		}
	case reflect.Map:
		for _, key := range value.MapKeys() {
			if zero := zeroField(value.MapIndex(key), path); zero != "" {
				return zero
			}
		}
	}
	if value.IsZero() {
		return path
	}
	return ""
}

// TestRun_ResultsOfAnEarlierBuild_AreResumed guards against a change of the key of a cell: if the program of a
// variant did not change, its run must have the key that an earlier build stored, and must not be run again.
func TestRun_ResultsOfAnEarlierBuild_AreResumed(t *testing.T) {
	s := parse(t, storedSpec)
	stored := readLine(t, storedLines(t)[1])
	cells := s.cells()
	if missing := cells[1]; missing.Variant != "missing" || missing.Key != stored.Key {
		t.Fatalf("key %s of variant %s, stored %s of variant %s", missing.Key, missing.Variant, stored.Key, stored.Variant)
	}
	path := filepath.Join(t.TempDir(), "results")
	if err := os.WriteFile(path, []byte(storedLines(t)[1]+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var first string
	if _, err := s.Run(context.Background(), path, 1, func(text string) {
		if first == "" {
			first = text
		}
	}); err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(first, "2 runs, 1 of them known") {
		t.Errorf("first line of progress: %q", first)
	}
}

// TestResultOf_ResultOfARun_IsReadBack covers empty maps and lists, which JSON distinguishes from nil ones.
func TestResultOf_ResultOfARun_IsReadBack(t *testing.T) {
	r := simulation.Result{Outcomes: map[string]int{}, Samples: []simulation.Sample{}, Log: []string{}}
	raw, err := json.Marshal(ResultOf(&r))
	if err != nil {
		t.Fatal(err)
	}
	var s StoredResult
	if err := json.Unmarshal(raw, &s); err != nil {
		t.Fatal(err)
	}
	if got := s.Result(); !reflect.DeepEqual(got, r) {
		t.Errorf("%+v was read back as %+v", r, got)
	}
}
