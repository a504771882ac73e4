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

// window is a period of the run with its requests.
type window struct {
	from     time.Duration
	requests int
}

// event is one line of what happened.
type event struct {
	at   time.Duration
	text string
}

// parser reads a report.
type parser struct {
	report     *RunReport
	windows    []window
	events     []event
	servers    int // at most, over all windows
	faultCount int // faults added so far
}

// parseLine reads one line of the report. Lines that say nothing of what happened are passed over.
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

// parseSummary reads "2 balancers, 10 servers, 3000 requests in 0:20".
func (p *parser) parseSummary(line string) bool {
	var frontEnds, workers, requests, minutes, seconds int
	n, _ := fmt.Sscanf(strings.TrimSpace(line), "%d balancers, %d servers, %d requests in %d:%d", &frontEnds, &workers,
		&requests, &minutes, &seconds)
	if n != 5 {
		return false
	}
	d := p.report
	d.FrontEnds, d.Workers, d.Requests = frontEnds, workers, requests
	d.Duration = time.Duration(minutes)*time.Minute + time.Duration(seconds)*time.Second
	return true
}

const maxSeconds = 1e5 // of the time of an event or a window

// parseEvent reads "- 0:06 text" and "7.49 s  text". The scheduler's own lines, "[1] worker ...", are no events.
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
	if !(seconds >= 0 && seconds < maxSeconds) { // also not a number
		return e, false
	}
	return event{time.Duration(seconds * float64(time.Second)).Round(10 * time.Millisecond), text}, true
}

// parseClock reads minutes and seconds: "1:05".
func parseClock(text string) (time.Duration, bool) {
	m, s, ok := strings.Cut(text, ":")
	minutes, minutesErr := strconv.Atoi(m)
	seconds, secondsErr := strconv.Atoi(s)
	ok = ok && minutesErr == nil && secondsErr == nil
	ok = ok && minutes >= 0 && minutes < 1000
	ok = ok && seconds >= 0 && seconds < 60
	return time.Duration(minutes)*time.Minute + time.Duration(seconds)*time.Second, ok
}

// windowColumns are the columns of a table of windows that are read.
type windowColumns struct {
	at                          time.Duration
	requests, attempts, workers string
}

// splitWindow reads a line of the table of the on-call notes, or of the table of a run's report.
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

// parseWindow reads a line of either table of windows.
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
	p.servers = max(p.servers, workers)
}

// isWithin reports whether a number is from 0 up to but not including a limit. NaN is not.
func isWithin(x, limit float64) bool { return x >= 0 && x < limit }

// addFault adds a fault, with what was assumed of it.
func (p *parser) addFault(f scenario.Fault, assumed string) {
	p.faultCount++
	f.Line = p.faultCount
	p.report.Faults = append(p.report.Faults, f)
	if assumed != "" {
		p.report.Notes[f.Line] = assumed
	}
}

// finish completes the Day from what was read.
func (p *parser) finish() error {
	report := p.report
	if len(p.windows) == 0 {
		return errors.New("no table of windows was found; allowed: what the bench prints for a run, a replay or an incident")
	}
	if report.Workers == 0 {
		report.Workers, report.FrontEnds = p.servers, defaultFrontEnds
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
		return errors.New("it tells of no workers or no requests")
	}
	p.addSurges()
	p.parseEvents()
	scenario.SortByTime(report.Faults)
	return nil
}

const (
	defaultWindowLength = 5 * time.Second
	minWindowLength     = time.Second
)

// windowLength is the length of the windows.
func (p *parser) windowLength() time.Duration {
	if len(p.windows) < 2 {
		return defaultWindowLength
	}
	return max(minWindowLength, p.windows[1].from-p.windows[0].from)
}

// The factor of a surge is rounded to hundredths; one that differs less than minSurge from 1 is none.
const (
	minSurge      = 0.02
	minRateFactor = 0.01
	maxRateFactor = 1000
)

// addSurges makes the windows' rates from the mean one.
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
