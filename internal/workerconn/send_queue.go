package workerconn

import "time"

// SendQueue holds the frames that wait to be written to one connection, and the attempts and load orders that were
// written to it and have no response yet. It tracks whether the worker may have received each of them. Frame is the
// type of the protocol's other frames, such as cancellations and health checks.
//
// A SendQueue does no locking: its owner must hold the same lock at each call. The owner must also limit how much it
// pushes.
type SendQueue[Frame any] struct {
	queue            []QueueItem[Frame]
	inFlightAttempts map[uint64]*Attempt   // attempts in state sending or sent, by number
	inFlightLoads    map[uint64]*LoadOrder // load orders in state sending or sent, by number
	writingNewWork   bool                  // the write in progress contains attempts or orders to load replicas
	receipts         receipts
}

// QueueItem is one frame that waits to be written: an attempt, a load order, or another frame of the protocol.
type QueueItem[Frame any] struct {
	Attempt *Attempt
	Load    *LoadOrder
	Frame   Frame // valid if Attempt and Load are nil
}

// delivery returns the delivery of the item's attempt or load order, nil for other frames.
func (i QueueItem[Frame]) delivery() *delivery {
	switch {
	case i.Attempt != nil:
		return &i.Attempt.delivery
	case i.Load != nil:
		return &i.Load.delivery
	}
	return nil
}

// Number returns the number under which the item's attempt or load order was pushed, 0 for other frames.
func (i QueueItem[Frame]) Number() uint64 {
	if delivery := i.delivery(); delivery != nil {
		return delivery.number
	}
	return 0
}

// writeDeadline returns the time from which the item may no longer be written, 0 if there is none.
func (i QueueItem[Frame]) writeDeadline() time.Duration {
	if i.Attempt == nil {
		return 0
	}
	return i.Attempt.writeDeadline()
}

// isExpired reports whether the item may no longer be written at now.
func (i QueueItem[Frame]) isExpired(now time.Duration) bool {
	deadline := i.writeDeadline()
	return deadline > 0 && now >= deadline
}

// permitEnd returns the end of the item's permit, 0 if it has no permit that ends before the deadline for the response.
func (i QueueItem[Frame]) permitEnd() time.Duration {
	if i.Attempt == nil {
		return 0
	}
	return i.Attempt.permitEnd()
}

// isLateWrite reports whether a write of the item that returned at now ended after the item's permit, allowing for
// lateWriteTolerance.
func (i QueueItem[Frame]) isLateWrite(now time.Duration) bool {
	end := i.permitEnd()
	return end > 0 && now > end+lateWriteTolerance
}

// confirmedUntil returns the time until which the worker itself has confirmed that it accepts the item.
func (i QueueItem[Frame]) confirmedUntil() time.Duration {
	switch {
	case i.Attempt != nil:
		return i.Attempt.ConfirmedUntil
	case i.Load != nil:
		return i.Load.ConfirmedUntil
	}
	return 0
}

// isNewWork reports whether the item may make the worker execute a request or load replicas.
func (i QueueItem[Frame]) isNewWork() bool {
	return i.Attempt != nil || i.Load != nil && i.Load.isNewWork()
}

// NewSendQueue returns an empty SendQueue.
func NewSendQueue[Frame any]() SendQueue[Frame] {
	return SendQueue[Frame]{inFlightAttempts: map[uint64]*Attempt{}, inFlightLoads: map[uint64]*LoadOrder{}}
}

// Push queues a frame that is neither an attempt nor a load order.
func (q *SendQueue[Frame]) Push(frame Frame) {
	q.queue = append(q.queue, QueueItem[Frame]{Frame: frame})
}

// PushAttempt queues an attempt under a number that must be unique on this connection.
func (q *SendQueue[Frame]) PushAttempt(number uint64, attempt *Attempt) {
	attempt.delivery.enqueue(number)
	q.queue = append(q.queue, QueueItem[Frame]{Attempt: attempt})
}

// PushLoad queues a load order under a number that must be unique on this connection.
func (q *SendQueue[Frame]) PushLoad(number uint64, order *LoadOrder) {
	order.delivery.enqueue(number)
	q.queue = append(q.queue, QueueItem[Frame]{Load: order})
}

// Queued returns the number of items that wait to be written.
func (q *SendQueue[Frame]) Queued() int { return len(q.queue) }

// InFlight returns the number of attempts and load orders that were or are being written and have no response yet.
func (q *SendQueue[Frame]) InFlight() int { return len(q.inFlightAttempts) + len(q.inFlightLoads) }

// Unfinished returns the number of attempts and load orders that are queued or in flight.
func (q *SendQueue[Frame]) Unfinished() int {
	count := q.InFlight()
	for _, item := range q.queue {
		if item.delivery() != nil {
			count++
		}
	}
	return count
}

