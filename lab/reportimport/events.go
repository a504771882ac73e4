package reportimport

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"havencart/lab/scenario"
)

// knownFault is the template of a scenario fault for a fault that a report names. A report states the time of a fault
// and the number of affected workers, but not its severity, which is assumed.
type knownFault struct {
	fault   scenario.Fault
	assumed string // note that names the assumed parameters; empty: none is assumed
}

// knownFaults holds the faults that reports name, by their names in reports.
var knownFaults = map[string]knownFault{
	"crash":          {scenario.Fault{Kind: "crash"}, ""},
	"hang":           {scenario.Fault{Kind: "hang"}, ""},
	"slow":           {scenario.Fault{Kind: "slow", Factor: 4}, "factor assumed"},
	"fast_errors":    {scenario.Fault{Kind: "fail", Factor: 0.6}, "rate assumed"},
	"pauses":         {scenario.Fault{Kind: "pauses", PauseLength: 200 * time.Millisecond, Interval: 2 * time.Second}, "pauses assumed"},
	"neighbour":      {scenario.Fault{Kind: "neighbour", Factor: 2, Interval: 2 * time.Second}, "factor assumed"},
	"ageing":         {scenario.Fault{Kind: "ageing", Factor: 6}, "factor assumed"},
	"handshake_slow": {scenario.Fault{Kind: "handshake", Offset: 300 * time.Millisecond}, "time assumed"},
	"give_up":        {scenario.Fault{Kind: "patience", Factor: 0.5}, "factor assumed"},
	"shift":          {scenario.Fault{Kind: "heavy", Factor: 1.5}, "factor assumed"},
	"origin_slow":    {scenario.Fault{Kind: "store-slow", Factor: 4}, "factor assumed"},
	"flush":          {scenario.Fault{Kind: "re-release", Share: 0.6}, "share assumed"},
	"scan":           {scenario.Fault{Kind: "scan", Share: 0.1}, "share assumed"},
	"hot_key":        {scenario.Fault{Kind: "hot", Share: 0.1, Number: 2}, "share assumed"},
}

// phase is the phase of a fault that an event reports. The values are the words of reports.
type phase string

const (
	phaseBegins phase = "begins"
	phaseEnds   phase = "ends"
)

// faultEvent is the beginning or the end of a fault, such as "crash begins (3 struck)" or "flush ends".
type faultEvent struct {
	name            string
	phase           phase
	affectedWorkers int // number of workers; 0: not reported
}

// parseFaultEvent parses a faultEvent. It returns the zero faultEvent for other text.
func parseFaultEvent(text string) (e faultEvent) {
	words := strings.Fields(text)
	if len(words) < 2 {
		return faultEvent{}
	}
	e = faultEvent{name: words[0], phase: phase(words[1])}
	if e.phase != phaseBegins && e.phase != phaseEnds {
		return faultEvent{}
	}
	if len(words) > 2 && !scanAll(strings.Join(words[2:], " "), "(%d struck)", &e.affectedWorkers) {
		return faultEvent{}
	}
	return e
}

// scanAll scans text with a format and reports whether all values were read.
func scanAll(text, format string, into ...any) bool {
	n, err := fmt.Sscanf(text, format, into...)
	return err == nil && n == len(into)
}

// parseEvents adds the faults that the events report. Crashes that follow from changes of the endpoint list are added
// only if the report names no crash, since they would otherwise be added twice.
func (p *parser) parseEvents() {
	outages := &outageTracker{}
	for i, e := range p.events {
		if !p.parseEvent(i, e, outages) {
			p.report.Unparsed = append(p.report.Unparsed, fmt.Sprintf("%v %s", e.at, e.text))
		}
	}
	isCrash := func(f scenario.Fault) bool { return f.Kind == kindCrash }
	crashNamed := slices.ContainsFunc(p.report.Faults, isCrash)
	for _, f := range outages.faults(p.report.Duration, p.report.Workers) {
		if !isCrash(f) || !crashNamed {
			p.addFault(f, "")
		}
	}
}

// parseEvent parses event i and reports whether it was recognized. It adds the faults that the event reports, and
// applies changes of the endpoint list to outages.
func (p *parser) parseEvent(i int, e event, outages *outageTracker) bool {
	var ready, draining, gone, stopped int
	fault := parseFaultEvent(e.text)
	_, change, _ := strings.Cut(e.text, " changed: ")
	switch {
	case fault.phase == phaseBegins && p.addNamedFault(i, fault):
	case fault.phase == phaseEnds && isKnown(fault.name):
	case change != "" && scanAll(change, "%d ready, %d draining, %d gone", &ready, &draining, &gone):
		outages.applyChange(e.at, ready, draining, gone)
	case scanAll(e.text, "%d balancer(s) stopped", &stopped):
		p.addKills(e.at, stopped)
	case strings.HasPrefix(e.text, "a release of the servers"): // the changes of the endpoint list report its effect
	default:
		return false
	}
	return true
}

// isKnown reports whether a report's name of a fault is in knownFaults.
func isKnown(name string) bool {
	_, known := knownFaults[name]
	return known
}

// addKills adds a kill for each of the stopped front ends. A report does not say which they were, so the first ones are
// assumed.
func (p *parser) addKills(at time.Duration, stopped int) {
	for n := range min(stopped, p.report.FrontEnds) {
		kill := scenario.Fault{At: at, Kind: "kill", Number: n + 1, Duration: frontEndDownTime}
		p.addFault(kill, "which ones and how long assumed")
	}
}

// assumedShare is the fraction of the workers or requests that a fault is assumed to affect if the report does not
// state it.
const assumedShare = 0.1

// addNamedFault adds the fault that begins with event i. It reports whether the fault's name is known.
func (p *parser) addNamedFault(i int, begin faultEvent) bool {
	known, found := knownFaults[begin.name]
	if !found {
		return false
	}
	f := known.fault
	f.At = p.events[i].at
	f.Duration = p.faultDuration(i, begin)
	assumed := known.assumed
	switch {
	case begin.affectedWorkers > 0:
		f.Share = share(begin.affectedWorkers, p.report.Workers)
	case f.Share == 0 && scenario.HasParameter(f.Kind, scenario.ShareParameter):
		f.Share, assumed = assumedShare, "share assumed"
	}
	p.addFault(f, assumed)
	return true
}

// faultDuration returns the time from event i, at which a fault begins, to the event at which it ends, or to the end
// of the run if there is no such event.
func (p *parser) faultDuration(i int, begin faultEvent) time.Duration {
	end := faultEvent{name: begin.name, phase: phaseEnds, affectedWorkers: begin.affectedWorkers}
	at := p.events[i].at
	for _, e := range p.events[i+1:] {
		if parseFaultEvent(e.text) == end {
			return e.at - at
		}
	}
	return max(0, p.report.Duration-at)
}

// share returns n as a fraction of total, at most 1.
func share(n, total int) float64 { return min(1, float64(n)/float64(total)) }
