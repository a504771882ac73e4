package reportimport

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"havencart/lab/scenario"
)

// knownFault is how a fault that a report names is written. A report says when it was and how many workers it affected,
// not how severe it was: that is assumed.
type knownFault struct {
	fault   scenario.Fault
	assumed string // what of it is assumed
}

// knownFaults are by the report's names.
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

// phase is which end of a fault an event reports, as the report has it.
type phase string

const (
	begins phase = "begins"
	ends   phase = "ends"
)

// faultEvent is an event such as "crash begins (3 struck)" or "flush ends".
type faultEvent struct {
	name   string
	phase  phase
	struck int // workers; 0: not reported
}

// parseFaultEvent reads a faultEvent, the zero one from other text.
func parseFaultEvent(text string) (e faultEvent) {
	words := strings.Fields(text)
	if len(words) < 2 {
		return faultEvent{}
	}
	e = faultEvent{name: words[0], phase: phase(words[1])}
	if e.phase != begins && e.phase != ends {
		return faultEvent{}
	}
	if len(words) > 2 && !scanAll(strings.Join(words[2:], " "), "(%d struck)", &e.struck) {
		return faultEvent{}
	}
	return e
}

// scanAll reads all values of a format.
func scanAll(text, format string, into ...any) bool {
	n, err := fmt.Sscanf(text, format, into...)
	return err == nil && n == len(into)
}

// parseEvents makes faults of the events. The changes of the endpoint list say of crashes only what no named crash
// says.
func (p *parser) parseEvents() {
	courses := &workerCourses{}
	for i, e := range p.events {
		if !p.parseEvent(i, e, courses) {
			p.report.Unparsed = append(p.report.Unparsed, fmt.Sprintf("%v %s", e.at, e.text))
		}
	}
	isCrash := func(f scenario.Fault) bool { return f.Kind == kindCrash }
	crashNamed := slices.ContainsFunc(p.report.Faults, isCrash)
	for _, f := range courses.faults(p.report.Duration, p.report.Workers) {
		if !isCrash(f) || !crashNamed {
			p.addFault(f, "")
		}
	}
}

// parseEvent reads one event and reports whether it was understood.
func (p *parser) parseEvent(i int, e event, courses *workerCourses) bool {
	var ready, draining, gone, stopped int
	fault := parseFaultEvent(e.text)
	_, change, _ := strings.Cut(e.text, " changed: ")
	switch {
	case fault.phase == begins && p.addNamedFault(i, fault):
	case fault.phase == ends && isKnown(fault.name):
	case change != "" && scanAll(change, "%d ready, %d draining, %d gone", &ready, &draining, &gone):
		courses.changed(e.at, ready, draining, gone)
	case scanAll(e.text, "%d balancer(s) stopped", &stopped):
		p.addKills(e.at, stopped)
	case strings.HasPrefix(e.text, "a release of the servers"): // reported by the changes of the list
	default:
		return false
	}
	return true
}

func isKnown(name string) bool {
	_, known := knownFaults[name]
	return known
}

// addKills adds kills of front ends.
func (p *parser) addKills(at time.Duration, stopped int) {
	for n := range min(stopped, p.report.FrontEnds) {
		kill := scenario.Fault{At: at, Kind: "kill", Number: n + 1, Duration: frontEndDownTime}
		p.addFault(kill, "which ones and how long assumed")
	}
}

// assumedShare is the share of the workers or requests that a fault affects where the report does not say.
const assumedShare = 0.1

// addNamedFault adds the fault that begins with event i. It reports false where the name is unknown.
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
	case begin.struck > 0:
		f.Share = share(begin.struck, p.report.Workers)
	case f.Share == 0 && scenario.HasParameter(f.Kind, scenario.ShareParameter):
		f.Share, assumed = assumedShare, "share assumed"
	}
	p.addFault(f, assumed)
	return true
}

// faultDuration is the time from event i, with which a fault begins, to its end; without one, to the end of the run.
func (p *parser) faultDuration(i int, begin faultEvent) time.Duration {
	end := faultEvent{name: begin.name, phase: ends, struck: begin.struck}
	at := p.events[i].at
	for _, e := range p.events[i+1:] {
		if parseFaultEvent(e.text) == end {
			return e.at - at
		}
	}
	return max(0, p.report.Duration-at)
}

func share(n, of int) float64 { return min(1, float64(n)/float64(of)) }