// HasNumber reports whether an attempt or load order with this number is queued or in flight.
func (q *SendQueue[Frame]) HasNumber(number uint64) bool {
	if q.inFlightAttempts[number] != nil || q.inFlightLoads[number] != nil {
		return true
	}
	for _, item := range q.queue {
		if delivery := item.delivery(); delivery != nil && delivery.number == number {
			return true
		}
	}
	return false
}

// InFlightAttempt returns the attempt in flight with this number, nil if there is none.
func (q *SendQueue[Frame]) InFlightAttempt(number uint64) *Attempt { return q.inFlightAttempts[number] }

// FinishAttempt ends the attempt in flight with this number and returns it, nil if there is none. The owner calls it
// when the worker's response is complete.
func (q *SendQueue[Frame]) FinishAttempt(number uint64) *Attempt {
	attempt := q.inFlightAttempts[number]
	if attempt != nil {
		delete(q.inFlightAttempts, number)
		attempt.delivery.end()
		q.ConfirmReceipt(attempt.delivery.frame)
	}
	return attempt
}

// FinishLoad ends the load order in flight with this number and returns it, nil if there is none.
func (q *SendQueue[Frame]) FinishLoad(number uint64) *LoadOrder {
	order := q.inFlightLoads[number]
	if order != nil {
		delete(q.inFlightLoads, number)
		order.delivery.end()
		q.ConfirmReceipt(order.delivery.frame)
	}
	return order
}

// CancelUnsent removes an attempt if it is still queued, and reports whether it was.
func (q *SendQueue[Frame]) CancelUnsent(attempt *Attempt) bool {
	if attempt.delivery.state != queued {
		return false
	}
	removed := q.removeIf(func(item QueueItem[Frame]) bool { return item.Attempt == attempt })
	return len(removed) > 0
}

// IsSending reports whether the write in progress contains the attempt.
func (q *SendQueue[Frame]) IsSending(attempt *Attempt) bool { return attempt.delivery.state == sending }

// Abandon gives up an attempt. It returns whether the attempt was in flight, and whether the worker may have received
// the attempt.
//
// The caller may also abandon an attempt that has already ended, if it has not processed the event that reports the end
// yet. The worker may have received such an attempt although the queue no longer holds it.
func (q *SendQueue[Frame]) Abandon(attempt *Attempt) (wasInFlight, mayHaveBeenSent bool) {
	wasInFlight = attempt.delivery.isInFlight()
	if wasInFlight {
		attempt.delivery.end()
		delete(q.inFlightAttempts, attempt.delivery.number)
	} else {
		q.CancelUnsent(attempt)
	}
	return wasInFlight, attempt.MayHaveBeenSent()
}

// AbandonLoad gives up a load order. A response to it will be ignored.
func (q *SendQueue[Frame]) AbandonLoad(order *LoadOrder) {
	if order.delivery.state == queued {
		q.removeIf(func(item QueueItem[Frame]) bool { return item.Load == order })
	}
	order.delivery.end()
	delete(q.inFlightLoads, order.delivery.number)
}

// RemoveQueued removes and returns all queued items, none of which was sent.
func (q *SendQueue[Frame]) RemoveQueued() []QueueItem[Frame] {
	return q.removeIf(func(QueueItem[Frame]) bool { return true })
}

// RemoveNewWork removes and returns the queued attempts and orders to load replicas, which must not be sent to a
// draining worker.
func (q *SendQueue[Frame]) RemoveNewWork() (attempts []*Attempt, orders []*LoadOrder) {
	for _, item := range q.removeIf(QueueItem[Frame].isNewWork) {
		if item.Attempt != nil {
			attempts = append(attempts, item.Attempt)
		} else {
			orders = append(orders, item.Load)
		}
	}
	return attempts, orders
}

// removeIf removes the queued items that match and returns them in queue order. None of them was sent.
func (q *SendQueue[Frame]) removeIf(match func(QueueItem[Frame]) bool) (removed []QueueItem[Frame]) {
	kept := q.queue[:0]
	for _, item := range q.queue {
		if !match(item) {
			kept = append(kept, item)
			continue
		}
		if delivery := item.delivery(); delivery != nil {
			delivery.cancel()
		}
		removed = append(removed, item)
	}
	clear(q.queue[len(kept):])
	q.queue = kept
	return removed
}

// RemoveInFlight removes and returns the attempts and load orders in flight on a connection that broke. The worker may
// have received them.
func (q *SendQueue[Frame]) RemoveInFlight() (removed []QueueItem[Frame]) {
	for _, attempt := range q.inFlightAttempts {
		attempt.delivery.end()
		removed = append(removed, QueueItem[Frame]{Attempt: attempt})
	}
	for _, order := range q.inFlightLoads {
		order.delivery.end()
		removed = append(removed, QueueItem[Frame]{Load: order})
	}
	clear(q.inFlightAttempts)
	clear(q.inFlightLoads)
	q.writingNewWork = false
	q.receipts.awaited = nil
	return removed
}
