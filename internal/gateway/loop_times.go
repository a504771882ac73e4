package gateway

import (
	"encoding/json"
	"time"

	"github.com/rs/zerolog"
)

// slowStepThreshold is the duration from which a step of the event loop is logged. A request waits for several steps,
// so that the delays add up.
const slowStepThreshold = 25 * time.Millisecond

// loopStep is the kind of a step of an event loop.
type loopStep uint8

// The kinds of steps.
const (
	stepRequest    loopStep = iota // a request is admitted or rejected
	stepEndpoints                  // the endpoint list changed
	stepWorker                     // a worker client reports the progress of its work or of its connection
	stepDisconnect                 // a client disconnected or cancelled its request
	stepTimers                     // timers fired, including those of the scheduler
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

// String returns the name of the kind in logs and totals.
func (s loopStep) String() string { return loopStepNames[s] }

// stepTotals are the totals of one kind of step.
type stepTotals struct {
	Steps   uint64
	Total   time.Duration
	Longest time.Duration
}

// MarshalJSON implements json.Marshaler. It encodes the durations in milliseconds.
func (t stepTotals) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Steps     uint64  `json:"steps"`
		TotalMS   float64 `json:"total-ms"`
		LongestMS float64 `json:"longest-ms"`
	}{t.Steps, millis(t.Total), millis(t.Longest)})
}

// LoopTimes records the time that an event loop has spent on each kind of step since its start, and the longest time
// that a request has waited for it. Times are elapsed times: on a shared core they include the time during which the
// process did not run.
type LoopTimes struct {
	byStep      [loopStepCount]stepTotals
	LongestWait time.Duration // longest time that a request waited in the loop's queue
}

// MarshalJSON implements json.Marshaler. It encodes the totals as an object keyed by the kind of step.
func (t LoopTimes) MarshalJSON() ([]byte, error) {
	named := map[string]any{"longest-wait-ms": millis(t.LongestWait)}
	for step, totals := range t.byStep {
		if totals.Steps > 0 {
			named[loopStep(step).String()] = totals
		}
	}
	return json.Marshal(named)
}

// add adds a step and the time that it took to the totals.
func (t *LoopTimes) add(step loopStep, took time.Duration) {
	totals := &t.byStep[step]
	totals.Steps++
	totals.Total += took
	totals.Longest = max(totals.Longest, took)
}

// endStep records the duration of a step that began at the time began, and logs the step if it was slow.
func (l *EventLoop) endStep(step loopStep, began time.Duration) {
	took := l.Now() - began
	l.times.add(step, took)
	if took >= slowStepThreshold {
		l.addLoopFields(l.log.Warn().Stringer("step", step).Dur("took", took)).Msg("slow step of the event loop")
	}
}

// addLoopFields adds the sizes that the cost of a step may depend on to a log line.
func (l *EventLoop) addLoopFields(line *zerolog.Event) *zerolog.Event {
	return line.Int("requests-queued", len(l.requests)).Int("events-queued", len(l.events)).
		Int("workers", len(l.frontEnd.workers)).Int("functions", l.frontEnd.functions.size()).
		Int("in-flight", len(l.frontEnd.requests))
}
