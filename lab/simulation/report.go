package simulation

import (
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	"havencart/lab/invariant"
	"havencart/lab/model"
)

// maxLogLines is the maximum number of lines in Result.Log.
const maxLogLines = 300

// log adds a line with the current time to Result.Log.
func (s *Simulation) log(text string) {
	if len(s.logLines) < maxLogLines {
		s.logLines = append(s.logLines, fmt.Sprintf("%7.2fs %s", s.clock.Now().Seconds(), text))
	}
}

// Write implements io.Writer for the loggers of the front ends. It adds their log lines to Result.Log.
func (s *Simulation) Write(line []byte) (int, error) {
	s.log(strings.TrimSpace(string(line)))
	return len(line), nil
}

// recordSample records the state of the installation now and every second from now on.
func (s *Simulation) recordSample() {
	var sample Sample
	for _, f := range s.frontEnds {
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

// result checks the event history against the invariants and returns the result of the run. The result holds no
// reference to the Simulation, which can be large.
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
	for _, f := range s.frontEnds {
		r.Counts.Add(f.totals())
	}
	return r
}

// Names of the events in the trace. They are part of the hash in Result.Trace.
const (
	traceAttemptReceived   = "received"
	traceResponseSent      = "answered"
	traceLoadOrderReceived = "ordered"
	traceAttemptSent       = "send"
	traceLoadOrderSent     = "load"
	traceFinalResponse     = "final"
)

// recordTrace adds an event to the trace, with the current time.
func (s *Simulation) recordTrace(event string, numbers ...uint64) {
	var b []byte
	b = binary.LittleEndian.AppendUint64(b, uint64(s.clock.Now()))
	b = append(b, event...)
	for _, n := range numbers {
		b = binary.LittleEndian.AppendUint64(b, n)
	}
	_, _ = s.trace.Write(b) // Digest.Write never fails
}

// tracingObserver adds the events at the workers to the event history and the trace. It also breaks the connections of
// a worker that crashes from overload.
type tracingObserver struct {
	*invariant.History
	sim *Simulation
}

// RequestReceived implements model.Observer, as do the other methods.
func (o tracingObserver) RequestReceived(w *model.Worker, r *model.Request) {
	o.sim.recordTrace(traceAttemptReceived+w.Config.Name+r.ID, uint64(r.Attempt))
	o.History.RequestReceived(w, r)
}

func (o tracingObserver) ResponseSent(w *model.Worker, r *model.Request, outcome model.Outcome) {
	o.sim.recordTrace(traceResponseSent+w.Config.Name+r.ID, uint64(outcome))
	o.History.ResponseSent(w, r, outcome)
}

func (o tracingObserver) LoadOrderReceived(w *model.Worker, frontEnd, function string, replicas int) {
	o.sim.recordTrace(traceLoadOrderReceived+w.Config.Name+frontEnd+function, uint64(replicas))
	o.History.LoadOrderReceived(w, frontEnd, function, replicas)
}

func (o tracingObserver) WorkerCrashed(w *model.Worker) {
	o.History.WorkerCrashed(w)
	o.sim.clock.After(0, func() { o.sim.breakConnections(w) })
}

// breakConnections breaks the connections of all front ends to a worker.
func (s *Simulation) breakConnections(w *model.Worker) {
	for _, f := range s.frontEnds {
		for _, c := range f.workerClients {
			if c.worker == w {
				c.breakAtWorker()
			}
		}
	}
}
