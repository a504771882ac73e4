package gateway

import (
	"encoding/json"
	"time"

	"github.com/rs/zerolog"
)

// slowStep is from when on a step of the event loop is logged: a request waits for several of them.
const slowStep = 25 * time.Millisecond

// loopStep is a kind of work of an event loop.
type loopStep uint8

// The kinds of work.
const (
	stepRequest    loopStep = iota // a request is admitted or rejected
	stepEndpoints                  // the endpoint list changed
	stepWorker                     // a worker client reports a response, an end or a connection
	stepDisconnect                 // a client cancelled or disconnected
	stepTimers                     // timers are due, the scheduler's ticks among them
	stepOther
	loopStepCount int = iota
)

var loopStepNames = [loopStepCount]string{
	stepRequest:    "request",
	stepEndpoints:  "endpoints",
	stepWorker:     "worker",
	stepDisconnect: "disconnect",
	stepTimers:     "timers",
	stepOther:      "other",
}

// String returns the kind as logs and totals name it.
func (s loopStep) String() string { return loopStepNames[s] }

// stepTotals are the totals of one kind of work.
type stepTotals struct {
	Steps   uint64
	Total   time.Duration
	Longest time.Duration
}

// MarshalJSON writes the durations in milliseconds.
func (t stepTotals) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Steps     uint64  `json:"steps"`
		TotalMS   float64 `json:"total-ms"`
		LongestMS float64 `json:"longest-ms"`
	}{t.Steps, millis(t.Total), millis(t.Longest)})
}

// LoopTimes are what an event loop spent its time on since its start, and how long requests waited for it. Times are the
// clock's: on a shared core they contain the time in which the process did not run.
type LoopTimes struct {
	byStep      [loopStepCount]stepTotals
	LongestWait time.Duration // of a request in the loop's queue
}

// MarshalJSON writes the totals by name.
func (t LoopTimes) MarshalJSON() ([]byte, error) {
	named := map[string]any{"longest-wait-ms": millis(t.LongestWait)}
	for step, totals := range t.byStep {
		if totals.Steps > 0 {
			named[loopStep(step).String()] = totals
		}
	}
	return json.Marshal(named)
}

// add notes a step that took a time.
func (t *LoopTimes) add(step loopStep, took time.Duration) {
	totals := &t.byStep[step]
	totals.Steps++
	totals.Total += took
	totals.Longest = max(totals.Longest, took)
}

// endStep notes that a step which began at a time has ended, and logs it where it was slow.
func (l *EventLoop) endStep(step loopStep, began time.Duration) {
	took := l.Now() - began
	l.times.add(step, took)
	if took >= slowStep {
		l.describe(l.log.Warn().Stringer("step", step).Dur("took", took)).Msg("slow step of the event loop")
	}
}

// describe adds what the cost of a step may depend on.
func (l *EventLoop) describe(line *zerolog.Event) *zerolog.Event {
	return line.Int("requests-queued", len(l.requests)).Int("events-queued", len(l.events)).
		Int("workers", len(l.frontEnd.workers)).Int("functions", len(l.frontEnd.functions)).
		Int("in-flight", len(l.frontEnd.requests))
}
