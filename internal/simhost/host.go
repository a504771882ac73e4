// Package simhost runs schedulers for the simulator. It delivers the events of each batch to the instances that they
// are addressed to and returns the actions of all instances in one reply. Each instance represents one front end.
// Instances share no state except the numbered endpoint lists of the process.
package simhost

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"havencart/internal/config/platformconfig"
	"havencart/internal/simwire"
	"havencart/scheduler"
)

// bufferSize is the size of the input buffer and of the output buffer, in bytes. Most batches fit into it.
const bufferSize = 1 << 20

// Host holds the instances of one process. It is not safe for concurrent use.
type Host struct {
	instances     map[uint32]*scheduler.Scheduler
	endpointLists [simwire.MaxLists][]scheduler.WorkerInfo
	reply         simwire.Reply
}

// New returns a Host that has no instances yet.
func New() *Host { return &Host{instances: map[uint32]*scheduler.Scheduler{}} }

// Run reads batches from in and writes one reply per batch to out until the input ends. The returned error wraps
// simwire.ErrMalformed if the input violates the protocol. A panic in a scheduler is not returned as an error: Run
// reports it in the reply and removes the instance.
func (h *Host) Run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, bufferSize)
	writer := bufio.NewWriterSize(out, bufferSize)
	for {
		batch, err := simwire.ReadBatch(reader)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read batch: %w", err)
		}
		if err := h.process(batch); err != nil {
			return fmt.Errorf("batch %d: %w", batch.Number, err)
		}
		if err := h.reply.WriteTo(writer, batch.Number); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("flush reply %d: %w", batch.Number, err)
		}
	}
}

// process delivers the events of a batch and builds the reply.
func (h *Host) process(batch *simwire.Batch) error {
	h.reply.Reset()
	instance, selected := uint32(0), false
	for i := range batch.Events {
		event := &batch.Events[i]
		switch event.Code {
		case simwire.SelectInstance:
			instance, selected = event.Instance, true
			continue
		case simwire.EndpointList:
			h.endpointLists[event.ListNumber] = event.Workers
			continue
		}
		if !selected {
			return fmt.Errorf("%w: event %d before an instance was selected", simwire.ErrMalformed, event.Code)
		}
		if err := h.deliver(instance, batch.Clock, event); err != nil {
			return fmt.Errorf("instance %d: %w", instance, err)
		}
	}
	return nil
}

// deliver delivers one event to its instance. If the scheduler panics, deliver adds an internal error to the reply and
// removes the instance.
func (h *Host) deliver(instance uint32, now time.Duration, event *simwire.Event) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			h.reply.SelectInstance(instance)
			h.reply.InternalError(fmt.Sprint(cause))
			delete(h.instances, instance)
		}
	}()
	switch event.Code {
	case simwire.OpenInstance:
		return h.open(instance, now, event)
	case simwire.CloseInstance:
		delete(h.instances, instance)
		return nil
	}
	if s, exists := h.instances[instance]; exists {
		h.dispatch(s, now, event)
	}
	return nil // an event for a missing instance was in transit when the instance ended
}

// open starts an instance. It replaces an existing instance with the same number.
func (h *Host) open(instance uint32, now time.Duration, event *simwire.Event) error {
	site, err := platformconfig.ParseSettings(event.Settings, event.Seed)
	if err != nil {
		return fmt.Errorf("%w: %w", simwire.ErrMalformed, err)
	}
	h.instances[instance] = scheduler.New(now, site.Scheduler, instanceActions{&h.reply, instance})
	return nil
}

// dispatch calls the scheduler method that corresponds to an event.
func (h *Host) dispatch(target *scheduler.Scheduler, now time.Duration, event *simwire.Event) {
	switch event.Code {
	case simwire.EndpointsChanged:
		h.endpointsChanged(target, now, event)
	case simwire.RequestReceived:
		target.RequestReceived(now, event.Request)
	case simwire.ResponseStarted:
		target.ResponseStarted(now, event.Request.ID)
	case simwire.AttemptEnded:
		target.AttemptEnded(now, event.Outcome)
	case simwire.ClientDisconnected:
		target.ClientDisconnected(now, event.Request.ID)
	case simwire.TimerFired:
		target.TimerFired(now, event.TimerToken)
	case simwire.HealthChecked:
		target.HealthChecked(now, event.HealthCheck)
	case simwire.LoadEnded:
		target.LoadEnded(now, event.Load)
	}
}

func (h *Host) endpointsChanged(target *scheduler.Scheduler, now time.Duration, event *simwire.Event) {
	if event.ListKind == simwire.WatchFailed {
		target.WatchFailed(now)
		return
	}
	whole := event.ListKind != simwire.DeltaList
	target.WorkersChanged(now, h.endpointLists[event.ListNumber], whole)
}
