package config

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
	Words   int  // values on the line, 1 if 0
	Many    bool // may be given more than once
	set     func(t *T, values []string) error
}

// scalar makes a directive of one value.
func scalar[T, V any](name, takes, def, help string, parse func(string) (V, error), into func(*T) *V) Directive[T] {
	return Directive[T]{Name: name, Takes: takes, Default: def, Help: help, set: func(t *T, values []string) error {
		v, err := parse(values[0])
		if err == nil {
			*into(t) = v
		}
		return err
	}}
}

func duration[T any](name string, least, most time.Duration, def, help string, into func(*T) *time.Duration) Directive[T] {
	takes := fmt.Sprintf("a time, %v to %v", least, most)
	return scalar(name, takes, def, help, func(text string) (time.Duration, error) {
		d, err := time.ParseDuration(text)
		return d, within(err, d >= least && d <= most)
	}, into)
}

func number[T any](name string, least, most int, def, help string, into func(*T) *int) Directive[T] {
	takes := fmt.Sprintf("a whole number, %d to %d", least, most)
	return scalar(name, takes, def, help, func(text string) (int, error) {
		n, err := strconv.Atoi(text)
		return n, within(err, n >= least && n <= most)
	}, into)
}

func real[T any](name string, least, most float64, def, help string, into func(*T) *float64) Directive[T] {
	takes := fmt.Sprintf("a number, %v to %v", least, most)
	return scalar(name, takes, def, help, func(text string) (float64, error) {
		x, err := strconv.ParseFloat(text, 64)
		return x, within(err, x >= least && x <= most)
	}, into)
}

var units = []struct {
	suffix string
	bytes  int
}{{"k", 1 << 10}, {"m", 1 << 20}, {"g", 1 << 30}, {"", 1}}

func size[T any](name string, least, most int, def, help string, into func(*T) *int) Directive[T] {
	takes := fmt.Sprintf("bytes, with k, m or g for 1024 and its powers, %d to %d", least, most)
	return scalar(name, takes, def, help, func(text string) (int, error) {
		for _, u := range units {
			if digits, found := strings.CutSuffix(strings.ToLower(text), u.suffix); found {
				n, err := strconv.Atoi(digits)
				return n * u.bytes, within(err, n >= 0 && n <= most/u.bytes && n*u.bytes >= least)
			}
		}
		return 0, errValue
	}, into)
}

func onOff[T any](name, def, help string, into func(*T) *bool) Directive[T] {
	return scalar(name, "on or off", def, help, func(text string) (bool, error) {
		return text == "on", within(nil, text == "on" || text == "off")
	}, into)
}

func text[T any](name, takes, def, help string, into func(*T) *string) Directive[T] {
	return scalar(name, takes, def, help, func(text string) (string, error) {
		return text, within(nil, text != "" && len(text) <= 256)
	}, into)
}

// choice makes a directive whose value is one of some words.
func choice[T, V any](name string, words []string, values []V, def, help string, into func(*T) *V) Directive[T] {
	return scalar(name, "one of "+strings.Join(words, ", "), def, help, func(text string) (v V, err error) {
		for i, w := range words {
			if w == text {
				return values[i], nil
			}
		}
		return v, errValue
	}, into)
}

// errValue stands for a value that is not what the directive takes.
var errValue = fmt.Errorf("value not allowed")

func within(err error, ok bool) error {
	if err != nil || !ok {
		return errValue
	}
	return nil
}
