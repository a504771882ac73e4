// Package reportimport reads the report of a day that the users' bench prints and writes the day's course as a
// script of troubles and a load, to be played again with front ends of our own. It reads the report as text; what
// a report does not tell is assumed, and the script says so.
package reportimport

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"havencart/lab/loadgen"
	"havencart/lab/scenario"
)

// ErrReport is wrapped by every error about a report.
var ErrReport = errors.New("report")

// Day is what a report tells of a day.
type Day struct {
	FrontEnds, Workers int
	Lasts              time.Duration
	Requests           int
	MaxAttempts        float64 // tries a request, at most
	Faults             []scenario.Fault
	Notes              map[int]string // what was assumed, by the Line of a trouble
	Unparsed           []string       // lines of the day's course that were not understood
}

// What a report does not tell.
const (
	defaultFrontEnds = 3               // of a report that does not tell them
	workerCores      = 4               // of a worker
	frontEndDownTime = 3 * time.Second // how long a front end is gone
)

// Rate is the mean rate of requests, in calls a second.
func (d *Day) Rate() float64 { return float64(d.Requests) / d.Lasts.Seconds() }

// Mix is a load like the day's. Calls do the work that fills used of the workers' cores; a report does not tell it.
func (d *Day) Mix(base loadgen.Mix, used float64) loadgen.Mix {
	base.Rate = d.Rate()
	base.Work = time.Duration(used * workerCores * float64(d.Workers) / base.Rate * float64(time.Second)).Round(time.Millisecond)
	base.Habit, base.Retries = loadgen.Never, 0
	if d.MaxAttempts > 1.02 {
		base.Habit, base.Retries = loadgen.Wait, int(math.Ceil(d.MaxAttempts-1))
	}
	return base
}

// Script is the day as a script.
func (d *Day) Script() string {
	var out strings.Builder
	fmt.Fprintf(&out, "# Transcribed from a report: %d front ends, %d workers, %d requests in %v, at most %.2f tries a request.\n",
		d.FrontEnds, d.Workers, d.Requests, d.Lasts, d.MaxAttempts)
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

// Parse reads a report: the notes from on-call, or the report of one run.
func Parse(text string) (*Day, error) {
	r := &parser{day: &Day{Notes: map[int]string{}}}
	for _, line := range strings.Split(text, "\n") {
		r.parseLine(line)
	}
	if err := r.finish(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrReport, err)
	}
	return r.day, nil
}

// window is a stretch of the day with its requests.
type window struct {
	from     time.Duration
	requests int
}

// event is one line of the day's course.
type event struct {
	at   time.Duration
	text string
}

type parser struct {
	day        *Day
	windows    []window
	events     []event
	servers    int // the most seen at a time
	faultCount int // troubles written so far
}

// line takes one line of the report. Lines that are no part of the day's course are passed over.
func (r *parser) parseLine(line string) {
	d := r.day
	var front, workers, requests, minutes, seconds int
	if n, _ := fmt.Sscanf(strings.TrimSpace(line), "%d balancers, %d servers, %d requests in %d:%d", &front, &workers, &requests,
		&minutes, &seconds); n == 5 {
		d.FrontEnds, d.Workers, d.Requests = front, workers, requests
		d.Lasts = time.Duration(minutes)*time.Minute + time.Duration(seconds)*time.Second
		return
	}
	if e, found := parseEvent(line); found {
		r.events = append(r.events, e)
		return
	}
	r.parseWindow(line)
}

// parseEvent reads "- 0:06 text" and "7.49 s  text". The module's own lines, "[1] worker ...", are none.
func parseEvent(line string) (e event, found bool) {
	line = strings.TrimSpace(line)
	if rest, dash := strings.CutPrefix(line, "- "); dash {
		clock, text, _ := strings.Cut(rest, " ")
		at, ok := parseClock(clock)
		return event{at, strings.TrimSpace(text)}, ok
	}
	number, text, ok := strings.Cut(line, " s ")
	s, err := strconv.ParseFloat(number, 64)
	text = strings.TrimSpace(text)
	if !ok || err != nil || !(s >= 0 && s < 1e5) || strings.HasPrefix(text, "[") {
		return e, false
	}
	return event{time.Duration(s * float64(time.Second)).Round(10 * time.Millisecond), text}, true
}

