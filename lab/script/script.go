// Package script reads the scripts of bad days: one trouble a line, each at its time.
//
//	at 2s crash 25% for 3s
//	at 6s deploy 75% over 4s drain 400ms
//	at 9s fail 20% rate 0.5 for 2s
//
// A comment runs from # to the end of the line. docs/running.md lists the troubles.
package script

import (
	"errors"
	"fmt"
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
	Share  float64 // of the workers or clients, 0 to 1
	Number int     // of a front end
	Factor float64 // of slowness, or the share that fails
	For    time.Duration
	Over   time.Duration
	Drain  time.Duration
	By     time.Duration // of a lag
	Line   int
}

// word is what may follow a verb.
type word int

const (
	share word = iota + 1
	number
	rate
	factor
	lasts // for
	over
	drain
	by
)

// verbs are the troubles, each with the words that it needs in their order.
var verbs = map[string][]word{
	"crash":          {share, lasts},
	"deploy":         {share, over, drain},
	"fail":           {share, rate, lasts},
	"hang":           {share, lasts},
	"pause":          {share, lasts},
	"slow":           {share, factor, lasts},
	"reset":          {share},
	"flush":          {share},
	"store-stop":     {lasts},
	"store-slow":     {factor, lasts},
	"directory-lag":  {by, lasts},
	"directory-down": {lasts},
	"directory-part": {share, lasts},
	"directory-back": {},
	"leave":          {share, lasts},
	"kill":           {number, lasts},
	"restart":        {number},
	"end":            {},
}

var keywords = map[word]string{rate: "rate", factor: "factor", lasts: "for", over: "over", drain: "drain", by: "by"}

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
	slices.SortStableFunc(list, func(a, b Trouble) int { return int(a.At - b.At) })
	return list, nil
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
	if t.At, err = duration(c.next()); err != nil {
		return t, c.column, err
	}
	t.Verb = c.next()
	words, known := verbs[t.Verb]
	if !known {
		return t, c.column, fmt.Errorf("found %q; allowed: %s", t.Verb, Verbs())
	}
	for _, w := range words {
		if key := keywords[w]; key != "" {
			if found := c.next(); found != key {
				return t, c.column, fmt.Errorf("found %q; allowed here: %q", found, key)
			}
		}
		if err := t.set(w, c.next()); err != nil {
			return t, c.column, err
		}
	}
	if rest := c.next(); rest != "" {
		return t, c.column, fmt.Errorf("found %q; allowed: the end of the line", rest)
	}
	return t, 0, nil
}

func (t *Trouble) set(w word, text string) (err error) {
	switch w {
	case share:
		t.Share, err = percent(text)
	case rate:
		t.Factor, err = real(text, 0, 1)
	case factor:
		t.Factor, err = real(text, 1, 1000)
	case number:
		if t.Number, err = strconv.Atoi(text); err != nil || t.Number < 1 {
			err = fmt.Errorf("found %q; allowed: a front end's number, from 1", text)
		}
	case lasts:
		t.For, err = duration(text)
	case over:
		t.Over, err = duration(text)
	case drain:
		t.Drain, err = duration(text)
	case by:
		t.By, err = duration(text)
	}
	return err
}

func duration(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 || d > 24*time.Hour {
		return 0, fmt.Errorf("found %q; allowed: a time as 1.5s, up to 24h", text)
	}
	return d, nil
}

func percent(text string) (float64, error) {
	digits, found := strings.CutSuffix(text, "%")
	x, err := strconv.ParseFloat(digits, 64)
	if !found || err != nil || !(x > 0 && x <= 100) {
		return 0, fmt.Errorf("found %q; allowed: a share as 25%%, up to 100%%", text)
	}
	return x / 100, nil
}

func real(text string, least, most float64) (float64, error) {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !(x >= least && x <= most) {
		return 0, fmt.Errorf("found %q; allowed: a number, %v to %v", text, least, most)
	}
	return x, nil
}

// Verbs names all troubles.
func Verbs() string {
	var names []string
	for v := range verbs {
		names = append(names, v)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}
