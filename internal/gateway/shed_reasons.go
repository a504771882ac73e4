package gateway

import (
	"encoding/json"
	"sync/atomic"
)

// ReasonCounts counts requests that were rejected without being admitted, indexed by Reason.
type ReasonCounts [reasonCount]uint64

// MarshalJSON implements json.Marshaler. It encodes the nonzero counts as an object keyed by the text of the reason.
func (c ReasonCounts) MarshalJSON() ([]byte, error) {
	named := map[string]uint64{}
	for reason, count := range c {
		if count > 0 {
			named[Reason(reason).String()] = count
		}
	}
	return json.Marshal(named)
}

// Add adds other counts to c.
func (c *ReasonCounts) Add(other ReasonCounts) {
	for reason, count := range other {
		c[reason] += count
	}
}

// sharedReasonCounts are ReasonCounts that any goroutine may use.
type sharedReasonCounts [reasonCount]atomic.Uint64

// count counts a request that was rejected for the given reason.
func (c *sharedReasonCounts) count(reason Reason) { c[reason].Add(1) }

// load returns the counts and their total.
func (c *sharedReasonCounts) load() (counts ReasonCounts, total uint64) {
	for reason := range c {
		counts[reason] = c[reason].Load()
		total += counts[reason]
	}
	return counts, total
}

// logShed logs a request that was rejected without the FrontEnd. The caller may be any goroutine.
func (l *EventLoop) logShed(request *Request, reason Reason) {
	if line := l.shedLog.Info(); line.Enabled() {
		addShedFields(line, request, reason).Msg("request shed")
	}
}
