package invariant

import (
	"fmt"
	"slices"
	"time"

	"havencart/internal/config/gatewayconfig"
	"havencart/lab/model"
	"havencart/scheduler"
)

// Terms are the rules in figures, as the front ends were told them.
type Terms struct {
	Classes    map[string]scheduler.Class
	DrainGrace time.Duration
	LoadWindow time.Duration
	LoadFree   float64
	LoadShare  float64
	// Slack is how much later than it happened something may be noted here: the sockets and the scheduler lie
	// between. It is added where a rule names a time.
	Slack time.Duration
}

// TermsOf are the terms that settings tell the front ends.
func TermsOf(s *gatewayconfig.Settings, slack time.Duration) Terms {
	terms := Terms{Classes: map[string]scheduler.Class{}, DrainGrace: s.DrainGrace, LoadWindow: s.LoadWindow,
		LoadFree: s.LoadFree, LoadShare: s.LoadShare, Slack: slack}
	for _, c := range s.Classes {
		terms.Classes[c.Name] = c.Control()
	}
	return terms
}

// Break is one broken rule.
type Break struct {
	Rule string // lost, twice, drains, cold, loads
	What string
}

// Tally counts what became of the asks.
type Tally struct {
	Asked, Served, Refused, Failed, Left, Killed int
	Attempts, Runs, Orders, Falls                int
}

// Balanced says whether each ask is accounted for.
func (t Tally) Balanced() bool { return t.Asked == t.Served+t.Refused+t.Failed+t.Left+t.Killed }

// String is the tally in a line.
func (t Tally) String() string {
	return fmt.Sprintf("asked %d = served %d + refused %d + failed %d + left %d + at killed front ends %d; %d attempts, "+
		"%d runs, %d orders", t.Asked, t.Served, t.Refused, t.Failed, t.Left, t.Killed, t.Attempts, t.Runs, t.Orders)
}

// Judge judges all that the Book has. It is to be called when everything has ended.
func (b *Book) Judge(terms Terms) ([]Break, Tally) {
	b.mu.Lock()
	defer b.mu.Unlock()
	j := &judge{Book: b, terms: terms}
	j.lost()
	j.twice()
	j.drains()
	j.cold()
	j.loads()
	return j.breaks, j.tally
}

type judge struct {
	*Book
	terms  Terms
	breaks []Break
	tally  Tally
	told   map[string][]Notice // by front end, in the order in which they came
}

func (j *judge) broke(rule, format string, args ...any) {
	j.breaks = append(j.breaks, Break{rule, fmt.Sprintf(format, args...)})
}

// lost holds rule 1: one final answer to each ask, before its client's patience is over.
func (j *judge) lost() {
	for _, a := range j.asks {
		j.tally.Asked++
		switch {
		case len(a.Answers) == 0 && a.Left:
			j.tally.Left++
		case len(a.Answers) == 0 && j.killed(a):
			j.tally.Killed++
		case len(a.Answers) == 0:
			j.broke("lost", "call %s at %s: no answer (left %t, connection lost %t)", a.ID, a.FrontEnd, a.Left, a.Lost)
		default:
			j.answered(a)
		}
	}
}

func (j *judge) answered(a *Ask) {
	if n := len(a.Answers); n > 1 {
		j.broke("lost", "call %s: %d final answers", a.ID, n)
	}
	first := a.Answers[0]
	if first.At > j.due(a)+j.terms.Slack {
		j.broke("lost", "call %s: answered after %v, the client waits %v", a.ID, first.At-a.Sent, a.Patience)
	}
	switch {
	case first.Outcome == "served" && first.Whole:
		j.tally.Served++
	case first.Outcome == "refused":
		j.tally.Refused++
	default:
		j.tally.Failed++
	}
}

// due is when the ask must be answered: while its client waits, or, where its front end stood still then, when the
// front end went on.
func (j *judge) due(a *Ask) time.Duration {
	due := a.Sent + a.Patience
	for _, s := range j.stalls {
		if s.FrontEnd == a.FrontEnd && s.From <= due && s.To >= due {
			due = s.To
		}
	}
	return due
}

// killed says whether the ask's front end was killed while it held it.
func (j *judge) killed(a *Ask) bool {
	return slices.ContainsFunc(j.kills, func(k Kill) bool {
		return k.FrontEnd == a.FrontEnd && k.At >= a.Sent-j.terms.Slack && k.At <= a.Sent+a.Patience
	})
}

// twice holds rule 2 by the receipts of each call: what may have run is not sent again beyond what its class
// allows, its effect takes place once, and a refusal is not given for what ran.
func (j *judge) twice() {
	calls := map[string][]*Receipt{}
	for _, r := range j.receipts {
		j.tally.Attempts++
		j.tally.Runs += r.Ran
		calls[r.ID] = append(calls[r.ID], r)
	}
	for id, list := range calls {
		class := j.terms.Classes[list[0].Class]
		slices.SortFunc(list, func(a, b *Receipt) int { return a.Attempt - b.Attempt })
		switch class.Idempotency {
		case scheduler.NonIdempotent:
			j.unsafe(id, list)
		case scheduler.IdempotentByKey:
			j.keyed(id, list, class)
		}
	}
	for _, a := range j.asks {
		class := j.terms.Classes[a.Class]
		if len(a.Answers) == 0 || a.Answers[0].Outcome != "refused" || class.Idempotency == scheduler.Idempotent ||
			class.Idempotency == scheduler.IdempotentByKey && class.KeyScope == scheduler.ScopeAll {
			continue
		}
		if slices.ContainsFunc(calls[a.ID], mayHaveRun) {
			j.broke("twice", "call %s: refused, yet a worker may have run it", a.ID)
		}
	}
}

