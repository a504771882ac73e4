// Package reportimport converts the report of a run of the users' simulator to a scenario and a load, so that the run
// can be repeated with front ends of this project. Values that a report does not state are assumed. Comments in the
// scenario name the assumed parameters of faults.
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

// RunReport is the information about a run that was read from its report.
type RunReport struct {
	FrontEnds, Workers int
	Duration           time.Duration
	Requests           int
	MaxAttempts        float64 // highest mean number of client attempts per request in any window
	Faults             []scenario.Fault
	Notes              map[int]string // notes on assumed parameters, by the Line of the fault
	Unparsed           []string       // events that were not recognized
}

// Assumed values that a report does not state.
const (
	defaultFrontEnds = 3               // number of front ends, if the report does not state it
	workerCores      = 4               // number of cores of a worker
	retryThreshold   = 1.02            // attempts per request above which clients are assumed to retry
	frontEndDownTime = 3 * time.Second // time until a killed front end starts again
)

// Rate returns the mean rate of the run, in requests per second.
func (r *RunReport) Rate() float64 { return float64(r.Requests) / r.Duration.Seconds() }

// Mix returns a load like that of the run, with the values of base for what the report does not state. The mean work
// of a request, which a report does not state either, is chosen so that the requests use the fraction utilization of
// the workers' cores.
func (r *RunReport) Mix(base loadgen.Mix, utilization float64) loadgen.Mix {
	base.Rate = r.Rate()
	base.Work = time.Duration(utilization * workerCores * float64(r.Workers) / base.Rate * float64(time.Second)).Round(time.Millisecond)
	base.RetryPolicy, base.Retries = loadgen.RetryNever, 0
	if r.MaxAttempts > retryThreshold {
		base.RetryPolicy, base.Retries = loadgen.RetryWithBackoff, int(math.Ceil(r.MaxAttempts-1))
	}
	return base
}

// Script returns the faults of the run as the text of a scenario file.
func (r *RunReport) Script() string {
	var out strings.Builder
	fmt.Fprintf(&out, "# Transcribed from a report: %d front ends, %d workers, %d requests in %v, at most %.2f tries a request.\n",
		r.FrontEnds, r.Workers, r.Requests, r.Duration, r.MaxAttempts)
	for _, f := range r.Faults {
		line := scenario.Format(f)
		if note := r.Notes[f.Line]; note != "" {
			line += "  # " + note
		}
		out.WriteString(line + "\n")
	}
	for _, line := range r.Unparsed {
		out.WriteString("# not transcribed: " + line + "\n")
	}
	return out.String()
}

// Parse reads a report, which is either the notes from on-call or the report of one run. Its errors wrap ErrReport.
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
