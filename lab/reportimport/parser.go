package reportimport

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"havencart/lab/scenario"
)

// window is a row of the report's table of windows. It lasts until the next window begins.
type window struct {
	from     time.Duration // start of the window, since the start of the run
	requests int           // requests that arrived in the window
}

// event is one line of the report that describes an event.
type event struct {
	at   time.Duration // since the start of the run
	text string
}

// parser holds the state of parsing a report.
type parser struct {
	report     *RunReport
	windows    []window
	events     []event
	maxWorkers int // highest number of workers in any window
	faultCount int // number of faults added so far
}

// parseLine parses one line of the report. It ignores lines that are neither the summary nor an event or a window.
func (p *parser) parseLine(line string) {
	if p.parseSummary(line) {
		return
	}
	if e, found := parseEvent(line); found {
		p.events = append(p.events, e)
		return
	}
	p.parseWindow(line)
}

// parseSummary parses a line such as "2 balancers, 10 servers, 3000 requests in 0:20" and reports whether it is one.
func (p *parser) parseSummary(line string) bool {
	var frontEnds, workers, requests, minutes, seconds int
	n, _ := fmt.Sscanf(strings.TrimSpace(line), "%d balancers, %d servers, %d requests in %d:%d", &frontEnds, &workers,
		&requests, &minutes, &seconds)
	if n != 5 {
		return false
	}
	r := p.report
	r.FrontEnds, r.Workers, r.Requests = frontEnds, workers, requests
	r.Duration = time.Duration(minutes)*time.Minute + time.Duration(seconds)*time.Second
	return true
}

// maxSeconds is the upper bound of the time of an event or a window, in seconds.
const maxSeconds = 1e5

// parseEvent parses lines such as "- 0:06 text" and "7.49 s  text". Log lines of the scheduler, which begin with a
// number in brackets after the time, as in "7.34 s  [1] worker ...", are not events.
func parseEvent(line string) (e event, found bool) {
	line = strings.TrimSpace(line)
	if rest, dash := strings.CutPrefix(line, "- "); dash {
		clock, text, _ := strings.Cut(rest, " ")
		at, ok := parseClock(clock)
		return event{at, strings.TrimSpace(text)}, ok
	}
	number, text, ok := strings.Cut(line, " s ")
	seconds, err := strconv.ParseFloat(number, 64)
	text = strings.TrimSpace(text)
	if !ok || err != nil || strings.HasPrefix(text, "[") {
		return e, false
	}
	if !(seconds >= 0 && seconds < maxSeconds) { // the negation also rejects NaN
		return e, false
	}
	return event{time.Duration(seconds * float64(time.Second)).Round(10 * time.Millisecond), text}, true
}

// parseClock parses minutes and seconds, such as "1:05".
func parseClock(text string) (time.Duration, bool) {
	m, s, ok := strings.Cut(text, ":")
	minutes, minutesErr := strconv.Atoi(m)
	seconds, secondsErr := strconv.Atoi(s)
	ok = ok && minutesErr == nil && secondsErr == nil
	ok = ok && minutes >= 0 && minutes < 1000
	ok = ok && seconds >= 0 && seconds < 60
	return time.Duration(minutes)*time.Minute + time.Duration(seconds)*time.Second, ok
}

// windowColumns holds the columns of a table of windows that the parser uses.
type windowColumns struct {
	at                          time.Duration
	requests, attempts, workers string
}

// splitWindow extracts the columns of a row of the table of windows, either of the on-call notes or of the report of
// one run.
func splitWindow(line string) (c windowColumns, ok bool) {
	f := strings.Fields(strings.NewReplacer(" ms ", "ms ", " s ", "s ").Replace(line))
	switch {
	case len(f) >= 14 && strings.Contains(f[0], ":") && strings.HasSuffix(f[1], "%"):
		at, ok := parseClock(f[0])
		return windowColumns{at, f[2], f[10], f[13]}, ok
	case len(f) == 19:
		seconds, err := strconv.Atoi(f[0])
		ok := err == nil && seconds >= 0 && seconds <= maxSeconds
		return windowColumns{time.Duration(seconds) * time.Second, f[1], f[9], f[17]}, ok
	}
	return c, false
}