// mayHaveRun says whether an attempt that a worker received may have had its effect.
func mayHaveRun(r *Receipt) bool { return r.Answered != model.Overloaded && r.Answered != model.NotLoaded }

func (j *judge) unsafe(id string, list []*Receipt) {
	runs := 0
	for i, r := range list {
		runs += r.Ran
		if i > 0 && mayHaveRun(list[i-1]) {
			j.broke("twice", "unsafe call %s: sent to %s after %s may have run it", id, r.Worker, list[i-1].Worker)
		}
	}
	if runs > 1 {
		j.broke("twice", "unsafe call %s: %d effects", id, runs)
	}
}

func (j *judge) keyed(id string, list []*Receipt, class scheduler.Class) {
	runs := 0
	var first *Receipt // that may have run
	for _, r := range list {
		runs += r.Ran
		switch {
		case first == nil:
		case class.KeyScope == scheduler.ScopeCell && r.Cell != first.Cell:
			j.broke("twice", "keyed call %s: sent to cell %s after cell %s may have run it", id, r.Cell, first.Cell)
		case r.At-first.At > class.KeyRetention+j.terms.Slack:
			j.broke("twice", "keyed call %s: sent again after %v, the memory is %v", id, r.At-first.At, class.KeyRetention)
		}
		if first == nil && mayHaveRun(r) {
			first = r
		}
	}
	if runs > 1 {
		j.broke("twice", "keyed call %s: %d effects", id, runs)
	}
}

// drains holds rule 3: nothing new reaches a worker later than the grace after its front end was told.
func (j *judge) drains() {
	j.told = map[string][]Notice{}
	for _, n := range j.notices {
		j.told[n.FrontEnd] = append(j.told[n.FrontEnd], n)
	}
	for _, r := range j.receipts {
		j.late("call "+r.ID, r.FrontEnd, r.Worker, r.At)
	}
	for _, o := range j.orders {
		j.tally.Orders++
		if o.Copies > 0 {
			j.late("order for "+o.Function, o.FrontEnd, o.Worker, o.At)
		}
	}
}

func (j *judge) late(what, frontEnd, worker string, at time.Duration) {
	since, shut := time.Duration(0), false
	for _, n := range j.told[frontEnd] {
		if n.At > at {
			break
		}
		state, listed := n.States[worker]
		open := listed && state == scheduler.Ready
		if !open && !shut {
			since = n.At
		}
		shut = !open
	}
	if shut && at > since+j.terms.DrainGrace+j.terms.Slack {
		j.broke("drains", "%s from %s reached %s %v after the notice", what, frontEnd, worker, at-since)
	}
}

// cold holds rule 4: the work that reached a cold worker within its window, against what it could do.
func (j *judge) cold() {
	for _, f := range j.falls {
		j.tally.Falls++
		j.broke("cold", "%s fell over at %v", f.Worker, f.At)
	}
	recent := map[string][]*Receipt{}
	for _, r := range j.receipts {
		if r.Capacity == 0 {
			continue
		}
		window := time.Duration(r.TipWindowInSec * float64(time.Second))
		key := fmt.Sprint(r.Worker, r.Life)
		list := append(recent[key], r)
		list = slices.DeleteFunc(list, func(x *Receipt) bool { return x.At <= r.At-window })
		recent[key] = list
		total := time.Duration(0)
		for _, x := range list {
			total += x.Work
		}
		if allowed := time.Duration(r.TipMultiple * r.Capacity * float64(window)); window > 0 && total > allowed {
			j.broke("cold", "%s was sent %v of work within %v, %v would push it over", r.Worker, total, window, allowed)
		}
	}
}

// loads holds rule 5: orders within the window, against the calls that the front end took in it.
func (j *judge) loads() {
	if j.terms.LoadWindow <= 0 {
		return
	}
	given, taken := map[string][]time.Duration{}, map[string][]time.Duration{}
	for _, a := range j.asks {
		taken[a.FrontEnd] = append(taken[a.FrontEnd], a.Sent)
	}
	for _, o := range j.orders {
		if o.Copies == 0 {
			continue
		}
		given[o.FrontEnd] = append(given[o.FrontEnd], o.At)
		orders := within(given[o.FrontEnd], o.At-j.terms.LoadWindow+j.terms.Slack, o.At)
		asks := within(taken[o.FrontEnd], o.At-j.terms.LoadWindow-j.terms.Slack, o.At)
		if float64(orders) > j.terms.LoadFree+j.terms.LoadShare*float64(asks) {
			j.broke("loads", "%s gave %d orders for %d calls within %v", o.FrontEnd, orders, asks, j.terms.LoadWindow)
		}
	}
}

// within counts the times after from, up to and at to; they are in order.
func within(times []time.Duration, from, to time.Duration) int {
	after := func(t time.Duration) int {
		i, _ := slices.BinarySearch(times, t+1)
		return i
	}
	return after(to) - after(from)
}

// Add adds another tally.
func (t *Tally) Add(x Tally) {
	t.Asked += x.Asked
	t.Served += x.Served
	t.Refused += x.Refused
	t.Failed += x.Failed
	t.Left += x.Left
	t.Killed += x.Killed
	t.Attempts += x.Attempts
	t.Runs += x.Runs
	t.Orders += x.Orders
	t.Falls += x.Falls
}
