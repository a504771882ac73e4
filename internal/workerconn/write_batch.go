package workerconn

import "time"

// maxBatchBytes bounds what one write hands to the operating system, so that what is queued behind it can still be
// cancelled.
const maxBatchBytes = 64 << 10

// WriteBatch is the frames of one write. Its owner uses the same one for all writes to a connection.
type WriteBatch[Frame any] struct {
	Bytes       []byte             // the encoded frames
	Unencodable []QueueItem[Frame] // items whose frame cannot be encoded: they were never sent

	frames []batchFrame[Frame]
}

// batchFrame is one frame of a batch.
type batchFrame[Frame any] struct {
	item QueueItem[Frame]
	end  int // index in WriteBatch.Bytes behind its last byte
}

// reset empties the batch, keeping its memory.
func (b *WriteBatch[Frame]) reset() {
	b.Bytes = b.Bytes[:0]
	b.Unencodable = nil
	b.frames = b.frames[:0]
}

// NextBatch moves items from the front of the queue into batch at now, replacing what that held. The function encode appends
// an item's frame to a buffer. From now on the items can no longer be cancelled; BatchWritten follows once the bytes
// were written.
func (q *SendQueue[Frame]) NextBatch(now time.Duration, batch *WriteBatch[Frame], encode func(buffer []byte, item QueueItem[Frame]) ([]byte, error)) {
	batch.reset()
	moved := 0
	for _, item := range q.queue {
		if len(batch.Bytes) >= maxBatchBytes {
			break
		}
		moved++
		encoded, err := encode(batch.Bytes, item)
		if err != nil { // for example too long
			if delivery := item.delivery(); delivery != nil {
				delivery.cancel()
			}
			batch.Unencodable = append(batch.Unencodable, item)
			continue
		}
		batch.Bytes = encoded
		batch.frames = append(batch.frames, batchFrame[Frame]{item: item, end: len(encoded)})
		q.startSending(now, item)
	}
	q.queue = append(q.queue[:0], q.queue[moved:]...)
}

// startSending moves an item from queued to in flight.
func (q *SendQueue[Frame]) startSending(now time.Duration, item QueueItem[Frame]) {
	if delivery := item.delivery(); delivery != nil {
		delivery.startSending(now)
	}
	switch {
	case item.Attempt != nil:
		q.inFlightAttempts[item.Number()] = item.Attempt
	case item.Load != nil:
		q.inFlightLoads[item.Number()] = item.Load
	}
	q.writingNewWork = q.writingNewWork || item.isNewWork()
}

// IsWritingNewWork tells whether the write under way would make the worker execute or load something.
func (q *SendQueue[Frame]) IsWritingNewWork() bool { return q.writingNewWork }

// BatchWritten records that the first written bytes of batch were handed to the operating system. It removes and
// returns the items whose frames were not written whole. They were never executed, provided that the owner now
// closes the connection.
func (q *SendQueue[Frame]) BatchWritten(batch *WriteBatch[Frame], written int) (unsent []QueueItem[Frame]) {
	q.writingNewWork = false
	for _, frame := range batch.frames {
		delivery := frame.item.delivery()
		switch {
		case delivery == nil || delivery.state != sending: // another frame, or finished or abandoned during the write
		case frame.end <= written:
			delivery.finishSending()
		default:
			delivery.cancel()
			q.removeFromInFlight(frame.item)
			unsent = append(unsent, frame.item)
		}
	}
	return unsent
}

// removeFromInFlight removes an item that is in flight.
func (q *SendQueue[Frame]) removeFromInFlight(item QueueItem[Frame]) {
	switch {
	case item.Attempt != nil:
		delete(q.inFlightAttempts, item.Number())
	case item.Load != nil:
		delete(q.inFlightLoads, item.Number())
	}
}
