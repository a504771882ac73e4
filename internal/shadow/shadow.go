// Package shadow evaluates alternative settings against those of the running scheduler: it counts the decisions that
// the scheduler would have made differently. The running scheduler is not affected. For each sampled event, a copy of
// the scheduler with the alternative settings handles the same event, and the actions of the two are compared. The copy
// is then discarded, so that each comparison starts from the actual state. A comparison therefore covers neither the
// consequences of a different decision nor what the scheduler would have learned from it.
package shadow

import (
	"time"

	"havencart/scheduler"
)

// Settings configures the evaluation of alternative settings.
type Settings struct {
	// Scheduler holds the alternative settings. It must have as many classes and tenants as the running scheduler's
	// settings.
	Scheduler scheduler.Settings
	// SampleInterval is the sampling interval in events: one of every SampleInterval events is compared. 0 and 1
	// compare every event.
	SampleInterval int
}

// Scheduler is a scheduler.Scheduler that also evaluates alternative settings. Events for which Scheduler has no method
// of its own reach the running scheduler only and are not compared. Like scheduler.Scheduler, it must be used by a
// single goroutine.
type Scheduler struct {
	*scheduler.Scheduler
	settings    Settings
	actual      *recorder // actions of the running scheduler
	alternative *recorder // actions of the copy that handles the current event
	events      int       // events handled since the start
	counts      Counts
	report      func(difference string)
}

// New returns a Scheduler that starts at now with the settings own, performs its actions through actions and evaluates
// the alternative settings other. It calls report with the kind of each difference, as a log text.
func New(
	now time.Duration, own scheduler.Settings, other Settings, actions scheduler.Actions, report func(difference string),
) *Scheduler {
	s := &Scheduler{
		settings:    other,
		actual:      newRecorder(actions),
		alternative: newRecorder(discardActions{}),
		report:      report,
	}
	s.Scheduler = scheduler.New(now, own, s.actual)
	return s
}

// Counts returns the counts since the start.
func (s *Scheduler) Counts() Counts { return s.counts }

// WorkersChanged handles a change of the endpoint list, or the complete list if complete is set.
func (s *Scheduler) WorkersChanged(now time.Duration, list []scheduler.WorkerInfo, complete bool) {
	s.observe(func(target *scheduler.Scheduler) { target.WorkersChanged(now, list, complete) })
}

// TimerFired handles the expiry of a timer.
func (s *Scheduler) TimerFired(now time.Duration, token uint64) {
	s.observe(func(target *scheduler.Scheduler) { target.TimerFired(now, token) })
}

// RequestReceived handles a new request.
func (s *Scheduler) RequestReceived(now time.Duration, request scheduler.Request) {
	s.observe(func(target *scheduler.Scheduler) { target.RequestReceived(now, request) })
}

// AttemptEnded handles the end of an attempt.
func (s *Scheduler) AttemptEnded(now time.Duration, outcome scheduler.Outcome) {
	s.observe(func(target *scheduler.Scheduler) { target.AttemptEnded(now, outcome) })
}

// ClientDisconnected handles the disconnection of a request's client.
func (s *Scheduler) ClientDisconnected(now time.Duration, id scheduler.RequestID) {
	s.observe(func(target *scheduler.Scheduler) { target.ClientDisconnected(now, id) })
}

// LoadEnded handles the result of a load order or residency query.
func (s *Scheduler) LoadEnded(now time.Duration, result scheduler.LoadResult) {
	s.observe(func(target *scheduler.Scheduler) { target.LoadEnded(now, result) })
}

// observe calls handle with the running scheduler. If the event is sampled, observe first calls handle with a copy of
// the scheduler that has the alternative settings, and compares the actions of the two.
func (s *Scheduler) observe(handle func(target *scheduler.Scheduler)) {
	s.actual.reset()
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

// sampled reports whether the current event is to be compared.
func (s *Scheduler) sampled() bool { return s.events%max(1, s.settings.SampleInterval) == 0 }
