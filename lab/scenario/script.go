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
type Trouble struct {
	At     time.Duration
	Verb   string
	Share  float64 // of the workers, clients, calls or functions, 0 to 1
	Number int     // of a front end or a zone, or how many functions
	To     int     // the other zone
	Name   string  // of a tenant
	Factor float64 // of slowness or rate, or the share that fails or is lost
	By     time.Duration
	Stop   time.Duration // length of one pause
	Every  time.Duration
	Over   time.Duration
	Drain  time.Duration
	For    time.Duration
	Line   int
}

// Word is a kind of word that may follow a verb.
type Word int

// The kinds.
const (
	Share Word = iota + 1
	FrontEnd
	Zone
	OtherZone
	Tenant
	Functions
	Times
	Rate
	Factor
	By
	Skew
	Stop
	Every
	Over
	Drain
	For
)

// word says how a kind is written, read and set. A keyword comes before it where there is one.
type word struct {
	key     string
	example string
	read    func(t *Trouble, text string) error
	write   func(t Trouble) string
}

var words = map[Word]word{
	Share: {"", "25%", func(t *Trouble, s string) (err error) { t.Share, err = percent(s); return err },
		func(t Trouble) string { return strconv.FormatFloat(100*t.Share, 'g', 6, 64) + "%" }},
	FrontEnd:  whole("", "2", "a front end's number", func(t *Trouble) *int { return &t.Number }),
	Zone:      whole("", "1", "a zone's number", func(t *Trouble) *int { return &t.Number }),
	OtherZone: whole("", "2", "a zone's number", func(t *Trouble) *int { return &t.To }),
	Functions: whole("functions", "3", "a number of functions", func(t *Trouble) *int { return &t.Number }),
	Times:     whole("times", "3", "a number of repeats", func(t *Trouble) *int { return &t.Number }),
	Tenant: {"", "palermo", func(t *Trouble, s string) error {
		if t.Name = s; s == "" {
			return errors.New("found the end of the line; allowed: a tenant's name")
		}
		return nil
	}, func(t Trouble) string { return t.Name }},
	Rate:   number("rate", "0.5", 0, 1),
	Factor: number("factor", "4", 0.01, 1000),
	By:     span("by", "600ms", 0, func(t *Trouble) *time.Duration { return &t.By }),
	Skew:   span("by", "-30s", -day, func(t *Trouble) *time.Duration { return &t.By }),
	Stop:   span("stop", "200ms", 0, func(t *Trouble) *time.Duration { return &t.Stop }),
	Every:  span("every", "2s", time.Millisecond, func(t *Trouble) *time.Duration { return &t.Every }),
	Over:   span("over", "4s", 0, func(t *Trouble) *time.Duration { return &t.Over }),
	Drain:  span("drain", "400ms", 0, func(t *Trouble) *time.Duration { return &t.Drain }),
	For:    span("for", "3s", 0, func(t *Trouble) *time.Duration { return &t.For }),
}

const day = 24 * time.Hour

func whole(key, example, what string, field func(*Trouble) *int) word {
	return word{key, example, func(t *Trouble, s string) (err error) {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 || n > 10000 {
			return fmt.Errorf("found %q; allowed: %s, from 1", s, what)
		}
		*field(t) = n
		return nil
	}, func(t Trouble) string { return strconv.Itoa(*field(&t)) }}
}

func span(key, example string, least time.Duration, field func(*Trouble) *time.Duration) word {
	return word{key, example, func(t *Trouble, s string) error {
		d, err := time.ParseDuration(s)
		if err != nil || d < least || d > day {
			return fmt.Errorf("found %q; allowed: a time as 1.5s, from %v to 24h", s, least)
		}
		*field(t) = d
		return nil
	}, func(t Trouble) string { return field(&t).String() }}
}

func number(key, example string, least, most float64) word {
	return word{key, example, func(t *Trouble, s string) error {
		x, err := strconv.ParseFloat(s, 64)
		if err != nil || !(x >= least && x <= most) {
			return fmt.Errorf("found %q; allowed: a number, %v to %v", s, least, most)
		}
		t.Factor = x
		return nil
	}, func(t Trouble) string { return strconv.FormatFloat(t.Factor, 'g', 6, 64) }}
}

func percent(text string) (float64, error) {
	digits, found := strings.CutSuffix(text, "%")
	x, err := strconv.ParseFloat(digits, 64)
	if !found || err != nil || !(x > 0 && x <= 100) {
		return 0, fmt.Errorf("found %q; allowed: a share as 25%%, up to 100%%", text)
	}
	return x / 100, nil
}

// Load reads the script in a file.
func Load(path string) ([]Trouble, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrScript, err)
	}
	return Parse(path, string(raw))
}

// Parse reads a script. Errors name line and column, what was found and what is allowed; all are told at once.
func Parse(name, text string) ([]Trouble, error) {
	var list []Trouble
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
	Sort(list)
	return list, nil
}

// Sort puts troubles in the order of their times.
func Sort(list []Trouble) {
	slices.SortStableFunc(list, func(a, b Trouble) int { return int(a.At - b.At) })
}

// cursor goes through the words of a line.
type cursor struct {
	line   string
	at     int // where the next word is looked for
	column int // of the last word, from 1
}

func (c *cursor) next() string {
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
func ParseLine(line string) (t Trouble, column int, err error) {
	c := &cursor{line: line}
	if w := c.next(); w != "at" {
		return t, c.column, fmt.Errorf("found %q; allowed: at TIME TROUBLE", w)
	}
	if t.At, err = atTime(c.next()); err != nil {
		return t, c.column, err
	}
	t.Verb = c.next()
	v := verbOf(t.Verb)
	if v == nil {
		return t, c.column, fmt.Errorf("found %q; allowed: %s", t.Verb, strings.Join(Verbs(), ", "))
	}
	for _, w := range v.takes {
		w := words[w]
		if w.key != "" {
			if found := c.next(); found != w.key {
				return t, c.column, fmt.Errorf("found %q; allowed here: %q", found, w.key)
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

func atTime(s string) (time.Duration, error) {
	var t Trouble
	err := words[For].read(&t, s)
	return t.For, err
}

// Verbs names all troubles.
func Verbs() (names []string) {
	for _, v := range table {
		names = append(names, v.name)
	}
	return names
}

// Takes says whether a verb takes a kind of word.
func Takes(verb string, w Word) bool {
	v := verbOf(verb)
	return v != nil && slices.Contains(v.takes, w)
}

// Zones is the highest number of a zone that troubles name, 0 for none.
func Zones(list []Trouble) (most int) {
	for _, t := range list {
		if Takes(t.Verb, Zone) {
			most = max(most, t.Number, t.To)
		}
	}
	return most
}

// Format writes a trouble as the line that ParseLine reads.
func Format(t Trouble) string { return fmt.Sprintf("at %v %v", t.At, t) }

// String is the trouble in the script's words, without its time.
func (t Trouble) String() string {
	out := t.Verb
	if v := verbOf(t.Verb); v != nil {
		for _, w := range v.takes {
			if key := words[w].key; key != "" {
				out += " " + key
			}
			out += " " + words[w].write(t)
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
	for _, v := range table {
		example := v.name
		for _, w := range v.takes {
			if key := words[w].key; key != "" {
				example += " " + key
			}
			example += " " + words[w].example
		}
		fmt.Fprintf(&out, "| `%s` | %s |\n", example, v.help)
	}
	return out.String()
}
