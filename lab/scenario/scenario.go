// Package scenario parses scenario files and injects their faults. A scenario file has one fault per line, with the
// time at which the fault starts:
//
//	at 2s crash 25% for 3s
//	at 6s deploy 75% over 4s drain 400ms
//	at 9s fail 20% rate 0.5 for 2s
//
// A comment runs from # to the end of the line. Faults may overlap. docs/troubles.md is the reference of all faults.
// It is generated from the table of kinds.
package scenario

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

// ErrScenario is wrapped by every error about the text of a scenario.
var ErrScenario = errors.New("script")

// Fault is one line of a scenario. Its kind determines which of the parameter fields are set.
type Fault struct {
	At          time.Duration // start of the fault, since the start of the scenario
	Kind        string        // name of the kind, as written in the file
	Share       float64       // affected fraction of the workers, clients, requests or functions, 0 to 1
	Number      int           // number of a front end or of a zone, from 1, or a count of functions or of retries
	OtherZone   int           // number of the second zone of a network fault, from 1
	Tenant      string        // name of the affected tenant
	Factor      float64       // factor on a time, rate or amount of work, or the fraction that fails or is lost, 0 to 1
	Offset      time.Duration // added delay, or the skew of a clock
	PauseLength time.Duration // length of one pause
	Interval    time.Duration // time from the start of one pause to the next, or length of each slow period and gap
	Spread      time.Duration // time over which the workers are replaced one after another
	DrainTime   time.Duration // time from the start of the drain until the worker stops
	Duration    time.Duration // time until the fault ends
	Line        int           // line number in the file, from 1
}

// Load reads a scenario from a file. Its errors wrap ErrScenario.
func Load(path string) ([]Fault, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrScenario, err)
	}
	return Parse(path, string(raw))
}

// Parse parses a scenario and returns its faults sorted by time. It reports all errors at once; each states the name,
// line and column, what was found and what is allowed. The error wraps ErrScenario.
func Parse(name, text string) ([]Fault, error) {
	var faults []Fault
	var errs []error
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		if strings.TrimSpace(line) == "" {
			continue
		}
		f, column, err := ParseLine(line)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s:%d:%d: %w", name, i+1, column, err))
			continue
		}
		f.Line = i + 1
		faults = append(faults, f)
	}
	if len(errs) > 0 {
		return nil, fmt.Errorf("%w:\n%w", ErrScenario, errors.Join(errs...))
	}
	SortByTime(faults)
	return faults, nil
}

// SortByTime sorts faults by their start times. Faults with the same time keep their order.
func SortByTime(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
}

// tokenizer splits a line into words.
type tokenizer struct {
	line   string
	offset int // byte offset at which the search for the next word starts
	column int // column of the last word, from 1
}

func isBlank(c byte) bool { return c == ' ' || c == '\t' }

// next returns the next word, or an empty string at the end of the line.
func (t *tokenizer) next() string {
	for t.offset < len(t.line) && isBlank(t.line[t.offset]) {
		t.offset++
	}
	start := t.offset
	for t.offset < len(t.line) && !isBlank(t.line[t.offset]) {
		t.offset++
	}
	t.column = start + 1
	return t.line[start:t.offset]
}

// ParseLine parses one line without its comment. column is the column of the error, from 1, or 0 if there is none.
func ParseLine(line string) (f Fault, column int, err error) {
	t := &tokenizer{line: line}
	if err := f.parse(t); err != nil {
		return f, t.column, err
	}
	return f, 0, nil
}

// parse sets the fault from the words of its line.
func (f *Fault) parse(t *tokenizer) (err error) {
	if word := t.next(); word != "at" {
		return fmt.Errorf("found %q; allowed: at TIME FAULT", word)
	}
	if f.At, err = parseTime(t.next()); err != nil {
		return err
	}
	f.Kind = t.next()
	k := kindOf(f.Kind)
	if k == nil {
		return fmt.Errorf("found %q; allowed: %s", f.Kind, strings.Join(Kinds(), ", "))
	}
	for _, p := range k.parameters {
		if err := f.parseParameter(t, parameters[p]); err != nil {
			return err
		}
	}
	if rest := t.next(); rest != "" {
		return fmt.Errorf("found %q; allowed: the end of the line", rest)
	}
	return nil
}

// parseParameter parses a parameter and the keyword before it.
func (f *Fault) parseParameter(t *tokenizer, s parameterSyntax) error {
	if s.keyword != "" {
		if found := t.next(); found != s.keyword {
			return fmt.Errorf("found %q; allowed here: %q", found, s.keyword)
		}
	}
	return s.parse(f, t.next())
}

// MaxZone returns the highest zone number in faults, or 0 if no fault has a zone.
func MaxZone(faults []Fault) (highest int) {
	for _, f := range faults {
		if HasParameter(f.Kind, ZoneParameter) {
			highest = max(highest, f.Number, f.OtherZone)
		}
	}
	return highest
}

// Format returns the line that ParseLine parses to the fault.
func Format(f Fault) string { return fmt.Sprintf("at %v %v", f.At, f) }

// String returns the line of the fault without its time.
func (f Fault) String() string {
	out := f.Kind
	k := kindOf(f.Kind)
	if k == nil {
		return out
	}
	for _, p := range k.parameters {
		s := parameters[p]
		if s.keyword != "" {
			out += " " + s.keyword
		}
		out += " " + s.format(f)
	}
	return out
}
