package directive

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxTextLength is the maximum length of the value of a Text directive, in bytes.
const maxTextLength = 256

// scalar declares a directive with a single value. parse converts the value, and field returns a pointer to the field
// that stores it.
func scalar[T, V any](name, allowedValues, defaultValue, help string, parse func(string) (V, error), field func(*T) *V) Directive[T] {
	set := func(t *T, values []string) error {
		value, err := parse(values[0])
		if err != nil {
			return err
		}
		*field(t) = value
		return nil
	}
	return Directive[T]{Name: name, AllowedValues: allowedValues, Default: defaultValue, Help: help, Set: set}
}

// Duration declares a directive whose value is a duration from minimum to maximum, such as 1.5s.
func Duration[T any](name string, minimum, maximum time.Duration, defaultValue, help string, field func(*T) *time.Duration) Directive[T] {
	allowedValues := fmt.Sprintf("a time, %v to %v", minimum, maximum)
	parse := func(text string) (time.Duration, error) {
		duration, err := time.ParseDuration(text)
		return duration, errUnless(err == nil && inRange(duration, minimum, maximum))
	}
	return scalar(name, allowedValues, defaultValue, help, parse, field)
}

// Number declares a directive whose value is an integer from minimum to maximum.
func Number[T any](name string, minimum, maximum int, defaultValue, help string, field func(*T) *int) Directive[T] {
	allowedValues := fmt.Sprintf("a whole number, %d to %d", minimum, maximum)
	parse := func(text string) (int, error) {
		number, err := strconv.Atoi(text)
		return number, errUnless(err == nil && inRange(number, minimum, maximum))
	}
	return scalar(name, allowedValues, defaultValue, help, parse, field)
}

// Real declares a directive whose value is a number from minimum to maximum.
func Real[T any](name string, minimum, maximum float64, defaultValue, help string, field func(*T) *float64) Directive[T] {
	allowedValues := fmt.Sprintf("a number, %v to %v", minimum, maximum)
	parse := func(text string) (float64, error) {
		number, err := strconv.ParseFloat(text, 64)
		return number, errUnless(err == nil && inRange(number, minimum, maximum))
	}
	return scalar(name, allowedValues, defaultValue, help, parse, field)
}

// sizeUnits are the suffixes of a size. The empty suffix comes last, because every text ends with it.
var sizeUnits = []struct {
	suffix string
	bytes  int
}{{"k", 1 << 10}, {"m", 1 << 20}, {"g", 1 << 30}, {"", 1}}

// Size declares a directive whose value is a number of bytes from minimum to maximum, such as 64k.
func Size[T any](name string, minimum, maximum int, defaultValue, help string, field func(*T) *int) Directive[T] {
	allowedValues := fmt.Sprintf("bytes, with k, m or g for 1024 and its powers, %d to %d", minimum, maximum)
	parse := func(text string) (int, error) { return parseSize(text, minimum, maximum) }
	return scalar(name, allowedValues, defaultValue, help, parse, field)
}

func parseSize(text string, minimum, maximum int) (bytes int, err error) {
	for _, unit := range sizeUnits {
		digits, hasSuffix := strings.CutSuffix(strings.ToLower(text), unit.suffix)
		if !hasSuffix {
			continue
		}
		count, err := strconv.Atoi(digits)
		if err != nil || !inRange(count, 0, maximum/unit.bytes) { // a larger count could overflow the product
			return 0, ErrValue
		}
		bytes = count * unit.bytes
		return bytes, errUnless(bytes >= minimum)
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

// Text declares a directive whose value is a non-empty word of at most 256 bytes.
func Text[T any](name, allowedValues, defaultValue, help string, field func(*T) *string) Directive[T] {
	parse := func(text string) (string, error) {
		return text, errUnless(text != "" && len(text) <= maxTextLength)
	}
	return scalar(name, allowedValues, defaultValue, help, parse, field)
}

// Choice declares a directive whose value is one of words; words[i] selects values[i].
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

// inRange reports whether minimum <= value <= maximum. It returns false for NaN.
func inRange[N cmp.Ordered](value, minimum, maximum N) bool {
	return value >= minimum && value <= maximum
}

// errUnless returns nil if allowed is true and ErrValue otherwise.
func errUnless(allowed bool) error {
	if !allowed {
		return ErrValue
	}
	return nil
}
