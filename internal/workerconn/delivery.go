package workerconn

import "time"

// deliveryState is how far an attempt or a load order has got on its way to the worker.
//
//	notQueued -> queued -> sending -> sent -> ended
//	    |           |         |
//	    +-----------+---------+-> unsent
//
// An attempt or order is also ended from sending, if it is abandoned or its response arrives before the write returns.
// A load order that is abandoned while it is queued is ended too.
type deliveryState uint8

const (
	notQueued deliveryState = iota // no client has accepted it
	queued                         // waits in a send queue and can still be cancelled
	sending                        // in the write under way: the worker may or may not receive it whole
	sent                           // written whole: the worker may have it
	ended                          // reported as ended, or abandoned; the worker may have had it
	unsent                         // reported as ended, cancelled or rejected; the worker never had it
)

// delivery is the number and the state of one attempt or load order. The lock of the client that sends it guards it.
// All transitions of the state are methods of this type.
type delivery struct {
	number         uint64
	state          deliveryState
	writeStartedAt time.Duration // on the client's clock; 0: no write of it has started
}

// enqueue begins a delivery under a number.
func (d *delivery) enqueue(number uint64) {
	d.number = number
	d.state = queued
}

// startSending records that the frame is part of the write that starts now.
func (d *delivery) startSending(now time.Duration) {
	d.state = sending
	d.writeStartedAt = now
}

// finishSending records that the write wrote the whole frame.
func (d *delivery) finishSending() { d.state = sent }

// cancel records that the frame was never sent whole.
func (d *delivery) cancel() { d.state = unsent }

// end records that nothing more is reported of what the worker may have received.
func (d *delivery) end() { d.state = ended }

// isInFlight tells whether the frame is being written or was written, and nothing has ended the delivery.
func (d *delivery) isInFlight() bool { return d.state == sending || d.state == sent }