// parseClock reads minutes and seconds: "1:05".
func parseClock(text string) (time.Duration, bool) {
	m, s, ok := strings.Cut(text, ":")
	minutes, err := strconv.Atoi(m)
	seconds, err2 := strconv.Atoi(s)
	ok = ok && err == nil && err2 == nil && minutes >= 0 && minutes < 1000 && seconds >= 0 && seconds < 60
	return time.Duration(minutes)*time.Minute + time.Duration(seconds)*time.Second, ok
}

// window reads a line of either table of windows.
func (r *parser) parseWindow(line string) {
	f := strings.Fields(strings.NewReplacer(" ms ", "ms ", " s ", "s ").Replace(line))
	var at time.Duration
	var requests, tries, servers string
	switch {
	case len(f) >= 14 && strings.Contains(f[0], ":") && strings.HasSuffix(f[1], "%"):
		clock, ok := parseClock(f[0])
		if !ok {
			return
		}
		at, requests, tries, servers = clock, f[2], f[10], f[13]
	case len(f) == 19:
		s, err := strconv.Atoi(f[0])
		if err != nil || s < 0 || s > 1e5 {
			return
		}
		at, requests, tries, servers = time.Duration(s)*time.Second, f[1], f[9], f[17]
	default:
		return
	}
	n, err := strconv.Atoi(requests)
	x, err2 := strconv.ParseFloat(tries, 64)
	w, err3 := strconv.Atoi(servers)
	if errors.Join(err, err2, err3) != nil || n < 0 || n > 1e9 || w < 0 || w > 1e6 || !(x >= 0 && x < 1e6) {
		return
	}
	r.windows = append(r.windows, window{at, n})
	r.day.MaxAttempts, r.servers = max(r.day.MaxAttempts, x), max(r.servers, w)
}

// add adds a trouble, with what was assumed of it.
func (r *parser) addFault(t scenario.Fault, assumed string) {
	r.faultCount++
	t.Line = r.faultCount
	r.day.Faults = append(r.day.Faults, t)
	if assumed != "" {
		r.day.Notes[t.Line] = assumed
	}
}

// finish makes the day of what was read.
func (r *parser) finish() error {
	d := r.day
	if len(r.windows) == 0 {
		return errors.New("no table of windows was found; allowed: what the bench prints for a run, a replay or an incident")
	}
	if d.Workers == 0 {
		d.Workers, d.FrontEnds = r.servers, defaultFrontEnds
	}
	if d.Requests == 0 {
		for _, w := range r.windows {
			d.Requests += w.requests
		}
	}
	last := r.windows[len(r.windows)-1].from
	if d.Lasts <= last {
		d.Lasts = last + r.step()
	}
	if d.Workers < 1 || d.FrontEnds < 1 || d.Requests < 1 {
		return errors.New("it tells of no workers or no requests")
	}
	r.surges()
	r.parseEvents()
	scenario.SortByTime(d.Faults)
	return nil
}

// step is the length of a window.
func (r *parser) step() time.Duration {
	if len(r.windows) < 2 {
		return 5 * time.Second
	}
	return max(time.Second, r.windows[1].from-r.windows[0].from)
}

// surges makes the windows' rates from the mean one.
func (r *parser) surges() {
	for i, w := range r.windows {
		end := r.day.Lasts
		if i+1 < len(r.windows) {
			end = r.windows[i+1].from
		}
		if end <= w.from {
			continue
		}
		factor := float64(w.requests) / (end - w.from).Seconds() / r.day.Rate()
		factor = math.Round(100*max(factor, 0.01)) / 100
		if math.Abs(factor-1) > 0.02 && factor <= 1000 {
			r.addFault(scenario.Fault{At: w.from, Kind: "surge", Factor: factor, Duration: end - w.from}, "")
		}
	}
}
