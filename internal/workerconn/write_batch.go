package workerconn

import (
	"time"

	"havencart/internal/decide/execution"
	"havencart/scheduler"
)

// minWriteTimeout is the shortest timeout of a write, so that a write does not fail because its goroutine was scheduled
// late. It is within the 50 ms by which the platform's rules extend every time limit.
const minWriteTimeout = 20 * time.Millisecond

// lateWriteTolerance is how long after its permit a write may end without counting as late, because the clock is read
// only after the write has returned.
const lateWriteTolerance = 50 * time.Millisecond

// maxBatchBytes limits how much one write passes to the operating system, so that the frames queued behind it can still
// be cancelled.
const maxBatchBytes = 16 << 10

// maxRetainedBytes is the maximum capacity of a buffer that is kept for the next batch of a connection.
const maxRetainedBytes = 4 << 10

// WriteBatch holds the frames of one write. Its owner reuses one WriteBatch for all writes to a connection.
type WriteBatch[Frame any] struct {
	Bytes           []byte             // the encoded frames
	Unencodable     []QueueItem[Frame] // items that were never sent, because their frames cannot be encoded
	Expired         []QueueItem[Frame] // new work that was never sent, because it may no longer be written
	DeferredNewWork bool               // new work stayed in the queue, because the send lease is not valid
	NotAfter        time.Duration      // the write may not continue after this; 0: no permit limits it

	frames []batchFrame[Frame]
}

// batchFrame is one frame of a batch.
type batchFrame[Frame any] struct {
	item QueueItem[Frame]
	end  int // offset in WriteBatch.Bytes just after the frame
}

// reset empties the batch. It keeps its buffers, except for a large one, because a connection may never need it again.
func (b *WriteBatch[Frame]) reset() {
	b.Bytes = b.Bytes[:0]
	if cap(b.Bytes) > maxRetainedBytes {
		b.Bytes = nil
	}
	clear(b.frames) // so that the attempts of the previous batch, and their bodies, can be collected
	b.Unencodable = nil
	b.Expired = nil
	b.DeferredNewWork = false
	b.NotAfter = 0
	b.frames = b.frames[:0]
}

// ReportUnsent reports as ended the attempts and load orders that NextBatch removed from the queue without sending
// them.
func (b *WriteBatch[Frame]) ReportUnsent(events Events) {
	NotifyEnded(events, b.Unencodable, scheduler.NotSent, scheduler.Error, "its frame cannot be encoded")
	NotifyEnded(events, b.Expired, scheduler.NotSent, scheduler.NotSent, "not written in time")
}

// limit lowers NotAfter to deadline if that is earlier. A deadline of 0 means none.
func (b *WriteBatch[Frame]) limit(deadline time.Duration) {
	if deadline > 0 && (b.NotAfter == 0 || deadline < b.NotAfter) {
		b.NotAfter = deadline
	}
}

// Timeout returns how long the write of the batch may take from now, at most longest. If a permit is about to end,
// the timeout is still minWriteTimeout, because a write that fails closes the connection and so ends all other
// requests on it.
func (b *WriteBatch[Frame]) Timeout(now, longest time.Duration) time.Duration {
	if b.NotAfter == 0 {
		return longest
	}
	return min(longest, max(minWriteTimeout, b.NotAfter-now))
}

// NextBatch moves items from the front of the queue into batch at now, replacing the batch's previous contents.
// encode appends the frame of an item to a buffer. The items moved can no longer be cancelled; the owner must call
// BatchWritten once the write has returned.
//
// NextBatch is the only place where frames leave the queue to be written. It therefore enforces that new work is
// written only as the guard's leases allow, and an attempt only before its write deadline.
func (q *SendQueue[Frame]) NextBatch(
	guard *WriteGuard, now time.Duration, batch *WriteBatch[Frame],
	encode func(buffer []byte, item QueueItem[Frame]) ([]byte, error),
) {
	batch.reset()
	mayWriteNewWork := guard.mayWriteNewWork(now)
	var kept []QueueItem[Frame]
	for i, item := range q.queue {
		if len(batch.Bytes) >= maxBatchBytes {
			kept = append(kept, q.queue[i:]...)
			break
		}
		switch {
		case item.isExpired(now), item.isNewWork() && !guard.isConfirmed(now, item.confirmedUntil()):
			item.delivery().cancel()
			batch.Expired = append(batch.Expired, item)
		case item.isNewWork() && !mayWriteNewWork:
			batch.DeferredNewWork = true
			kept = append(kept, item)
		default:
			q.moveToBatch(now, batch, item, encode)
		}
	}
	clear(q.queue[copy(q.queue, kept):])
	q.queue = q.queue[:len(kept)]
}

// moveToBatch adds the frame of an item to a batch and records that it is being sent.
func (q *SendQueue[Frame]) moveToBatch(
	now time.Duration, batch *WriteBatch[Frame], item QueueItem[Frame],
	encode func(buffer []byte, item QueueItem[Frame]) ([]byte, error),
) {
	encoded, err := encode(batch.Bytes, item)
	if err != nil { // for example because the frame is too long
		if delivery := item.delivery(); delivery != nil {
			delivery.cancel()
		}
		batch.Unencodable = append(batch.Unencodable, item)
		return
	}
	batch.Bytes = encoded
	batch.frames = append(batch.frames, batchFrame[Frame]{item: item, end: len(encoded)})
	batch.limit(item.permitEnd())
	q.startSending(now, item)
}

// startSending moves an item from queued to in flight.
func (q *SendQueue[Frame]) startSending(now time.Duration, item QueueItem[Frame]) {
	q.receipts.written++
	if delivery := item.delivery(); delivery != nil {
		delivery.startSending(now, q.receipts.written)
	}
	switch {
	case item.Attempt != nil:
		q.inFlightAttempts[item.Number()] = item.Attempt
	case item.Load != nil:
		q.inFlightLoads[item.Number()] = item.Load
	}
	q.writingNewWork = q.writingNewWork || item.isNewWork()
}

// IsWritingNewWork reports whether the write in progress may make the worker execute a request or load replicas.
func (q *SendQueue[Frame]) IsWritingNewWork() bool { return q.writingNewWork }

// BatchWritten records that a write returned at now and has passed the first written bytes of batch to the operating
// system. It removes and returns the items whose frames were not written completely. The worker cannot execute these
// items, provided that the owner now closes the connection. A complete frame that was written too late is counted as a
// violation.
func (q *SendQueue[Frame]) BatchWritten(
	guard *WriteGuard, now time.Duration, batch *WriteBatch[Frame], written int,
) (unsent []QueueItem[Frame]) {
	q.writingNewWork = false
	for _, frame := range batch.frames {
		delivery := frame.item.delivery()
		switch {
		case delivery == nil || delivery.state != sending: // not an attempt or load order, or ended during the write
		case frame.end <= written:
			delivery.finishSending()
			if frame.item.isLateWrite(now) {
				guard.CountViolation(execution.LateWrite)
			}
		default:
			delivery.cancel()
			q.removeFromInFlight(frame.item)
			unsent = append(unsent, frame.item)
		}
	}
	return unsent
}

// removeFromInFlight removes an item from the attempts or load orders in flight.
func (q *SendQueue[Frame]) removeFromInFlight(item QueueItem[Frame]) {
	switch {
	case item.Attempt != nil:
		delete(q.inFlightAttempts, item.Number())
	case item.Load != nil:
		delete(q.inFlightLoads, item.Number())
	}
}
