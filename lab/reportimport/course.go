package reportimport

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"havencart/lab/scenario"
)

// named says how a trouble that a report names is written. A report tells when it was and how many it struck, not
// how strong it was: that is assumed.
var faultsByName = map[string]struct {
	trouble scenario.Fault
	assumed string
}{
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

// course makes troubles of the events.
func (r *parser) parseEvents() {
	f := &workerCourses{}
	for i, e := range r.events {
		var ready, draining, gone, stopped int
		name, what, struck := parseFaultEvent(e.text)
		_, change, _ := strings.Cut(e.text, " changed: ")
		switch {
		case what == "begins" && r.addNamedFault(i, name, struck):
		case what == "ends" && faultsByName[name].trouble.Kind != "":
		case change != "" && scanAll(change, "%d ready, %d draining, %d gone", &ready, &draining, &gone):
			f.changed(e.at, ready, draining, gone)
		case scanAll(e.text, "%d balancer(s) stopped", &stopped):
			for n := range min(stopped, r.day.FrontEnds) {
				r.addFault(scenario.Fault{At: e.at, Kind: "kill", Number: n + 1, Duration: frontEndDownTime}, "which ones and how long assumed")
			}
		case strings.HasPrefix(e.text, "a release of the servers"): // told by the changes of the list
		default:
			r.day.Unparsed = append(r.day.Unparsed, fmt.Sprintf("%v %s", e.at, e.text))
		}
	}
	crashes := slices.ContainsFunc(r.day.Faults, func(t scenario.Fault) bool { return t.Kind == "crash" })
	for _, t := range f.faults(r.day.Lasts, r.day.Workers) {
		if t.Kind != "crash" || !crashes { // else the list tells of what was named
			r.addFault(t, "")
		}
	}
}

func scanAll(text, format string, into ...any) bool {
	n, err := fmt.Sscanf(text, format, into...)
	return err == nil && n == len(into)
}

// begins reads "crash begins (3 struck)" and "flush ends".
func parseFaultEvent(text string) (name, what string, struck int) {
	words := strings.Fields(text)
	if len(words) < 2 || words[1] != "begins" && words[1] != "ends" {
		return "", "", 0
	}
	if len(words) > 2 && !scanAll(strings.Join(words[2:], " "), "(%d struck)", &struck) {
		return "", "", 0
	}
	return words[0], words[1], struck
}

// begun adds the named trouble that begins with event i; false where the name is none that is known.
func (r *parser) addNamedFault(i int, name string, struck int) bool {
	known, found := faultsByName[name]
	if !found {
		return false
	}
	t := known.trouble
	t.At, t.Duration = r.events[i].at, max(0, r.day.Lasts-r.events[i].at)
	for _, e := range r.events[i+1:] {
		if n, what, hit := parseFaultEvent(e.text); n == name && what == "ends" && hit == struck {
			t.Duration = e.at - t.At
			break
		}
	}
	assumed := known.assumed
	switch {
	case struck > 0:
		t.Share = share(struck, r.day.Workers)
	case t.Share == 0 && scenario.HasParameter(t.Kind, scenario.ShareParameter):
		t.Share, assumed = 0.1, "share assumed"
	}
	r.addFault(t, assumed)
	return true
}

func share(n, of int) float64 { return min(1, float64(n)/float64(of)) }

// fate is what became of one worker.
type course struct {
	drainedAt, endedAt, returnedAt time.Duration
	drained, ended                 bool
}

// fates follows workers through the changes of the list. Workers are not told apart there: the first to drain is
// the first to go, and the first to go the first to come back.
type workerCourses struct{ list []*course }

func (f *workerCourses) first(match func(*course) bool) *course {
	if i := slices.IndexFunc(f.list, match); i >= 0 {
		return f.list[i]
	}
	return nil
}

// mostAtOnce bounds what one line may change.
const maxChange = 10000

func (f *workerCourses) changed(at time.Duration, ready, draining, gone int) {
	for range min(gone, maxChange) {
		x := f.first(func(x *course) bool { return x.drained && !x.ended })
		if x == nil {
			x = &course{drainedAt: at}
			f.list = append(f.list, x)
		}
		x.endedAt, x.ended = at, true
	}
	for range min(ready, maxChange) {
		if x := f.first(func(x *course) bool { return x.ended && x.returnedAt == 0 }); x != nil {
			x.returnedAt = at
		}
	}
	for range min(draining, maxChange) {
		f.list = append(f.list, &course{drainedAt: at, drained: true})
	}
}

// troubles are the fates as troubles, those of one course together.
func (f *workerCourses) faults(lasts time.Duration, workers int) (list []scenario.Fault) {
	groups := map[course]int{}
	var order []course
	for _, x := range f.list {
		if !x.ended {
			x.endedAt = lasts
		}
		if x.returnedAt == 0 {
			x.returnedAt = lasts
		}
		if groups[*x]++; groups[*x] == 1 {
			order = append(order, *x)
		}
	}
	for _, x := range order {
		t := scenario.Fault{At: x.drainedAt, Kind: "crash", Share: share(groups[x], workers), Duration: max(0, x.returnedAt-x.drainedAt)}
		if x.drained {
			t.Kind, t.DrainTime = "take-out", max(0, x.endedAt-x.drainedAt)
		}
		list = append(list, t)
	}
	return list
}
