// Package tenancy decides which calls a front end takes when tenants want more than there is: those of tenants
// that keep to their share always, of the others as much as is left. It is pure: times come in as durations
// since the process's start, and it draws no chance.
//
// Each front end decides by what it sees itself. Calls are weighed by the work that they are expected to make,
// since a tenant whose calls take twenty times as long takes twenty times as much. What is idle may be borrowed,
// without end, while nobody who keeps to a share suffers by it; docs/tenants.md weighs the other ways.
package tenancy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Tuned values. None belongs to one installation.
const (
	memory    = 3 * time.Second        // of the rates of work, at the least
	longest   = 30 * time.Second       // and at the most, at a front end that sees few calls
	enough    = 100.0                  // calls that it should hold
	doubt     = 2.0                    // times the chance in a count, that must be beyond a share as well
	soon      = time.Second            // memory of how calls ended
	late      = 10 * time.Second       // the same, at a front end that sees few
	present   = 2 * time.Second        // without a call of theirs that ended, nobody is there to suffer
	fewEnded  = 20.0                   // calls lately: with fewer, how they ended says little
	settled   = 5 * time.Second        // after the first call: before it, all load what they need and are late for that
	step      = 100 * time.Millisecond // between two looks at who takes how much
	costPrior = 100 * time.Millisecond // of a call, before any was measured
	overPart  = 1.5                    // times what the others ask for their shares: who asks more is beyond its own
	badPart   = 0.04                   // of the calls of those within their shares: more that ended badly tell a shortage
	badLeast  = 2.0                    // of them lately, so that one call alone tells nothing
	strict    = 1.0                    // restraint at which nothing is lent but what those within their shares leave
	strictest = 2.0                    // and at which not even that is: at full use, all wait for each other
	tighten   = 0.5                    // of restraint, for each step of a shortage, up to strict
	further   = 0.1                    // and beyond, and back: what is done follows only after some time
	loosen    = 0.01                   // back from strict, for each step without
	lendMost  = 8.0                    // times what is left, lent at the least restraint
	least     = 1e-9                   // a share, where none is told
	faded     = 0.01                   // of a call: who asked for less lately counts as idle
)

// By says by what shares are held.
type By int

// The ways.
const (
	Work    By = iota // what a tenant's calls take at the workers
	Calls             // their number: each counts as the same work
	Nothing           // shares are not held
)

// Settings are what the tenants were promised.
type Settings struct {
	Shares []float64 // by tenant; parts of their sum. 0 is nothing that others must leave
	Quotas []float64 // calls a second at this front end at most; 0, or none told: no such limit
	By     By
}

// Verdict is what becomes of a call.
type Verdict int

// The verdicts.
const (
	Admit Verdict = iota
	OverQuota
	OverShare
)

// String tells a client why.
func (v Verdict) String() string {
	return [...]string{"taken", "its tenant's quota is used up", "its tenant is beyond its share while others lack theirs"}[v]
}

// Tenancy is the state of one front end.
type Tenancy struct {
	set       Settings
	tenants   []tenant
	active    []int         // tenants that asked lately
	began     time.Duration // the first call
	seen      fading        // calls
	memory    time.Duration // of the rates of work
	looked    time.Duration
	spent     fading        // work that was done
	heard     time.Duration // the last end of a call of a tenant within its share
	soon      ends          // of the calls of tenants within their shares
	late      ends          // the same, with a longer memory
	restraint float64       // of lending, 0 to strictest
}

type tenant struct {
	calls  fading  // that arrived
	asked  float64 // work that they are, by what calls take now
	cost   float64 // mean of its calls, in seconds
	active bool
	over   bool    // asks for more than its share
	pass   float64 // part of its calls that are taken
	credit float64 // towards the next call that is taken
	due    time.Duration
}

// New returns a Tenancy in which nobody asked for anything.
func New(set Settings) *Tenancy {
	return &Tenancy{set: set, tenants: make([]tenant, len(set.Shares)), memory: memory}
}

// Arrived takes an arrival at now and says whether it is taken.
func (t *Tenancy) RequestReceived(now time.Duration, n int) Verdict {
	if n >= len(t.tenants) {
		return Admit
	}
	if t.set.By == Nothing {
		if !t.inQuota(now, n) {
			return OverQuota
		}
		return Admit
	}
	if t.looked == 0 {
		t.began, t.looked = now, now
	}
	if now-t.looked >= step {
		t.look(now)
	}
	x := &t.tenants[n]
	t.seen.add(now, late, 1)
	if x.calls.add(now, t.memory, 1); !x.active {
		x.active, x.pass, x.over = true, 1, false
		t.active = append(t.active, n)
	}
	if !t.inQuota(now, n) {
		return OverQuota
	}
	if x.credit += x.pass; x.credit < 1 {
		return OverShare
	}
	x.credit--
	return Admit
}

// weight is what a call counts for that takes so many seconds, 0 where that is not known.
func (t *Tenancy) weight(cost float64) float64 {
	if t.set.By == Calls {
		return costPrior.Seconds()
	}
	return cmp.Or(cost, costPrior.Seconds())
}

// inQuota is the generic cell rate algorithm (ITU-T I.371), with a second's calls at once.
func (t *Tenancy) inQuota(now time.Duration, n int) bool {
	if n >= len(t.set.Quotas) || t.set.Quotas[n] <= 0 {
		return true
	}
	x, each := &t.tenants[n], time.Duration(float64(time.Second)/t.set.Quotas[n])
	if x.due > now+max(0, time.Second-each) {
		return false
	}
	x.due = max(x.due, now) + each
	return true
}

