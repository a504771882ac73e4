// Package reportimport reads the report of a run that the users' simulator prints, and writes it as a scenario and a load,
// to be run again with front ends of our own. What a report does not say is assumed, and the scenario says so.
package reportimport

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"havencart/lab/loadgen"
	"havencart/lab/scenario"
)

// ErrReport is wrapped by every error about a report.
var ErrReport = errors.New("report")

// RunReport is what a report says of a run.
type RunReport struct {
	FrontEnds, Workers int
	Duration           time.Duration
	Requests           int
	MaxAttempts        float64 // attempts a request, at most
	Faults             []scenario.Fault
	Notes              map[int]string // what was assumed, by the Line of a fault
	Unparsed           []string       // events that were not understood
}

// Assumptions where a report does not say.
const (
	defaultFrontEnds = 3               // of a report without them
	workerCores      = 4               // of a worker
	retriesFrom      = 1.02            // attempts a request above which clients retry
	frontEndDownTime = 3 * time.Second // how long a killed front end is down
)

// Rate is the mean rate, in requests a second.
func (d *RunReport) Rate() float64 { return float64(d.Requests) / d.Duration.Seconds() }

// Mix is a load like the report's, and like base where the report does not say. Requests have the work that uses a share
// of the workers' cores, which a report does not say either.
func (d *RunReport) Mix(base loadgen.Mix, utilization float64) loadgen.Mix {
	base.Rate = d.Rate()
	base.Work = time.Duration(utilization * workerCores * float64(d.Workers) / base.Rate * float64(time.Second)).Round(time.Millisecond)
	base.RetryPolicy, base.Retries = loadgen.RetryNever, 0
	if d.MaxAttempts > retriesFrom {
		base.RetryPolicy, base.Retries = loadgen.RetryWithBackoff, int(math.Ceil(d.MaxAttempts-1))
	}
	return base
}

// Script is the report as a scenario file.
func (d *RunReport) Script() string {
	var out strings.Builder
	fmt.Fprintf(&out, "# Transcribed from a report: %d front ends, %d workers, %d requests in %v, at most %.2f tries a request.\n",
		d.FrontEnds, d.Workers, d.Requests, d.Duration, d.MaxAttempts)
	for _, t := range d.Faults {
		line := scenario.Format(t)
		if note := d.Notes[t.Line]; note != "" {
			line += "  # " + note
		}
		out.WriteString(line + "\n")
	}
	for _, line := range d.Unparsed {
		out.WriteString("# not transcribed: " + line + "\n")
	}
	return out.String()
}

// Parse reads a report: the notes from on-call, or the report of one run. Its errors wrap ErrReport.
func Parse(text string) (*RunReport, error) {
	p := &parser{report: &RunReport{Notes: map[int]string{}}}
	for _, line := range strings.Split(text, "\n") {
		p.parseLine(line)
	}
	if err := p.finish(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrReport, err)
	}
	return p.report, nil
}
