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
type Rules struct {
	Classes    map[string]scheduler.Class
	DrainGrace time.Duration
	LoadWindow time.Duration
	LoadFree   float64
	LoadShare  float64
	// Slack is how much later than it happened something may be noted here: the sockets and the scheduler lie
	// between. It is added where a rule names a time.
	Tolerance time.Duration
}

// TermsOf are the terms that settings tell the front ends.
func RulesOf(s *gatewayconfig.Settings, slack time.Duration) Rules {
	terms := Rules{
		Classes: map[string]scheduler.Class{}, DrainGrace: s.DrainGrace, LoadWindow: s.LoadWindow,
		LoadFree: s.LoadFree, LoadShare: s.LoadShare, Tolerance: slack,
	}
	for _, c := range s.Classes {
		terms.Classes[c.Name] = c.Control()
	}
	return terms
}

// Break is one broken rule.
type Violation struct {
	Rule string // lost, twice, drains, cold, loads
	What string
}

// Tally counts what became of the asks.
type Tally struct {
	Sent, Served, Rejected, Failed, Disconnected, AtKilledFrontEnds int
	Attempts, Executions, LoadOrders, WorkerCrashes                 int
}

// Balanced says whether each ask is accounted for.
func (t Tally) Balanced() bool {
	return t.Sent == t.Served+t.Rejected+t.Failed+t.Disconnected+t.AtKilledFrontEnds
}

// String is the tally in a line.
func (t Tally) String() string {
	return fmt.Sprintf("asked %d = served %d + refused %d + failed %d + left %d + at killed front ends %d; %d attempts, "+
		"%d runs, %d orders", t.Sent, t.Served, t.Rejected, t.Failed, t.Disconnected, t.AtKilledFrontEnds, t.Attempts, t.Executions, t.LoadOrders)
}

// Judge judges all that the Book has. It is to be called when everything has ended.
func (b *History) Check(terms Rules) ([]Violation, Tally) {
	b.mu.Lock()
	defer b.mu.Unlock()
	j := &checker{History: b, rules: terms}
	j.checkResponses()
	j.checkExecutions()
	j.checkDraining()
	j.checkColdWorkers()
	j.checkLoadRate()
	return j.violations, j.tally
}

type checker struct {
	*History
	rules      Rules
	violations []Violation
	tally      Tally
	updates    map[string][]EndpointUpdate // by front end, in the order in which they came
}

func (j *checker) violated(rule, format string, args ...any) {
	j.violations = append(j.violations, Violation{rule, fmt.Sprintf(format, args...)})
}

// lost holds rule 1: one final answer to each ask, before its client's patience is over.
func (j *checker) checkResponses() {
	for _, a := range j.requests {
		j.tally.Sent++
		switch {
		case len(a.Responses) == 0 && a.Disconnected:
			j.tally.Disconnected++
		case len(a.Responses) == 0 && j.heldByKilledFrontEnd(a):
			j.tally.AtKilledFrontEnds++
		case len(a.Responses) == 0:
			j.violated("lost", "call %s at %s: no answer (left %t, connection lost %t)", a.ID, a.FrontEnd, a.Disconnected, a.ConnectionLost)
		default:
			j.checkResponse(a)
		}
	}
}

func (j *checker) checkResponse(a *Request) {
	if n := len(a.Responses); n > 1 {
		j.violated("lost", "call %s: %d final answers", a.ID, n)
	}
	first := a.Responses[0]
	if first.At > j.responseDeadline(a)+j.rules.Tolerance {
		j.violated("lost", "call %s: answered after %v, the client waits %v", a.ID, first.At-a.SentAt, a.Timeout)
	}
	switch {
	case first.Outcome == "served" && first.Complete:
		j.tally.Served++
	case first.Outcome == "refused":
		j.tally.Rejected++
	default:
		j.tally.Failed++
	}
}

// due is when the ask must be answered: while its client waits, or, where its front end stood still then, when the
// front end went on.
func (j *checker) responseDeadline(a *Request) time.Duration {
	due := a.SentAt + a.Timeout
	for _, s := range j.stalls {
		if s.FrontEnd == a.FrontEnd && s.From <= due && s.To >= due {
			due = s.To
		}
	}
	return due
}

// killed says whether the ask's front end was killed while it held it.
func (j *checker) heldByKilledFrontEnd(a *Request) bool {
	return slices.ContainsFunc(j.kills, func(k FrontEndKill) bool {
		return k.FrontEnd == a.FrontEnd && k.At >= a.SentAt-j.rules.Tolerance && k.At <= a.SentAt+a.Timeout
	})
}

// twice holds rule 2 by the receipts of each call: what may have run is not sent again beyond what its class
// allows, its effect takes place once, and a refusal is not given for what ran.
func (j *checker) checkExecutions() {
	calls := map[string][]*Attempt{}
	for _, r := range j.attempts {
		j.tally.Attempts++
		j.tally.Executions += r.Executions
		calls[r.RequestID] = append(calls[r.RequestID], r)
	}
	for id, list := range calls {
		class := j.rules.Classes[list[0].Class]
		slices.SortFunc(list, func(a, b *Attempt) int { return a.Number - b.Number })
		switch class.Idempotency {
		case scheduler.NonIdempotent:
			j.checkNonIdempotent(id, list)
		case scheduler.IdempotentByKey:
			j.checkIdempotentByKey(id, list, class)
		}
	}
	for _, a := range j.requests {
		class := j.rules.Classes[a.Class]
		if len(a.Responses) == 0 || a.Responses[0].Outcome != "refused" || class.Idempotency == scheduler.Idempotent ||
			class.Idempotency == scheduler.IdempotentByKey && class.KeyScope == scheduler.ScopeAll {
			continue
		}
		if slices.ContainsFunc(calls[a.ID], mayHaveExecuted) {
			j.violated("twice", "call %s: refused, yet a worker may have run it", a.ID)
		}
	}
}

