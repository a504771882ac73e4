// Package shadow evaluates other settings beside those of the running scheduler: it counts where the scheduler would
// have decided otherwise. The running scheduler is not affected. For each sampled event, a copy of it that has the
// other settings is given the same event, and the actions of the two are compared. The copy is then dropped, so that
// each comparison starts from what really happened; what would follow from another decision is not seen, nor what
// would have been learned by it.
package shadow

import (
	"time"

	"havencart/scheduler"
)

// Settings are the settings to evaluate.
type Settings struct {
	// Scheduler must have as many classes and tenants as the running scheduler's settings.
	Scheduler scheduler.Settings
	// SampleInterval is the number of events of which one is sampled; 0 and 1 sample all.
	SampleInterval int
}

// Scheduler is a scheduler.Scheduler that evaluates other settings beside its own. Events that have no method here go
// to the running scheduler alone. Like that, it belongs to one goroutine.
type Scheduler struct {
	*scheduler.Scheduler
	settings    Settings
	decided     *recorder // actions of the running scheduler
	alternative *recorder // actions of the copy
	events      int
	counts      Counts
	report      func(difference string)
}

// New returns a Scheduler that starts at now with its own settings, evaluates other, and carries out its actions on
// actions. It calls report for each difference with its kind, in words for a log.
func New(
	now time.Duration, own scheduler.Settings, other Settings, actions scheduler.Actions, report func(difference string),
) *Scheduler {
	s := &Scheduler{
		settings:    other,
		decided:     newRecorder(actions),
		alternative: newRecorder(discardActions{}),
		report:      report,
	}
	s.Scheduler = scheduler.New(now, own, s.decided)
	return s
}

// Counts returns the totals since the start.
func (s *Scheduler) Counts() Counts { return s.counts }

// WorkersChanged hands on a change of the endpoint list.
func (s *Scheduler) WorkersChanged(now time.Duration, list []scheduler.WorkerInfo, whole bool) {
	s.observe(func(target *scheduler.Scheduler) { target.WorkersChanged(now, list, whole) })
}

// TimerFired hands on a timer.
func (s *Scheduler) TimerFired(now time.Duration, token uint64) {
	s.observe(func(target *scheduler.Scheduler) { target.TimerFired(now, token) })
}

// RequestReceived hands on a request.
func (s *Scheduler) RequestReceived(now time.Duration, request scheduler.Request) {
	s.observe(func(target *scheduler.Scheduler) { target.RequestReceived(now, request) })
}

// AttemptEnded hands on the end of an attempt.
func (s *Scheduler) AttemptEnded(now time.Duration, outcome scheduler.Outcome) {
	s.observe(func(target *scheduler.Scheduler) { target.AttemptEnded(now, outcome) })
}

// ClientDisconnected hands on the disconnection of a request's client.
func (s *Scheduler) ClientDisconnected(now time.Duration, id scheduler.RequestID) {
	s.observe(func(target *scheduler.Scheduler) { target.ClientDisconnected(now, id) })
}

// LoadEnded hands on the result of a load order or residency query.
func (s *Scheduler) LoadEnded(now time.Duration, result scheduler.LoadResult) {
	s.observe(func(target *scheduler.Scheduler) { target.LoadEnded(now, result) })
}

// observe has the running scheduler handle an event, and if the event is sampled, first a copy of it with the other
// settings.
func (s *Scheduler) observe(handle func(target *scheduler.Scheduler)) {
	s.decided.reset()
	s.events++
	if !s.sampled() {
		handle(s.Scheduler)
		return
	}
	s.alternative.reset()
	handle(s.Clone(s.settings.Scheduler, s.alternative))
	handle(s.Scheduler)
	s.counts.Compared++
	s.compare()
}

// sampled reports whether the current event is one of those to compare.
func (s *Scheduler) sampled() bool { return s.events%max(1, s.settings.SampleInterval) == 0 }