// End is how a call ended that was taken.
type RequestEnd struct {
	Work            time.Duration // that its function's calls make, 0 where that is not known
	Served          bool
	MissedObjective bool // for want of room: refused, timed out or late
}

// Ended takes the end of a call that was taken.
func (t *Tenancy) RequestEnded(now time.Duration, n int, e RequestEnd) {
	if n >= len(t.tenants) || t.set.By == Nothing {
		return
	}
	x := &t.tenants[n]
	if e.Work > 0 {
		x.cost = blend(x.cost, e.Work, costWindow)
	}
	if e.Served {
		t.spent.add(now, t.memory, t.weight(e.Work.Seconds()))
	}
	if x.over || now-t.began < settled {
		return
	}
	t.heard = now
	t.soon.add(now, soon, e.MissedObjective)
	t.late.add(now, late, e.MissedObjective)
}

// short says whether those within their shares suffer.
func (t *Tenancy) short(now time.Duration) bool {
	if now-t.heard > present {
		return false
	}
	ended, bad := t.soon.now(now, soon)
	if ended < fewEnded {
		ended, bad = t.late.now(now, late)
	}
	return bad >= badLeast && bad > badPart*ended
}

// look judges who asks for more than a share, whether those who do not suffer, and what the others may have.
//
// It guards against a tenant's rush that takes what others were promised. It could harm where those within
// their shares end badly by a fault of their own, say functions slower than their aim: the others then get
// their shares and what these leave, and no more.
func (t *Tenancy) look(now time.Duration) {
	if now-t.looked > late {
		t.restraint = 0 // nobody asked for anything meanwhile
	}
	t.looked = now
	rate := t.seen.now(now, late) / min(late, now-t.began+step).Seconds()
	t.memory = min(longest, max(memory, time.Duration(enough/max(rate, 1)*float64(time.Second))))
	asked, weights := t.settle(now)
	switch short := t.short(now); {
	case short && t.restraint < strict:
		t.restraint = min(strict, t.restraint+tighten)
	case short:
		t.restraint = min(strictest, t.restraint+further)
	case t.restraint > strict:
		t.restraint = max(strict, t.restraint-further)
	default:
		t.restraint = max(0, t.restraint-loosen)
	}
	over, within := t.over(asked, weights)
	if t.restraint > 0 && len(over) > 0 {
		t.share(over, within, weights, t.spent.now(now, t.memory))
	}
}

// over finds who asks for more, for its share, than the others do in the mean: the greediest first, and what it
// asks for is then no measure for the others any longer, so that two do not make each other look modest. It
// returns them, and what the others ask for.
func (t *Tenancy) over(asked, weights float64) (over []int, within float64) {
	slices.SortFunc(t.active, func(a, b int) int { return cmp.Or(cmp.Compare(t.want(b), t.want(a)), cmp.Compare(a, b)) })
	for i, n := range t.active {
		x, share := &t.tenants[n], t.set.Shares[n]
		x.pass = 1
		if x.over = len(over) == i && x.surely()*(weights-share) > overPart*(asked-x.asked)*max(share, least); x.over {
			over = append(over, n)
			asked, weights = asked-x.asked, weights-share
		}
	}
	return over, asked
}

// surely is what a tenant asks for, less what may be chance in the number of its calls. It guards against taking
// whoever called twice lately for greedy, where a front end sees a call of each tenant now and then.
func (x *tenant) surely() float64 {
	return x.asked * max(0, 1-doubt/math.Sqrt(max(x.calls.value, least)))
}

// want is what a tenant asks for, for its share.
func (t *Tenancy) want(n int) float64 { return t.tenants[n].asked / max(t.set.Shares[n], least) }

// settle forgets who asked for nothing lately, and returns what the others asked for, and the sum of their shares.
func (t *Tenancy) settle(now time.Duration) (asked, weights float64) {
	t.active = slices.DeleteFunc(t.active, func(n int) bool {
		x := &t.tenants[n]
		calls := x.calls.now(now, t.memory)
		if calls < faded {
			x.active, x.over = false, false
			return true
		}
		x.asked = calls * t.weight(x.cost)
		asked += x.asked
		weights += t.set.Shares[n]
		return false
	})
	return asked, max(weights, least)
}

// share divides what is done, less what the others ask for, among those who are over, by weighted max-min
// fairness (D. Bertsekas, R. Gallager, "Data Networks", 6.5): who wants least for its share first. None gets less
// than its share of what is done.
//
// What is done stands for what can be done: it is, while all that can be done is, and where it is less, more and
// more is lent until somebody suffers by it.
func (t *Tenancy) share(over []int, within, weights, spent float64) {
	mine := 0.0
	for _, n := range over {
		mine += t.set.Shares[n]
	}
	own := spent * mine / weights
	left := max(own, spent-within)
	if t.restraint < strict {
		left *= math.Pow(lendMost, strict-t.restraint)
	} else {
		left -= (t.restraint - strict) * (left - own)
	}
	for _, n := range slices.Backward(over) {
		x, part := &t.tenants[n], 0.0
		if mine > 0 {
			part = left * t.set.Shares[n] / mine
		}
		given := min(x.asked, part)
		left, mine = left-given, mine-t.set.Shares[n]
		x.pass = given / x.asked
	}
}

// Restraint is how far lending is held back now, 0 to 2: at 0 all is lent that is asked for, at 1 what those within
// their shares leave, at 2 nothing.
func (t *Tenancy) Restraint() float64 { return t.restraint }
