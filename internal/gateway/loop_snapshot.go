package gateway

import "time"

// Counts returns the loop's totals, or the zero value if the loop has ended. It waits for the loop to process the
// query.
func (l *EventLoop) Counts() Counts { return l.Snapshot().Counts }

// LoopSnapshot is the state of an EventLoop at one point in time.
type LoopSnapshot struct {
	Counts    Counts
	Times     LoopTimes
	Workers   int // workers that are listed, or that were removed and still have work in flight
	Functions int // functions with requests in flight or before, as far as they are remembered
	// FunctionsEvicted counts the functions that were forgotten because clients named too many.
	FunctionsEvicted uint64
	ShedReasons      ReasonCounts // requests that were rejected without being admitted
	InFlight         int          // requests that await their final response or have an attempt in flight
}

// Snapshot returns the loop's state, or the zero value if the loop has ended. It waits for the loop to process the
// query.
func (l *EventLoop) Snapshot() LoopSnapshot {
	reply := make(chan LoopSnapshot, 1)
	l.post(stepOther, func(time.Duration) { reply <- l.snapshot() })
	select {
	case snapshot := <-reply:
		return snapshot
	case <-l.done:
		return LoopSnapshot{}
	}
}

func (l *EventLoop) snapshot() LoopSnapshot {
	return LoopSnapshot{
		Counts:    l.counts(),
		Times:     l.times,
		Workers:   len(l.frontEnd.workers),
		Functions: l.frontEnd.functions.size(),
		InFlight:  len(l.frontEnd.requests),

		FunctionsEvicted: l.frontEnd.functions.evicted,
		ShedReasons:      l.shedReasons(),
	}
}

// shedReasons returns the reasons of the requests that were rejected by the FrontEnd and outside of it.
func (l *EventLoop) shedReasons() ReasonCounts {
	reasons, _ := l.gate.rejected.load()
	reasons.Add(l.frontEnd.shedReasons)
	return reasons
}

// counts returns the FrontEnd's totals together with the requests that were rejected or expired outside of the
// FrontEnd.
func (l *EventLoop) counts() Counts {
	counts := l.frontEnd.Counts()
	_, rejected := l.gate.rejected.load()
	counts.Shed += rejected
	counts.Expired += l.gate.expired.Load()
	return counts
}
