package scenario

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Parameter is a parameter of a fault. It is one word of the fault's line, which follows a keyword if the parameter has
// one.
type Parameter int

// The parameters of faults. The map parameters holds the syntax of each.
const (
	ShareParameter Parameter = iota + 1
	FrontEndParameter
	ZoneParameter
	OtherZoneParameter
	TenantParameter
	FunctionsParameter
	RetriesParameter
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

// Upper bounds of counts and of durations.
const (
	maxNumber   = 10000
	maxDuration = 24 * time.Hour
)

// parameterSyntax describes how a parameter is parsed and formatted.
type parameterSyntax struct {
	keyword string                            // precedes the value; empty: the value has no keyword
	example string                            // value on the reference page
	parse   func(f *Fault, text string) error // sets the parameter from its text
	format  func(f Fault) string
}

// parameters holds the syntax of every Parameter.
var parameters = map[Parameter]parameterSyntax{
	ShareParameter:       {example: "25%", parse: parseShareParameter, format: formatShare},
	FrontEndParameter:    countSyntax("", "2", "a front end's number", func(f *Fault) *int { return &f.Number }),
	ZoneParameter:        countSyntax("", "1", "a zone's number", func(f *Fault) *int { return &f.Number }),
	OtherZoneParameter:   countSyntax("", "2", "a zone's number", func(f *Fault) *int { return &f.OtherZone }),
	FunctionsParameter:   countSyntax("functions", "3", "a number of functions", func(f *Fault) *int { return &f.Number }),
	RetriesParameter:     countSyntax("times", "3", "a number of repeats", func(f *Fault) *int { return &f.Number }),
	TenantParameter:      {example: "palermo", parse: parseTenant, format: func(f Fault) string { return f.Tenant }},
	RateParameter:        numberSyntax("rate", "0.5", 0, 1),
	FactorParameter:      numberSyntax("factor", "4", 0.01, 1000),
	OffsetParameter:      durationSyntax("by", "600ms", 0, func(f *Fault) *time.Duration { return &f.Offset }),
	SkewParameter:        durationSyntax("by", "-30s", -maxDuration, func(f *Fault) *time.Duration { return &f.Offset }),
	PauseLengthParameter: durationSyntax("stop", "200ms", 0, func(f *Fault) *time.Duration { return &f.PauseLength }),
	IntervalParameter:    durationSyntax("every", "2s", time.Millisecond, func(f *Fault) *time.Duration { return &f.Interval }),
	SpreadParameter:      durationSyntax("over", "4s", 0, func(f *Fault) *time.Duration { return &f.Spread }),
	DrainTimeParameter:   durationSyntax("drain", "400ms", 0, func(f *Fault) *time.Duration { return &f.DrainTime }),
	DurationParameter:    durationSyntax("for", "3s", 0, func(f *Fault) *time.Duration { return &f.Duration }),
}

// countSyntax returns the syntax of a whole number from 1 to maxNumber. description names it in error messages.
func countSyntax(keyword, example, description string, field func(*Fault) *int) parameterSyntax {
	parse := func(f *Fault, text string) error {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxNumber {
			return fmt.Errorf("found %q; allowed: %s, from 1", text, description)
		}
		*field(f) = n
		return nil
	}
	format := func(f Fault) string { return strconv.Itoa(*field(&f)) }
	return parameterSyntax{keyword, example, parse, format}
}

// durationSyntax returns the syntax of a duration from minimum to maxDuration.
func durationSyntax(keyword, example string, minimum time.Duration, field func(*Fault) *time.Duration) parameterSyntax {
	parse := func(f *Fault, text string) error {
		d, err := time.ParseDuration(text)
		if err != nil || d < minimum || d > maxDuration {
			return fmt.Errorf("found %q; allowed: a time such as 1.5s, from %v to 24h", text, minimum)
		}
		*field(f) = d
		return nil
	}
	format := func(f Fault) string { return field(&f).String() }
	return parameterSyntax{keyword, example, parse, format}
}

// numberSyntax returns the syntax of a number from minimum to maximum, which sets Fault.Factor.
func numberSyntax(keyword, example string, minimum, maximum float64) parameterSyntax {
	parse := func(f *Fault, text string) error {
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || !(x >= minimum && x <= maximum) { // the negation also rejects NaN
			return fmt.Errorf("found %q; allowed: a number, %v to %v", text, minimum, maximum)
		}
		f.Factor = x
		return nil
	}
	format := func(f Fault) string { return strconv.FormatFloat(f.Factor, 'g', 6, 64) }
	return parameterSyntax{keyword, example, parse, format}
}

func parseShareParameter(f *Fault, text string) (err error) {
	f.Share, err = parseShare(text)
	return err
}

func formatShare(f Fault) string { return strconv.FormatFloat(100*f.Share, 'g', 6, 64) + "%" }

// parseShare parses a percentage above 0% and up to 100% and returns it as a fraction.
func parseShare(text string) (float64, error) {
	digits, found := strings.CutSuffix(text, "%")
	x, err := strconv.ParseFloat(digits, 64)
	if !found || err != nil || !(x > 0 && x <= 100) {
		return 0, fmt.Errorf("found %q; allowed: a share such as 25%%, up to 100%%", text)
	}
	return x / 100, nil
}

func parseTenant(f *Fault, text string) error {
	f.Tenant = text
	if text == "" {
		return errors.New("found the end of the line; allowed: a tenant's name")
	}
	return nil
}

// parseTime parses the time at which a fault starts, which is written as a duration since the start of the scenario.
func parseTime(text string) (time.Duration, error) {
	var f Fault
	err := parameters[DurationParameter].parse(&f, text)
	return f.Duration, err
}
