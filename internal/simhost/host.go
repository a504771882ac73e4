// Package simhost keeps the instances that one bench process plays: it hands
// each its events and gathers its actions. Instances share nothing but the
// process's numbered lists of workers.
package simhost

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"havencart/internal/config/platformconfig"
	"havencart/internal/simwire"
	"havencart/scheduler"
)

const pages = 16

// Host plays the instances of one process.
type Host struct {
	instances map[uint32]*scheduler.Scheduler
	lists     [pages][]scheduler.WorkerInfo
	reply     simwire.Reply
}

// New returns a Host without instances.
func New() *Host { return &Host{instances: map[uint32]*scheduler.Scheduler{}} }

// Run answers batches until the input ends.
func (h *Host) Run(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<20)
	for {
		batch, err := simwire.ReadBatch(r)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read batch: %w", err)
		}
		if err := h.play(batch); err != nil {
			return fmt.Errorf("batch %d: %w", batch.Number, err)
		}
		if err := h.reply.WriteTo(w, batch.Number); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("flush reply %d: %w", batch.Number, err)
		}
	}
}

// play hands a batch's events to their instances and fills the reply.
func (h *Host) play(b *simwire.Batch) error {
	h.reply.Reset()
	current, named := uint32(0), false
	for i := range b.Events {
		e := &b.Events[i]
		switch e.Code {
		case simwire.For:
			current, named = e.Instance, true
			continue
		case simwire.Directory:
			h.lists[e.Page] = e.Workers
			continue
		}
		if !named {
			return fmt.Errorf("%w: event %d before any instance was named", simwire.ErrMalformed, e.Code)
		}
		if err := h.deliver(current, b, e); err != nil {
			return fmt.Errorf("instance %d: %w", current, err)
		}
	}
	return nil
}

// deliver hands one event to its instance. A panic of the decisions is told as the wire provides.
func (h *Host) deliver(id uint32, b *simwire.Batch, e *simwire.Event) (err error) {
	defer func() {
		if trouble := recover(); trouble != nil {
			h.reply.For(id)
			h.reply.InternalError(fmt.Sprint(trouble))
			delete(h.instances, id)
		}
	}()
	switch e.Code {
	case simwire.OpenInstance:
		site, err := platformconfig.Parse(e.Settings, e.Seed)
		if err != nil {
			return fmt.Errorf("%w: %w", simwire.ErrMalformed, err)
		}
		h.instances[id] = scheduler.New(b.Clock, site.Control, actions{&h.reply, id})
		return nil
	case simwire.Detach:
		delete(h.instances, id)
		return nil
	}
	c := h.instances[id]
	if c == nil {
		return nil // an event that crossed with the instance's end
	}
	switch e.Code {
	case simwire.Members:
		if e.List == simwire.ListFailed {
			c.WatchFailed(b.Clock)
		} else {
			c.WorkersChanged(b.Clock, h.lists[e.Page], e.List != simwire.Delta)
		}
	case simwire.Arrival:
		c.RequestReceived(b.Clock, e.Request)
	case simwire.First:
		c.ResponseStarted(b.Clock, e.Request.ID)
	case simwire.Result:
		c.AttemptEnded(b.Clock, e.Outcome)
	case simwire.Lapsed:
		c.ClientDisconnected(b.Clock, e.Request.ID)
	case simwire.Wake:
		c.TimerFired(b.Clock, e.Token)
	case simwire.Pong:
		c.HealthChecked(b.Clock, e.Probed)
	case simwire.LoadDone:
		c.LoadEnded(b.Clock, e.Loaded)
	}
	return nil
}
