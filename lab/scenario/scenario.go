// Package scenario reads scenario files and injects their faults: one fault a line, each at its time.
//
//	at 2s crash 25% for 3s
//	at 6s deploy 75% over 4s drain 400ms
//	at 9s fail 20% rate 0.5 for 2s
//
// A comment runs from # to the end of the line. Faults may overlap. docs/troubles.md is the reference, generated from
// the table of kinds.
package scenario

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

// ErrScenario is wrapped by every error about a scenario's text.
var ErrScenario = errors.New("script")

// Fault is one line of a scenario. Its kind says which of the parameters it has.
type Fault struct {
	At          time.Duration // from the start of the scenario
	Kind        string        // the word of the file
	Share       float64       // of the workers, clients, requests or functions, 0 to 1
	Number      int           // of a front end or a zone, from 1, or how many functions or repeats
	OtherZone   int
	Tenant      string
	Factor      float64       // of slowness or rate, or the share that fails or is lost
	Offset      time.Duration // of a delay or a clock
	PauseLength time.Duration // of one pause
	Interval    time.Duration // from one pause to the next
	Spread      time.Duration // from the first worker to the last
	DrainTime   time.Duration
	Duration    time.Duration
	Line        int // of the file, from 1
}

// Load reads the scenario in a file.
func Load(path string) ([]Fault, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrScenario, err)
	}
	return Parse(path, string(raw))
}

// Parse reads a scenario, sorted by time. Errors name line and column, what was found and what is allowed; all are
// reported at once. They wrap ErrScript.
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

// SortByTime sorts faults by their times; those of one time keep their order.
func SortByTime(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
}

// tokenizer reads the words of a line.
type tokenizer struct {
	line   string
	at     int // where the next word is looked for
	column int // of the last word, from 1
}

func isBlank(c byte) bool { return c == ' ' || c == '\t' }

// next is the next word, empty at the end of the line.
func (t *tokenizer) next() string {
	for t.at < len(t.line) && isBlank(t.line[t.at]) {
		t.at++
	}
	from := t.at
	for t.at < len(t.line) && !isBlank(t.line[t.at]) {
		t.at++
	}
	t.column = from + 1
	return t.line[from:t.at]
}

// ParseLine reads one line without its comment. column is that of the error.
func ParseLine(line string) (f Fault, column int, err error) {
	t := &tokenizer{line: line}
	if err := f.parse(t); err != nil {
		return f, t.column, err
	}
	return f, 0, nil
}

// parse reads a fault from the words of its line.
func (f *Fault) parse(t *tokenizer) (err error) {
	if word := t.next(); word != "at" {
		return fmt.Errorf("found %q; allowed: at TIME TROUBLE", word)
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

func (f *Fault) parseParameter(t *tokenizer, s syntax) error {
	if s.keyword != "" {
		if found := t.next(); found != s.keyword {
			return fmt.Errorf("found %q; allowed here: %q", found, s.keyword)
		}
	}
	return s.read(f, t.next())
}

// MaxZone is the highest number of a zone that faults name, 0 for none.
func MaxZone(faults []Fault) (most int) {
	for _, f := range faults {
		if HasParameter(f.Kind, ZoneParameter) {
			most = max(most, f.Number, f.OtherZone)
		}
	}
	return most
}

// Format writes a fault as the line that ParseLine reads.
func Format(f Fault) string { return fmt.Sprintf("at %v %v", f.At, f) }

// String is the fault in the words of its line, without its time.
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
		out += " " + s.write(f)
	}
	return out
}
