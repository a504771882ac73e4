// Package directive reads settings in the manner of classic daemons: one directive a line, blocks that a word opens
// and "end" closes, include, comments from #. Directives are declared in tables. All errors of a file are told
// at once, each with file, line and column, what was found and what is allowed.
package directive

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Directive is one line that a settings file may have within a block of settings T. Reference, defaults and
// checks all come from it.
type Directive[T any] struct {
	Name    string
	Takes   string // what its value may be, for people
	Default string // empty: none
	Help    string
	Words   int                               // values on the line, 1 if 0
	Many    bool                              // may be given more than once
	Set     func(t *T, values []string) error // fails with ErrValue, or any error
}

// Scalar makes a directive of one value.
func Scalar[T, V any](name, takes, def, help string, parse func(string) (V, error), into func(*T) *V) Directive[T] {
	return Directive[T]{Name: name, Takes: takes, Default: def, Help: help, Set: func(t *T, values []string) error {
		v, err := parse(values[0])
		if err == nil {
			*into(t) = v
		}
		return err
	}}
}

// Duration makes a directive that takes a time, as 1.5s.
func Duration[T any](name string, least, most time.Duration, def, help string, into func(*T) *time.Duration) Directive[T] {
	takes := fmt.Sprintf("a time, %v to %v", least, most)
	return Scalar(name, takes, def, help, func(text string) (time.Duration, error) {
		d, err := time.ParseDuration(text)
		return d, within(err, d >= least && d <= most)
	}, into)
}

// Number makes a directive that takes a whole number.
func Number[T any](name string, least, most int, def, help string, into func(*T) *int) Directive[T] {
	takes := fmt.Sprintf("a whole number, %d to %d", least, most)
	return Scalar(name, takes, def, help, func(text string) (int, error) {
		n, err := strconv.Atoi(text)
		return n, within(err, n >= least && n <= most)
	}, into)
}

// Real makes a directive that takes a number.
func Real[T any](name string, least, most float64, def, help string, into func(*T) *float64) Directive[T] {
	takes := fmt.Sprintf("a number, %v to %v", least, most)
	return Scalar(name, takes, def, help, func(text string) (float64, error) {
		x, err := strconv.ParseFloat(text, 64)
		return x, within(err, x >= least && x <= most)
	}, into)
}

var units = []struct {
	suffix string
	bytes  int
}{{"k", 1 << 10}, {"m", 1 << 20}, {"g", 1 << 30}, {"", 1}}

// Size makes a directive that takes bytes.
func Size[T any](name string, least, most int, def, help string, into func(*T) *int) Directive[T] {
	takes := fmt.Sprintf("bytes, with k, m or g for 1024 and its powers, %d to %d", least, most)
	return Scalar(name, takes, def, help, func(text string) (int, error) {
		for _, u := range units {
			if digits, found := strings.CutSuffix(strings.ToLower(text), u.suffix); found {
				n, err := strconv.Atoi(digits)
				return n * u.bytes, within(err, n >= 0 && n <= most/u.bytes && n*u.bytes >= least)
			}
		}
		return 0, ErrValue
	}, into)
}

// OnOff makes a directive that takes on or off.
func OnOff[T any](name, def, help string, into func(*T) *bool) Directive[T] {
	return Scalar(name, "on or off", def, help, func(text string) (bool, error) {
		return text == "on", within(nil, text == "on" || text == "off")
	}, into)
}

// Text makes a directive that takes a word.
func Text[T any](name, takes, def, help string, into func(*T) *string) Directive[T] {
	return Scalar(name, takes, def, help, func(text string) (string, error) {
		return text, within(nil, text != "" && len(text) <= 256)
	}, into)
}

// Choice makes a directive whose value is one of some words.
func Choice[T, V any](name string, words []string, values []V, def, help string, into func(*T) *V) Directive[T] {
	return Scalar(name, "one of "+strings.Join(words, ", "), def, help, func(text string) (v V, err error) {
		for i, w := range words {
			if w == text {
				return values[i], nil
			}
		}
		return v, ErrValue
	}, into)
}

// ErrValue stands for a value that is not what the directive takes.
var ErrValue = fmt.Errorf("value not allowed")

func within(err error, ok bool) error {
	if err != nil || !ok {
		return ErrValue
	}
	return nil
}
