package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/discovery"
	"havencart/internal/native/muxclient"
	"havencart/scheduler"
)

// This file explores the life of calls exhaustively in a small scope: every order of what can happen to two
// calls on two workers, on the real Front and the real module, up to a depth. What is seen at the links and by
// the clients is held to the rules at each step and at the end.

// world is one path: a Front and what links and clients saw.
type world struct {
	*bench
	classes  [2]int
	calls    [2]*Request
	finals   [2]int
	kind     [2]ResponseKind
	arrivals int
	leftBy   [2]bool
	late     []*muxclient.Attempt // given up here after they had left
	drained  bool
	sends    map[string][]send
	path     []string
	wrong    string
}

// send is one attempt as a worker could know of it.
type send struct {
	attempt *muxclient.Attempt
	cell    int
	at      time.Duration
	never   bool // it is known not to have run
	left    bool
}

// spy is a link that notes each attempt and keeps it in the write buffer until it is told to write.
type spy struct {
	*fakeLink
	w *world
}

func (s spy) Send(a *muxclient.Attempt) *muxclient.Result {
	s.w.sent(s.fakeLink, a)
	return s.fakeLink.Send(a)
}

func (s spy) Abandon(a *muxclient.Attempt) bool {
	left := s.fakeLink.Abandon(a)
	if left {
		s.w.late = append(s.w.late, a)
	} else {
		s.w.note(a).never = true
	}
	return left
}

func (s spy) Drain(d time.Duration) ([]*muxclient.Attempt, []*muxclient.LoadOrder) {
	taken, orders := s.fakeLink.Drain(d)
	for _, a := range taken {
		s.w.note(a).never = true
	}
	return taken, orders
}

func (w *world) OpenWorker(id scheduler.WorkerID, info discovery.Worker) WorkerClient {
	l := w.bench.OpenWorker(id, info).(*fakeLink)
	l.holds = true
	return spy{l, w}
}

func (w *world) note(a *muxclient.Attempt) *send {
	list := w.sends[a.Request.ID]
	for i := range list {
		if list[i].attempt == a {
			return &list[i]
		}
	}
	panic("an attempt that was never sent")
}

func (w *world) fail(format string, args ...any) {
	if w.wrong == "" {
		w.wrong = fmt.Sprintf(format, args...)
	}
}

// sent holds rules 2 and 3 at the moment at which an attempt is handed to a link.
func (w *world) sent(l *fakeLink, a *muxclient.Attempt) {
	id := a.Request.ID
	i := int(id[0] - '0')
	cell := int(l.name[1]-'0') % 2
	if w.finals[i] > 0 || w.leftBy[i] {
		w.fail("call %d is sent after its end", i)
	}
	if l.drained {
		w.fail("call %d is sent to a worker that drains", i)
	}
	for _, earlier := range w.sends[id] {
		if earlier.never {
			continue
		}
		switch w.classes[i] {
		case unsafe:
			w.fail("unsafe call %d is sent again, and may have run", i)
		case keyed:
			if earlier.cell != cell || w.at-earlier.at > time.Second {
				w.fail("keyed call %d is sent again outside its cell or memory", i)
			}
		}
	}
	w.sends[id] = append(w.sends[id], send{attempt: a, cell: cell, at: w.at})
}

// answered holds rule 1, and that no refusal is given to what may have run.
func (w *world) answered(i int, f FinalResponse) {
	w.finals[i]++
	w.kind[i] = f.Kind
	if w.finals[i] > 1 {
		w.fail("call %d has %d final answers", i, w.finals[i])
	}
	if w.leftBy[i] {
		w.fail("call %d is answered after its client left", i)
	}
	if w.at >= w.calls[i].StartedAt+w.calls[i].Timeout {
		w.fail("call %d is answered after its client's patience", i)
	}
	if f.Kind != Rejected || w.classes[i] == safe {
		return
	}
	for _, s := range w.sends[w.calls[i].ID] {
		if !s.never {
			w.fail("call %d is refused, and may have run", i)
		}
	}
}

func newWorld(t *testing.T, of [2]int) *world {
	w := &world{classes: of, sends: map[string][]send{}}
	w.bench = &bench{T: t, at: time.Minute, links: map[string]*fakeLink{}}
	set := Settings{Scheduler: classes(), Name: "fe", Classes: []string{"safe", "keyed", "unsafe"}, DeadlineMargin: 20 * ms, MaxInFlight: 100,
		ClockStart: time.Unix(0, 0)}
	w.FrontEnd = New(w.at, set, w, zerolog.Nop())
	w.list(2, nil)
	return w
}

// step is something that can happen now.
type step struct {
	name string
	do   func()
}

