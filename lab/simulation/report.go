package simulation

import (
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	"havencart/lab/invariant"
	"havencart/lab/model"
)

// maxLogLines bounds Result.Log.
const maxLogLines = 300

// log keeps a line of what happens.
func (s *Simulation) log(text string) {
	if len(s.logLines) < maxLogLines {
		s.logLines = append(s.logLines, fmt.Sprintf("%7.2fs %s", s.clock.Now().Seconds(), text))
	}
}

// Write implements io.Writer: it keeps the front ends' log lines.
func (s *Simulation) Write(line []byte) (int, error) {
	s.log(strings.TrimSpace(string(line)))
	return len(line), nil
}

// recordSample records the state of the installation, now and each second from now on.
func (s *Simulation) recordSample() {
	var sample Sample
	for _, f := range s.fronts {
		if f.alive {
			sample.InFlight += f.gateway.InFlight()
		}
		c := f.totals()
		sample.Served += c.Served
		sample.Rejected += c.Rejected + c.Shed
		sample.Failed += c.Failed
		sample.Attempts += c.Attempts
		sample.LoadOrders += c.LoadOrders
	}
	for _, w := range s.workers {
		sample.Replicas += w.ReplicaCount()
		sample.Queued += w.QueueLength()
	}
	sample.Fetches = s.store.Fetches
	s.samples = append(s.samples, sample)
	s.clock.After(time.Second, s.recordSample)
}

// result checks the history against the invariants and sums up the run. It keeps nothing of the Simulation alive.
func (s *Simulation) result() Result {
	rules := invariant.RulesOf(s.settings, 2*s.cfg.NetworkLatency)
	r := Result{
		Score:    s.history.Score(rules.Classes),
		Store:    s.store.StoreTotals,
		Trace:    s.trace.Sum64(),
		Outcomes: s.outcomes,
		Samples:  s.samples,
		Log:      s.logLines,
	}
	r.Violations, r.Tally = s.history.Check(rules)
	for _, f := range s.fronts {
		r.Counts.Add(f.totals())
	}
	return r
}

// Events of the trace. Their text is part of its hash.
const (
	traceAttemptReceived   = "received"
	traceResponseSent      = "answered"
	traceLoadOrderReceived = "ordered"
	traceAttemptSent       = "send"
	traceLoadOrderSent     = "load"
	traceFinalResponse     = "final"
)

// recordTrace adds an event that happens now to the trace.
func (s *Simulation) recordTrace(event string, numbers ...uint64) {
	var b []byte
	b = binary.LittleEndian.AppendUint64(b, uint64(s.clock.Now()))
	b = append(b, event...)
	for _, n := range numbers {
		b = binary.LittleEndian.AppendUint64(b, n)
	}
	_, _ = s.trace.Write(b) // a hash never fails
}

// tracingObserver adds what workers see to the history and the trace, and breaks the connections of a worker that
// crashes.
type tracingObserver struct {
	*invariant.History
	s *Simulation
}

// RequestReceived implements model.Observer, as do the methods below.
func (o tracingObserver) RequestReceived(w *model.Worker, r *model.Request) {
	o.s.recordTrace(traceAttemptReceived+w.Config.Name+r.ID, uint64(r.Attempt))
	o.History.RequestReceived(w, r)
}

func (o tracingObserver) ResponseSent(w *model.Worker, r *model.Request, outcome model.Outcome) {
	o.s.recordTrace(traceResponseSent+w.Config.Name+r.ID, uint64(outcome))
	o.History.ResponseSent(w, r, outcome)
}

func (o tracingObserver) LoadOrderReceived(w *model.Worker, frontEnd, function string, replicas int) {
	o.s.recordTrace(traceLoadOrderReceived+w.Config.Name+frontEnd+function, uint64(replicas))
	o.History.LoadOrderReceived(w, frontEnd, function, replicas)
}

func (o tracingObserver) WorkerCrashed(w *model.Worker) {
	o.History.WorkerCrashed(w)
	o.s.clock.After(0, func() { o.s.breakConnections(w) })
}

// breakConnections breaks the connections of all front ends to a worker.
func (s *Simulation) breakConnections(w *model.Worker) {
	for _, f := range s.fronts {
		for _, c := range f.workers {
			if c.worker == w {
				c.breakAtWorker()
			}
		}
	}
}
