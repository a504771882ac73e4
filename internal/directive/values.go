package directive

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxTextLength bounds the value of a Text directive, in bytes.
const maxTextLength = 256

// scalar declares a directive of one value, which parse reads and which is stored where field points.
func scalar[T, V any](name, takes, defaultValue, help string, parse func(string) (V, error), field func(*T) *V) Directive[T] {
	set := func(t *T, values []string) error {
		value, err := parse(values[0])
		if err != nil {
			return err
		}
		*field(t) = value
		return nil
	}
	return Directive[T]{Name: name, AllowedValues: takes, Default: defaultValue, Help: help, Set: set}
}

// Duration declares a directive whose value is a time from least to most, such as 1.5s.
func Duration[T any](name string, least, most time.Duration, defaultValue, help string, field func(*T) *time.Duration) Directive[T] {
	takes := fmt.Sprintf("a time, %v to %v", least, most)
	parse := func(text string) (time.Duration, error) {
		duration, err := time.ParseDuration(text)
		return duration, errUnless(err == nil && inRange(duration, least, most))
	}
	return scalar(name, takes, defaultValue, help, parse, field)
}

// Number declares a directive whose value is a whole number from least to most.
func Number[T any](name string, least, most int, defaultValue, help string, field func(*T) *int) Directive[T] {
	takes := fmt.Sprintf("a whole number, %d to %d", least, most)
	parse := func(text string) (int, error) {
		number, err := strconv.Atoi(text)
		return number, errUnless(err == nil && inRange(number, least, most))
	}
	return scalar(name, takes, defaultValue, help, parse, field)
}

// Real declares a directive whose value is a number from least to most.
func Real[T any](name string, least, most float64, defaultValue, help string, field func(*T) *float64) Directive[T] {
	takes := fmt.Sprintf("a number, %v to %v", least, most)
	parse := func(text string) (float64, error) {
		number, err := strconv.ParseFloat(text, 64)
		return number, errUnless(err == nil && inRange(number, least, most))
	}
	return scalar(name, takes, defaultValue, help, parse, field)
}

// sizeUnits are the suffixes of a size; the empty one comes last, as every text ends with it.
var sizeUnits = []struct {
	suffix string
	bytes  int
}{{"k", 1 << 10}, {"m", 1 << 20}, {"g", 1 << 30}, {"", 1}}

// Size declares a directive whose value is a number of bytes from least to most, such as 64k.
func Size[T any](name string, least, most int, defaultValue, help string, field func(*T) *int) Directive[T] {
	takes := fmt.Sprintf("bytes, with k, m or g for 1024 and its powers, %d to %d", least, most)
	parse := func(text string) (int, error) { return parseSize(text, least, most) }
	return scalar(name, takes, defaultValue, help, parse, field)
}

func parseSize(text string, least, most int) (bytes int, err error) {
	for _, unit := range sizeUnits {
		digits, hasSuffix := strings.CutSuffix(strings.ToLower(text), unit.suffix)
		if !hasSuffix {
			continue
		}
		count, err := strconv.Atoi(digits)
		if err != nil || !inRange(count, 0, most/unit.bytes) { // beyond it, the product might overflow
			return 0, ErrValue
		}
		bytes = count * unit.bytes
		return bytes, errUnless(bytes >= least)
	}
	return 0, ErrValue
}

// OnOff declares a directive whose value is on or off.
func OnOff[T any](name, defaultValue, help string, field func(*T) *bool) Directive[T] {
	parse := func(text string) (bool, error) {
		return text == "on", errUnless(text == "on" || text == "off")
	}
	return scalar(name, "on or off", defaultValue, help, parse, field)
}

// Text declares a directive whose value is a word of at most 256 bytes that is not empty.
func Text[T any](name, takes, defaultValue, help string, field func(*T) *string) Directive[T] {
	parse := func(text string) (string, error) {
		return text, errUnless(text != "" && len(text) <= maxTextLength)
	}
	return scalar(name, takes, defaultValue, help, parse, field)
}

// Choice declares a directive whose value is one of some words; words[i] stands for values[i].
func Choice[T, V any](name string, words []string, values []V, defaultValue, help string, field func(*T) *V) Directive[T] {
	parse := func(text string) (value V, err error) {
		index := slices.Index(words, text)
		if index < 0 {
			return value, ErrValue
		}
		return values[index], nil
	}
	return scalar(name, "one of "+strings.Join(words, ", "), defaultValue, help, parse, field)
}

// inRange reports whether least <= value <= most; a value that is not a number is not.
func inRange[N cmp.Ordered](value, least, most N) bool { return value >= least && value <= most }

// errUnless returns ErrValue unless the value is allowed.
func errUnless(allowed bool) error {
	if !allowed {
		return ErrValue
	}
	return nil
}
