package scenario

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Parameter is a parameter of a fault: one word of its line, after a keyword where it has one.
type Parameter int

// The parameters.
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

const (
	maxNumber   = 10000
	maxDuration = 24 * time.Hour
)

// syntax is how a parameter is written, read and formatted.
type syntax struct {
	keyword string // before it; empty: none
	example string // for the reference page
	read    func(f *Fault, text string) error
	write   func(f Fault) string
}

var parameters = map[Parameter]syntax{
	ShareParameter:       {example: "25%", read: readShare, write: writeShare},
	FrontEndParameter:    countSyntax("", "2", "a front end's number", func(f *Fault) *int { return &f.Number }),
	ZoneParameter:        countSyntax("", "1", "a zone's number", func(f *Fault) *int { return &f.Number }),
	OtherZoneParameter:   countSyntax("", "2", "a zone's number", func(f *Fault) *int { return &f.OtherZone }),
	FunctionsParameter:   countSyntax("functions", "3", "a number of functions", func(f *Fault) *int { return &f.Number }),
	RepeatsParameter:     countSyntax("times", "3", "a number of repeats", func(f *Fault) *int { return &f.Number }),
	TenantParameter:      {example: "palermo", read: readTenant, write: func(f Fault) string { return f.Tenant }},
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

func countSyntax(keyword, example, what string, field func(*Fault) *int) syntax {
	read := func(f *Fault, text string) error {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxNumber {
			return fmt.Errorf("found %q; allowed: %s, from 1", text, what)
		}
		*field(f) = n
		return nil
	}
	write := func(f Fault) string { return strconv.Itoa(*field(&f)) }
	return syntax{keyword, example, read, write}
}

func durationSyntax(keyword, example string, least time.Duration, field func(*Fault) *time.Duration) syntax {
	read := func(f *Fault, text string) error {
		d, err := time.ParseDuration(text)
		if err != nil || d < least || d > maxDuration {
			return fmt.Errorf("found %q; allowed: a time as 1.5s, from %v to 24h", text, least)
		}
		*field(f) = d
		return nil
	}
	write := func(f Fault) string { return field(&f).String() }
	return syntax{keyword, example, read, write}
}

func numberSyntax(keyword, example string, least, most float64) syntax {
	read := func(f *Fault, text string) error {
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || !(x >= least && x <= most) { // also not a number
			return fmt.Errorf("found %q; allowed: a number, %v to %v", text, least, most)
		}
		f.Factor = x
		return nil
	}
	write := func(f Fault) string { return strconv.FormatFloat(f.Factor, 'g', 6, 64) }
	return syntax{keyword, example, read, write}
}

func readShare(f *Fault, text string) (err error) {
	f.Share, err = parseShare(text)
	return err
}

func writeShare(f Fault) string { return strconv.FormatFloat(100*f.Share, 'g', 6, 64) + "%" }

func parseShare(text string) (float64, error) {
	digits, found := strings.CutSuffix(text, "%")
	x, err := strconv.ParseFloat(digits, 64)
	if !found || err != nil || !(x > 0 && x <= 100) {
		return 0, fmt.Errorf("found %q; allowed: a share as 25%%, up to 100%%", text)
	}
	return x / 100, nil
}

func readTenant(f *Fault, text string) error {
	f.Tenant = text
	if text == "" {
		return errors.New("found the end of the line; allowed: a tenant's name")
	}
	return nil
}

// parseTime reads the time of a fault, which is written as a duration.
func parseTime(text string) (time.Duration, error) {
	var f Fault
	err := parameters[DurationParameter].read(&f, text)
	return f.Duration, err
}
