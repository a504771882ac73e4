// Package scenario reads the scripts of bad days: one trouble a line, each at its time.
//
//	at 2s crash 25% for 3s
//	at 6s deploy 75% over 4s drain 400ms
//	at 9s fail 20% rate 0.5 for 2s
//
// A comment runs from # to the end of the line. Troubles may overlap. docs/troubles.md is the reference, made
// from the table here.
package scenario

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ErrScript is wrapped by every error about a script's text.
var ErrScript = errors.New("script")

// Trouble is one line of a script.
type Fault struct {
	At          time.Duration
	Kind        string
	Share       float64 // of the workers, clients, calls or functions, 0 to 1
	Number      int     // of a front end or a zone, or how many functions
	OtherZone   int     // the other zone
	Tenant      string  // of a tenant
	Factor      float64 // of slowness or rate, or the share that fails or is lost
	Offset      time.Duration
	PauseLength time.Duration // length of one pause
	Interval    time.Duration
	Spread      time.Duration
	DrainTime   time.Duration
	Duration    time.Duration
	Line        int
}

// Word is a kind of word that may follow a verb.
type Parameter int

// The kinds.
const (
	ShareParameter Parameter = iota + 1
	FrontEndParameter
	ZoneParameter
	OtherZoneParameter
	TenantParameter
	FunctionsParameter
	RepeatsParameter
	RateParameter
	FactorParameter
	OffsetParameter
	SkewParameter
	PauseLengthParameter
	IntervalParameter
	SpreadParameter
	DrainTimeParameter
	DurationParameter
)

// word says how a kind is written, read and set. A keyword comes before it where there is one.
type syntax struct {
	keyword string
	example string
	read    func(t *Fault, text string) error
	write   func(t Fault) string
}

var parameters = map[Parameter]syntax{
	ShareParameter: {
		"", "25%", func(t *Fault, s string) (err error) { t.Share, err = parseShare(s); return err },
		func(t Fault) string { return strconv.FormatFloat(100*t.Share, 'g', 6, 64) + "%" },
	},
	FrontEndParameter:  countSyntax("", "2", "a front end's number", func(t *Fault) *int { return &t.Number }),
	ZoneParameter:      countSyntax("", "1", "a zone's number", func(t *Fault) *int { return &t.Number }),
	OtherZoneParameter: countSyntax("", "2", "a zone's number", func(t *Fault) *int { return &t.OtherZone }),
	FunctionsParameter: countSyntax("functions", "3", "a number of functions", func(t *Fault) *int { return &t.Number }),
	RepeatsParameter:   countSyntax("times", "3", "a number of repeats", func(t *Fault) *int { return &t.Number }),
	TenantParameter: {"", "palermo", func(t *Fault, s string) error {
		if t.Tenant = s; s == "" {
			return errors.New("found the end of the line; allowed: a tenant's name")
		}
		return nil
	}, func(t Fault) string { return t.Tenant }},
	RateParameter:        numberSyntax("rate", "0.5", 0, 1),
	FactorParameter:      numberSyntax("factor", "4", 0.01, 1000),
	OffsetParameter:      durationSyntax("by", "600ms", 0, func(t *Fault) *time.Duration { return &t.Offset }),
	SkewParameter:        durationSyntax("by", "-30s", -maxDuration, func(t *Fault) *time.Duration { return &t.Offset }),
	PauseLengthParameter: durationSyntax("stop", "200ms", 0, func(t *Fault) *time.Duration { return &t.PauseLength }),
	IntervalParameter:    durationSyntax("every", "2s", time.Millisecond, func(t *Fault) *time.Duration { return &t.Interval }),
	SpreadParameter:      durationSyntax("over", "4s", 0, func(t *Fault) *time.Duration { return &t.Spread }),
	DrainTimeParameter:   durationSyntax("drain", "400ms", 0, func(t *Fault) *time.Duration { return &t.DrainTime }),
	DurationParameter:    durationSyntax("for", "3s", 0, func(t *Fault) *time.Duration { return &t.Duration }),
}

const maxDuration = 24 * time.Hour

func countSyntax(key, example, what string, field func(*Fault) *int) syntax {
	return syntax{key, example, func(t *Fault, s string) (err error) {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 || n > 10000 {
			return fmt.Errorf("found %q; allowed: %s, from 1", s, what)
		}
		*field(t) = n
		return nil
	}, func(t Fault) string { return strconv.Itoa(*field(&t)) }}
}

func durationSyntax(key, example string, least time.Duration, field func(*Fault) *time.Duration) syntax {
	return syntax{key, example, func(t *Fault, s string) error {
		d, err := time.ParseDuration(s)
		if err != nil || d < least || d > maxDuration {
			return fmt.Errorf("found %q; allowed: a time as 1.5s, from %v to 24h", s, least)
		}
		*field(t) = d
		return nil
	}, func(t Fault) string { return field(&t).String() }}
}

func numberSyntax(key, example string, least, most float64) syntax {
	return syntax{key, example, func(t *Fault, s string) error {
		x, err := strconv.ParseFloat(s, 64)
		if err != nil || !(x >= least && x <= most) {
			return fmt.Errorf("found %q; allowed: a number, %v to %v", s, least, most)
		}
		t.Factor = x
		return nil
	}, func(t Fault) string { return strconv.FormatFloat(t.Factor, 'g', 6, 64) }}
}

