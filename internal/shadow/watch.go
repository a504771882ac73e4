// Package shadow tells where a front end would decide otherwise with other settings. The module that decides is left
// alone: for each event that is looked at, a copy of it that goes by the other settings is given the same event, and
// what the two ask for is compared. The copy is then dropped, so that each comparison starts from what really
// happened; what would follow from another decision is not seen, nor what would have been learned by it.
package shadow

import (
	"time"

	"havencart/scheduler"
)

// Counts are the decisions that would have been otherwise, by kind.
type Counts struct {
	Compared       uint64 // events compared
	OtherWorker    uint64 // calls sent to another worker
	OtherQueueing  uint64 // calls held and not sent, or the other way about
	OtherResponse  uint64 // calls refused, failed or advised otherwise
	LoadOrder      uint64 // orders to load given or kept back
	ResidencyQuery uint64 // questions for standing copies asked or spared
	Cancellation   uint64 // calls called back or left out
}

// Add adds other counts.
func (c *Counts) Add(x Counts) {
	c.Compared += x.Compared
	c.OtherWorker += x.OtherWorker
	c.OtherQueueing += x.OtherQueueing
	c.OtherResponse += x.OtherResponse
	c.LoadOrder += x.LoadOrder
	c.ResidencyQuery += x.ResidencyQuery
	c.Cancellation += x.Cancellation
}

// Settings are those that are watched.
type Settings struct {
	Scheduler      scheduler.Settings // with as many classes and tenants as the module's own
	SampleInterval int                // one event in so many is looked at
}

// Module decides by its own settings and watches others. It takes the events of a control.Controller.
type Scheduler struct {
	*scheduler.Scheduler
	set    Settings
	asked  *recorder // of the module that decides
	other  *recorder // of the copy
	events int
	counts Counts
	differ func(kind string)
}

// New returns a Module that starts now; differ is told the kind of each difference.
func New(now time.Duration, own scheduler.Settings, other Settings, a scheduler.Actions, differ func(kind string)) *Scheduler {
	m := &Scheduler{set: other, differ: differ, asked: newRecorder(a), other: newRecorder(nothing{})}
	m.Scheduler = scheduler.New(now, own, m.asked)
	return m
}

// Counts are the totals so far.
func (m *Scheduler) Counts() Counts { return m.counts }

// look has an event taken by the module, and by a copy that goes by the other settings.
func (m *Scheduler) look(event func(*scheduler.Scheduler)) {
	m.asked.reset()
	if m.events++; m.events%max(1, m.set.SampleInterval) != 0 {
		event(m.Scheduler)
		return
	}
	m.other.reset()
	event(m.Scheduler.Clone(m.set.Scheduler, m.other))
	event(m.Scheduler)
	m.counts.Compared++
	m.compare(m.asked, m.other)
}

// Workers takes a change of the list of workers.
func (m *Scheduler) WorkersChanged(now time.Duration, list []scheduler.WorkerInfo, whole bool) {
	m.look(func(c *scheduler.Scheduler) { c.WorkersChanged(now, list, whole) })
}

// Woke takes a wake-up.
func (m *Scheduler) TimerFired(now time.Duration, token uint64) {
	m.look(func(c *scheduler.Scheduler) { c.TimerFired(now, token) })
}

// Arrive takes a request.
func (m *Scheduler) RequestReceived(now time.Duration, r scheduler.Request) {
	m.look(func(c *scheduler.Scheduler) { c.RequestReceived(now, r) })
}

// Outcome takes the end of an attempt.
func (m *Scheduler) AttemptEnded(now time.Duration, o scheduler.Outcome) {
	m.look(func(c *scheduler.Scheduler) { c.AttemptEnded(now, o) })
}

// Gone takes the news that a client left.
func (m *Scheduler) ClientDisconnected(now time.Duration, id scheduler.RequestID) {
	m.look(func(c *scheduler.Scheduler) { c.ClientDisconnected(now, id) })
}

// Loaded takes the answer to an order.
func (m *Scheduler) LoadEnded(now time.Duration, l scheduler.LoadResult) {
	m.look(func(c *scheduler.Scheduler) { c.LoadEnded(now, l) })
}

// compare counts the differences between what was asked for and what the other settings would have had asked.
func (m *Scheduler) compare(own, other *recorder) {
	for r, w := range own.sent {
		if x, sent := other.sent[r]; sent && x != w {
			m.count(&m.counts.OtherWorker, "another worker")
		} else if _, answered := other.answered[r]; !sent && !answered {
			m.count(&m.counts.OtherQueueing, "held")
		}
	}
	for r := range other.sent {
		_, sent := own.sent[r]
		if _, answered := own.answered[r]; !sent && !answered {
			m.count(&m.counts.OtherQueueing, "sent")
		}
	}
	for range differing(own.answered, other.answered) {
		m.count(&m.counts.OtherResponse, "refused or advised otherwise")
	}
	for o := range differing(own.orders, other.orders) {
		if o.copies > 0 {
			m.count(&m.counts.LoadOrder, "a load given or kept back")
		} else {
			m.count(&m.counts.ResidencyQuery, "a question asked or spared")
		}
	}
	for range differing(own.canceled, other.canceled) {
		m.count(&m.counts.Cancellation, "called back or left out")
	}
}

func (m *Scheduler) count(n *uint64, kind string) {
	*n++
	m.differ(kind)
}

// differing are the keys that only one of two tables has, or that have another value there.
func differing[K, V comparable](a, b map[K]V) map[K]struct{} {
	out := map[K]struct{}{}
	for key, x := range a {
		if y, both := b[key]; !both || x != y {
			out[key] = struct{}{}
		}
	}
	for key := range b {
		if _, both := a[key]; !both {
			out[key] = struct{}{}
		}
	}
	return out
}
