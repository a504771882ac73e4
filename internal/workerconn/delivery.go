package workerconn

import "time"

// deliveryState is the progress of an attempt or a load order on its way to the worker.
//
//	notQueued -> queued -> sending -> sent -> ended
//	    |           |         |
//	    +-----------+---------+-> unsent
//
// The state also changes from sending to ended if the attempt or load order is abandoned, or if its response arrives,
// before the write returns. A load order that is abandoned while it is queued becomes ended as well.
type deliveryState uint8

const (
	notQueued deliveryState = iota // not accepted by a client yet
	queued                         // waiting in a send queue; it can still be cancelled
	sending                        // part of the write in progress; the worker may or may not receive it completely
	sent                           // written completely; the worker may have received it
	ended                          // reported as ended, or abandoned; the worker may have received it
	unsent                         // reported as ended, cancelled or rejected; the worker never received it
)

// delivery holds the number and the state of one attempt or load order. It is guarded by the lock of the client that
// sends the attempt or load order. Only methods of delivery change the state.
type delivery struct {
	number         uint64
	state          deliveryState
	frame          uint64        // number of the frame on its connection, see receipts; 0: no write has started
	writeStartedAt time.Duration // on the client's clock; 0: no write has started
}

// enqueue starts a delivery under a number.
func (d *delivery) enqueue(number uint64) {
	d.number = number
	d.state = queued
}

// startSending records that the frame is part of the write that starts at now, under its number on the connection.
func (d *delivery) startSending(now time.Duration, frame uint64) {
	d.state = sending
	d.frame = frame
	d.writeStartedAt = now
}

// finishSending records that the frame was written completely.
func (d *delivery) finishSending() { d.state = sent }

// cancel records that the frame was never sent completely.
func (d *delivery) cancel() { d.state = unsent }

// end records that nothing more will be reported about a frame that the worker may have received.
func (d *delivery) end() { d.state = ended }

// isInFlight reports whether the frame is being written or was written and the delivery has not ended.
func (d *delivery) isInFlight() bool { return d.state == sending || d.state == sent }