func parseShare(text string) (float64, error) {
	digits, found := strings.CutSuffix(text, "%")
	x, err := strconv.ParseFloat(digits, 64)
	if !found || err != nil || !(x > 0 && x <= 100) {
		return 0, fmt.Errorf("found %q; allowed: a share as 25%%, up to 100%%", text)
	}
	return x / 100, nil
}

// Load reads the script in a file.
func Load(path string) ([]Fault, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrScript, err)
	}
	return Parse(path, string(raw))
}

// Parse reads a script. Errors name line and column, what was found and what is allowed; all are told at once.
func Parse(name, text string) ([]Fault, error) {
	var list []Fault
	var errs []error
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		if strings.TrimSpace(line) == "" {
			continue
		}
		t, column, err := ParseLine(line)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s:%d:%d: %w", name, i+1, column, err))
			continue
		}
		t.Line = i + 1
		list = append(list, t)
	}
	if len(errs) > 0 {
		return nil, fmt.Errorf("%w:\n%w", ErrScript, errors.Join(errs...))
	}
	SortByTime(list)
	return list, nil
}

// Sort puts troubles in the order of their times.
func SortByTime(list []Fault) {
	slices.SortStableFunc(list, func(a, b Fault) int { return int(a.At - b.At) })
}

// cursor goes through the words of a line.
type tokenizer struct {
	line   string
	at     int // where the next word is looked for
	column int // of the last word, from 1
}

func (c *tokenizer) next() string {
	for c.at < len(c.line) && (c.line[c.at] == ' ' || c.line[c.at] == '\t') {
		c.at++
	}
	from := c.at
	for c.at < len(c.line) && c.line[c.at] != ' ' && c.line[c.at] != '\t' {
		c.at++
	}
	c.column = from + 1
	return c.line[from:c.at]
}

// ParseLine reads one line without its comment. An error comes with its column.
func ParseLine(line string) (t Fault, column int, err error) {
	c := &tokenizer{line: line}
	if w := c.next(); w != "at" {
		return t, c.column, fmt.Errorf("found %q; allowed: at TIME TROUBLE", w)
	}
	if t.At, err = parseTime(c.next()); err != nil {
		return t, c.column, err
	}
	t.Kind = c.next()
	v := kindOf(t.Kind)
	if v == nil {
		return t, c.column, fmt.Errorf("found %q; allowed: %s", t.Kind, strings.Join(Kinds(), ", "))
	}
	for _, w := range v.parameters {
		w := parameters[w]
		if w.keyword != "" {
			if found := c.next(); found != w.keyword {
				return t, c.column, fmt.Errorf("found %q; allowed here: %q", found, w.keyword)
			}
		}
		if err := w.read(&t, c.next()); err != nil {
			return t, c.column, err
		}
	}
	if rest := c.next(); rest != "" {
		return t, c.column, fmt.Errorf("found %q; allowed: the end of the line", rest)
	}
	return t, 0, nil
}

func parseTime(s string) (time.Duration, error) {
	var t Fault
	err := parameters[DurationParameter].read(&t, s)
	return t.Duration, err
}

// Verbs names all troubles.
func Kinds() (names []string) {
	for _, v := range kinds {
		names = append(names, v.name)
	}
	return names
}

// Takes says whether a verb takes a kind of word.
func HasParameter(verb string, w Parameter) bool {
	v := kindOf(verb)
	return v != nil && slices.Contains(v.parameters, w)
}

// Zones is the highest number of a zone that troubles name, 0 for none.
func MaxZone(list []Fault) (most int) {
	for _, t := range list {
		if HasParameter(t.Kind, ZoneParameter) {
			most = max(most, t.Number, t.OtherZone)
		}
	}
	return most
}

// Format writes a trouble as the line that ParseLine reads.
func Format(t Fault) string { return fmt.Sprintf("at %v %v", t.At, t) }

// String is the trouble in the script's words, without its time.
func (t Fault) String() string {
	out := t.Kind
	if v := kindOf(t.Kind); v != nil {
		for _, w := range v.parameters {
			if key := parameters[w].keyword; key != "" {
				out += " " + key
			}
			out += " " + parameters[w].write(t)
		}
	}
	return out
}

// Reference is the page of all troubles.
func Reference() string {
	var out strings.Builder
	out.WriteString(`# Troubles

Made by ` + "`havencart reference --script`" + `. A script has one trouble a line, ` + "`at TIME TROUBLE`" + `, in any order; a comment runs from #.
Troubles may overlap. ` + "`havencart check --script FILE`" + ` reads one and tells all errors with line and column.

A share of the workers is drawn from the seed, at least one. Where a trouble has an end (` + "`for`" + `), it ends by itself.

| trouble, as an example | what happens |
| --- | --- |
`)
	for _, v := range kinds {
		example := v.name
		for _, w := range v.parameters {
			if key := parameters[w].keyword; key != "" {
				example += " " + key
			}
			example += " " + parameters[w].example
		}
		fmt.Fprintf(&out, "| `%s` | %s |\n", example, v.help)
	}
	return out.String()
}
