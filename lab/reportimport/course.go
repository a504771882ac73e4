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
var named = map[string]struct {
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
func (r *reader) course() {
	f := &fates{}
	for i, e := range r.events {
		var ready, draining, gone, stopped int
		name, what, struck := begins(e.text)
		_, change, _ := strings.Cut(e.text, " changed: ")
		switch {
		case what == "begins" && r.begun(i, name, struck):
		case what == "ends" && named[name].trouble.Kind != "":
		case change != "" && scan(change, "%d ready, %d draining, %d gone", &ready, &draining, &gone):
			f.changed(e.at, ready, draining, gone)
		case scan(e.text, "%d balancer(s) stopped", &stopped):
			for n := range min(stopped, r.day.FrontEnds) {
				r.add(scenario.Fault{At: e.at, Kind: "kill", Number: n + 1, Duration: downFor}, "which ones and how long assumed")
			}
		case strings.HasPrefix(e.text, "a release of the servers"): // told by the changes of the list
		default:
			r.day.Unread = append(r.day.Unread, fmt.Sprintf("%v %s", e.at, e.text))
		}
	}
	crashes := slices.ContainsFunc(r.day.Troubles, func(t scenario.Fault) bool { return t.Kind == "crash" })
	for _, t := range f.troubles(r.day.Lasts, r.day.Workers) {
		if t.Kind != "crash" || !crashes { // else the list tells of what was named
			r.add(t, "")
		}
	}
}

func scan(text, format string, into ...any) bool {
	n, err := fmt.Sscanf(text, format, into...)
	return err == nil && n == len(into)
}

// begins reads "crash begins (3 struck)" and "flush ends".
func begins(text string) (name, what string, struck int) {
	words := strings.Fields(text)
	if len(words) < 2 || words[1] != "begins" && words[1] != "ends" {
		return "", "", 0
	}
	if len(words) > 2 && !scan(strings.Join(words[2:], " "), "(%d struck)", &struck) {
		return "", "", 0
	}
	return words[0], words[1], struck
}

// begun adds the named trouble that begins with event i; false where the name is none that is known.
func (r *reader) begun(i int, name string, struck int) bool {
	known, found := named[name]
	if !found {
		return false
	}
	t := known.trouble
	t.At, t.Duration = r.events[i].at, max(0, r.day.Lasts-r.events[i].at)
	for _, e := range r.events[i+1:] {
		if n, what, hit := begins(e.text); n == name && what == "ends" && hit == struck {
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
	r.add(t, assumed)
	return true
}

func share(n, of int) float64 { return min(1, float64(n)/float64(of)) }

// fate is what became of one worker.
type fate struct {
	drains, ends, back time.Duration
	drained, ended     bool
}

// fates follows workers through the changes of the list. Workers are not told apart there: the first to drain is
// the first to go, and the first to go the first to come back.
type fates struct{ list []*fate }

func (f *fates) first(match func(*fate) bool) *fate {
	if i := slices.IndexFunc(f.list, match); i >= 0 {
		return f.list[i]
	}
	return nil
}

// mostAtOnce bounds what one line may change.
const mostAtOnce = 10000

func (f *fates) changed(at time.Duration, ready, draining, gone int) {
	for range min(gone, mostAtOnce) {
		x := f.first(func(x *fate) bool { return x.drained && !x.ended })
		if x == nil {
			x = &fate{drains: at}
			f.list = append(f.list, x)
		}
		x.ends, x.ended = at, true
	}
	for range min(ready, mostAtOnce) {
		if x := f.first(func(x *fate) bool { return x.ended && x.back == 0 }); x != nil {
			x.back = at
		}
	}
	for range min(draining, mostAtOnce) {
		f.list = append(f.list, &fate{drains: at, drained: true})
	}
}

// troubles are the fates as troubles, those of one course together.
func (f *fates) troubles(lasts time.Duration, workers int) (list []scenario.Fault) {
	groups := map[fate]int{}
	var order []fate
	for _, x := range f.list {
		if !x.ended {
			x.ends = lasts
		}
		if x.back == 0 {
			x.back = lasts
		}
		if groups[*x]++; groups[*x] == 1 {
			order = append(order, *x)
		}
	}
	for _, x := range order {
		t := scenario.Fault{At: x.drains, Kind: "crash", Share: share(groups[x], workers), Duration: max(0, x.back-x.drains)}
		if x.drained {
			t.Kind, t.DrainTime = "take-out", max(0, x.ends-x.drains)
		}
		list = append(list, t)
	}
	return list
}