// steps lists all that can happen now, in an order that is always the same.
func (w *world) steps() (list []step) {
	add := func(do func(), format string, args ...any) {
		list = append(list, step{fmt.Sprintf(format, args...), do})
	}
	if w.arrivals < 2 {
		add(w.arrive, "call %d arrives", w.arrivals)
	}
	for _, name := range []string{"w0", "w1"} {
		l := w.links[name]
		for _, a := range l.queued {
			add(func() { w.leaves(l, a) }, "%s leaves for %s", a.Request.ID, name)
			add(func() { w.ends(l, a, scheduler.ConnectFailed) }, "%s finds no connection to %s", a.Request.ID, name)
		}
		for _, a := range l.left {
			if mine := w.attempts[a]; mine != nil && mine.begun {
				add(func() { w.ends(l, a, scheduler.OK) }, "%s ends", a.Request.ID)
				add(func() { w.ends(l, a, scheduler.Reset) }, "%s breaks off", a.Request.ID)
				continue
			}
			for _, s := range []scheduler.Status{scheduler.OK, scheduler.Error, scheduler.Overloaded, scheduler.Reset} {
				add(func() { w.ends(l, a, s) }, "%s at %s ends with status %d", a.Request.ID, name, s)
			}
			add(func() {
				w.ResponseStarted(w.at, a, muxclient.Result{Status: scheduler.OK, QueueDepth: -1, Response: &muxclient.Response{}})
			}, "%s begins", a.Request.ID)
		}
	}
	for _, a := range w.late {
		add(func() {
			w.AttemptEnded(w.at, a, muxclient.Result{Status: scheduler.OK, QueueDepth: -1, Response: &muxclient.Response{}})
		}, "%s late", a.Request.ID)
	}
	for i := range w.arrivals {
		if w.finals[i] == 0 && !w.leftBy[i] {
			add(func() { w.leftBy[i] = true; w.ClientDisconnected(w.at, w.calls[i]) }, "client %d leaves", i)
		}
	}
	if w.drained {
		add(func() { w.drained = false; w.list(2, nil) }, "w0 is ready")
	} else {
		add(func() { w.drained = true; w.list(2, map[string]scheduler.WorkerState{"w0": scheduler.Draining}) }, "w0 drains")
	}
	add(func() { w.pass(900 * ms) }, "900ms pass")
	return list
}

func (w *world) arrive() {
	i := w.arrivals
	w.arrivals++
	c := NewRequestTo(func(f FinalResponse) { w.answered(i, f) })
	c.ID, c.Class, c.StartedAt, c.Timeout = fmt.Sprint(i), w.classes[i], w.at, 2*time.Second
	c.Replica.Function, c.Replica.MemoryMB, c.Replica.Concurrency = "f", 100, 2
	w.calls[i] = c
	w.RequestReceived(w.at, c)
}

func (w *world) leaves(l *fakeLink, a *muxclient.Attempt) {
	if w.drained && l.name == "w0" {
		w.fail("call %s leaves for a worker that drains", a.Request.ID)
	}
	l.drop(a)
	l.left = append(l.left, a)
	w.note(a).left = true
}

func (w *world) ends(l *fakeLink, a *muxclient.Attempt, s scheduler.Status) {
	l.drop(a)
	w.note(a).never = s == scheduler.ConnectFailed || s == scheduler.Overloaded
	w.AttemptEnded(w.at, a, muxclient.Result{Status: s, QueueDepth: -1, Response: &muxclient.Response{}})
}

// finish lets all time pass: each call whose client stayed must have its answer.
func (w *world) finish() {
	w.pass(2100 * ms)
	for i := range w.arrivals {
		if w.finals[i] == 0 && !w.leftBy[i] {
			w.fail("call %d has no answer", i)
		}
	}
	if w.Counts().PastDeadline > 0 {
		w.fail("the module left a call overdue")
	}
}

// explorer walks all paths of a depth by playing each from its beginning.
type explorer struct {
	t       *testing.T
	classes [2]int
	depth   int
	paths   int
}

func (e *explorer) walk(prefix []int) {
	w := newWorld(e.t, e.classes)
	var next []step
	for _, choice := range prefix {
		s := w.steps()[choice]
		w.path = append(w.path, s.name)
		s.do()
	}
	if next = w.steps(); len(prefix) < e.depth && w.wrong == "" {
		for i := range next {
			e.walk(append(prefix[:len(prefix):len(prefix)], i))
			if e.t.Failed() {
				return
			}
		}
		return
	}
	e.paths++
	w.finish()
	if w.wrong != "" {
		e.t.Errorf("%s, after: %s", w.wrong, strings.Join(w.path, "; "))
	}
}

func TestEveryOrderKeepsTheRules(t *testing.T) {
	depth := 6
	if testing.Short() {
		depth = 5
	}
	total := 0
	for _, classes := range [][2]int{{unsafe, keyed}, {keyed, keyed}, {unsafe, unsafe}, {safe, unsafe}} {
		e := &explorer{t: t, classes: classes, depth: depth}
		e.walk([]int{0}) // a call arrives first
		total += e.paths
	}
	t.Logf("%d orders of %d events each", total, depth+1)
	if total < 5000 {
		t.Errorf("only %d paths: the scope has shrunk", total)
	}
}