// parseWindow adds the window of a line, if the line is a row of a table of windows with values in range.
func (p *parser) parseWindow(line string) {
	columns, ok := splitWindow(line)
	if !ok {
		return
	}
	requests, requestsErr := strconv.Atoi(columns.requests)
	attempts, attemptsErr := strconv.ParseFloat(columns.attempts, 64)
	workers, workersErr := strconv.Atoi(columns.workers)
	if errors.Join(requestsErr, attemptsErr, workersErr) != nil {
		return
	}
	if !isWithin(float64(requests), 1e9+1) || !isWithin(float64(workers), 1e6+1) || !isWithin(attempts, 1e6) {
		return
	}
	p.windows = append(p.windows, window{columns.at, requests})
	p.report.MaxAttempts = max(p.report.MaxAttempts, attempts)
	p.maxWorkers = max(p.maxWorkers, workers)
}

// isWithin reports whether x is at least 0 and below limit. It returns false for NaN.
func isWithin(x, limit float64) bool { return x >= 0 && x < limit }

// addFault adds a fault to the report. assumed is the note on its assumed parameters, empty if there are none.
func (p *parser) addFault(f scenario.Fault, assumed string) {
	p.faultCount++
	f.Line = p.faultCount
	p.report.Faults = append(p.report.Faults, f)
	if assumed != "" {
		p.report.Notes[f.Line] = assumed
	}
}

// finish completes the report after all lines are parsed: it derives the values that the report does not state, and the
// faults. It returns an error if the text is not a report.
func (p *parser) finish() error {
	report := p.report
	if len(p.windows) == 0 {
		return errors.New("no table of windows was found; allowed: the simulator's output for a run, a replay or an incident")
	}
	if report.Workers == 0 {
		report.Workers, report.FrontEnds = p.maxWorkers, defaultFrontEnds
	}
	if report.Requests == 0 {
		for _, w := range p.windows {
			report.Requests += w.requests
		}
	}
	last := p.windows[len(p.windows)-1].from
	if report.Duration <= last {
		report.Duration = last + p.windowLength()
	}
	if report.Workers < 1 || report.FrontEnds < 1 || report.Requests < 1 {
		return errors.New("no workers, no front ends or no requests were found")
	}
	p.addSurges()
	p.parseEvents()
	scenario.SortByTime(report.Faults)
	return nil
}

const (
	defaultWindowLength = 5 * time.Second // length of the window of a report with only one
	minWindowLength     = time.Second
)

// windowLength returns the length of the windows, which is the distance of the first two.
func (p *parser) windowLength() time.Duration {
	if len(p.windows) < 2 {
		return defaultWindowLength
	}
	return max(minWindowLength, p.windows[1].from-p.windows[0].from)
}

// The factor of a surge is rounded to hundredths. A window whose factor differs from 1 by minSurge or less has no
// surge. minRateFactor and maxRateFactor are the bounds of a factor in a scenario file.
const (
	minSurge      = 0.02
	minRateFactor = 0.01
	maxRateFactor = 1000
)

// addSurges adds a surge for each window whose rate of requests differs from the mean rate of the run.
func (p *parser) addSurges() {
	for i, w := range p.windows {
		end := p.report.Duration
		if i+1 < len(p.windows) {
			end = p.windows[i+1].from
		}
		if end <= w.from {
			continue
		}
		factor := float64(w.requests) / (end - w.from).Seconds() / p.report.Rate()
		factor = math.Round(100*max(factor, minRateFactor)) / 100
		if math.Abs(factor-1) > minSurge && factor <= maxRateFactor {
			p.addFault(scenario.Fault{At: w.from, Kind: "surge", Factor: factor, Duration: end - w.from}, "")
		}
	}
}