// mayHaveRun says whether an attempt that a worker received may have had its effect.
func mayHaveExecuted(r *Attempt) bool {
	return r.Outcome != model.Overloaded && r.Outcome != model.NotLoaded
}

func (j *checker) checkNonIdempotent(id string, list []*Attempt) {
	runs := 0
	for i, r := range list {
		runs += r.Executions
		if i > 0 && mayHaveExecuted(list[i-1]) {
			j.violated("twice", "unsafe call %s: sent to %s after %s may have run it", id, r.Worker, list[i-1].Worker)
		}
	}
	if runs > 1 {
		j.violated("twice", "unsafe call %s: %d effects", id, runs)
	}
}

func (j *checker) checkIdempotentByKey(id string, list []*Attempt, class scheduler.Class) {
	runs := 0
	var first *Attempt // that may have run
	for _, r := range list {
		runs += r.Executions
		switch {
		case first == nil:
		case class.KeyScope == scheduler.ScopeCell && r.Cell != first.Cell:
			j.violated("twice", "keyed call %s: sent to cell %s after cell %s may have run it", id, r.Cell, first.Cell)
		case r.At-first.At > class.KeyRetention+j.rules.Tolerance:
			j.violated("twice", "keyed call %s: sent again after %v, the memory is %v", id, r.At-first.At, class.KeyRetention)
		}
		if first == nil && mayHaveExecuted(r) {
			first = r
		}
	}
	if runs > 1 {
		j.violated("twice", "keyed call %s: %d effects", id, runs)
	}
}

// drains holds rule 3: nothing new reaches a worker later than the grace after its front end was told.
func (j *checker) checkDraining() {
	j.updates = map[string][]EndpointUpdate{}
	for _, n := range j.endpointUpdates {
		j.updates[n.FrontEnd] = append(j.updates[n.FrontEnd], n)
	}
	for _, r := range j.attempts {
		j.checkDrainGrace("call "+r.RequestID, r.FrontEnd, r.Worker, r.At)
	}
	for _, o := range j.loadOrders {
		j.tally.LoadOrders++
		if o.Replicas > 0 {
			j.checkDrainGrace("order for "+o.Function, o.FrontEnd, o.Worker, o.At)
		}
	}
}

func (j *checker) checkDrainGrace(what, frontEnd, worker string, at time.Duration) {
	since, shut := time.Duration(0), false
	for _, n := range j.updates[frontEnd] {
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
	if shut && at > since+j.rules.DrainGrace+j.rules.Tolerance {
		j.violated("drains", "%s from %s reached %s %v after the notice", what, frontEnd, worker, at-since)
	}
}

// cold holds rule 4: the work that reached a cold worker within its window, against what it could do.
func (j *checker) checkColdWorkers() {
	for _, f := range j.crashes {
		j.tally.WorkerCrashes++
		j.violated("cold", "%s fell over at %v", f.Worker, f.At)
	}
	recent := map[string][]*Attempt{}
	for _, r := range j.attempts {
		if r.Capacity == 0 {
			continue
		}
		window := time.Duration(r.OverloadWindowSeconds * float64(time.Second))
		key := fmt.Sprint(r.Worker, r.Incarnation)
		list := append(recent[key], r)
		list = slices.DeleteFunc(list, func(x *Attempt) bool { return x.At <= r.At-window })
		recent[key] = list
		total := time.Duration(0)
		for _, x := range list {
			total += x.Work
		}
		if allowed := time.Duration(r.OverloadMultiple * r.Capacity * float64(window)); window > 0 && total > allowed {
			j.violated("cold", "%s was sent %v of work within %v, %v would push it over", r.Worker, total, window, allowed)
		}
	}
}

// loads holds rule 5: orders within the window, against the calls that the front end took in it.
func (j *checker) checkLoadRate() {
	if j.rules.LoadWindow <= 0 {
		return
	}
	given, taken := map[string][]time.Duration{}, map[string][]time.Duration{}
	for _, a := range j.requests {
		taken[a.FrontEnd] = append(taken[a.FrontEnd], a.SentAt)
	}
	for _, o := range j.loadOrders {
		if o.Replicas == 0 {
			continue
		}
		given[o.FrontEnd] = append(given[o.FrontEnd], o.At)
		orders := within(given[o.FrontEnd], o.At-j.rules.LoadWindow+j.rules.Tolerance, o.At)
		asks := within(taken[o.FrontEnd], o.At-j.rules.LoadWindow-j.rules.Tolerance, o.At)
		if float64(orders) > j.rules.LoadFree+j.rules.LoadShare*float64(asks) {
			j.violated("loads", "%s gave %d orders for %d calls within %v", o.FrontEnd, orders, asks, j.rules.LoadWindow)
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
	t.Sent += x.Sent
	t.Served += x.Served
	t.Rejected += x.Rejected
	t.Failed += x.Failed
	t.Disconnected += x.Disconnected
	t.AtKilledFrontEnds += x.AtKilledFrontEnds
	t.Attempts += x.Attempts
	t.Executions += x.Executions
	t.LoadOrders += x.LoadOrders
	t.WorkerCrashes += x.WorkerCrashes
}
