package worker

import (
	"time"

	"havencart/internal/native/muxframe"
	"havencart/lab/model"
)

// maxDataBytes is the maximum number of body bytes in one frame of a response. Longer bodies are split into several
// frames.
const maxDataBytes = 16 << 10

// responseBody is the unsent part of a response body that is sent in several frames.
type responseBody struct {
	remaining int // bytes not sent yet
	credit    int // bytes that the front end accepts at present
}

// responseStream describes the stream and the body size of a response.
type responseStream struct {
	id     uint32
	window int // the front end's initial credit, in bytes
	size   int // size of the body, in bytes
}

func (c *connection) handleRequest(frame muxframe.Frame) error {
	var in muxframe.Request
	if err := frame.Decode(&in); err != nil {
		return err
	}
	work, size := ParseBody(string(frame.Body), c.server.cfg.Work)
	stream := responseStream{id: frame.StreamID, window: int(in.Window), size: size}
	c.server.Do(func(w *model.Worker) {
		request := &model.Request{
			ID:             in.ID,
			Attempt:        in.Attempt,
			FrontEnd:       c.frontEnd,
			Class:          in.Class,
			IdempotencyKey: in.IdempotencyKey,
			Function:       in.Replica.Function,
			MemoryMB:       in.Replica.MemoryMB,
			Concurrency:    max(1, in.Replica.Concurrency),
			LoadTime:       in.Replica.LoadTime(),
			Work:           work,
			Deadline:       c.server.clock.Now() + time.Duration(in.TimeoutMillis)*time.Millisecond,
		}
		c.mu.Lock()
		c.requests[stream.id] = request
		c.mu.Unlock()
		w.Handle(request, func(r model.Response) { c.respond(stream, r) })
	})
	return nil
}

// respond sends a worker's response, subject to the current faults of the socket. It is called within the clock.
func (c *connection) respond(stream responseStream, r model.Response) {
	faults := c.server.currentFaults()
	if faults.responseDelay > 0 {
		c.server.clock.After(faults.responseDelay, func() { c.sendResponse(stream, r, faults) })
		return
	}
	c.sendResponse(stream, r, faults)
}

func (c *connection) sendResponse(stream responseStream, r model.Response, faults socketFaults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.requests, stream.id)
	if faults.garbageResponses {
		c.sendQueue = append(c.sendQueue, "\x00\x00\x00\x03garbage, no frame"...)
		c.appendFrame(muxframe.TypePong, 0, nil, nil)
		return
	}
	header := muxframe.Response{
		Status:      muxframe.Status(r.Outcome),
		ColdStart:   muxframe.ColdStart(r.ColdStart),
		QueueDepth:  &r.QueueDepth,
		LoadReport:  []float64{float64(r.Waiting)},
		ContentType: "text/plain",
		RunMillis:   float64(r.RunTime) / float64(time.Millisecond),
	}
	if r.Outcome != model.OK {
		header.FailureReason, stream.size = "emulated", 0
	}
	c.appendResponse(stream, header)
	if faults.duplicateResponses {
		c.appendResponse(stream, header)
	}
}

// appendResponse appends a response to the send queue. A long body is split into several frames. The caller must hold
// c.mu.
func (c *connection) appendResponse(stream responseStream, header muxframe.Response) {
	if stream.size <= maxDataBytes {
		c.appendFrame(muxframe.TypeResponse, stream.id, header, make([]byte, stream.size))
		return
	}
	header.More, header.Length = true, int64(stream.size)
	c.appendFrame(muxframe.TypeResponse, stream.id, header, nil)
	c.outgoingBodies[stream.id] = &responseBody{remaining: stream.size, credit: stream.window}
	c.sendBody(stream.id)
}

// sendBody appends as much of a body to the send queue as the credit allows. The caller must hold c.mu.
func (c *connection) sendBody(streamID uint32) {
	body := c.outgoingBodies[streamID]
	if body == nil {
		return
	}
	for body.remaining > 0 && body.credit > 0 {
		n := min(maxDataBytes, body.remaining, body.credit)
		c.appendFrame(muxframe.TypeData, streamID, nil, make([]byte, n))
		body.remaining -= n
		body.credit -= n
	}
	if body.remaining == 0 {
		delete(c.outgoingBodies, streamID)
		c.appendFrame(muxframe.TypeEnd, streamID, muxframe.End{}, nil)
	}
}

func (c *connection) handleCredit(f muxframe.Frame) error {
	var in muxframe.Credit
	if err := f.Decode(&in); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if body := c.outgoingBodies[f.StreamID]; body != nil {
		body.credit += int(in.Bytes)
		c.sendBody(f.StreamID)
	}
	return nil
}

// cancel stops sending the response on a stream, or cancels the request if it has no response yet.
func (c *connection) cancel(streamID uint32) {
	c.mu.Lock()
	delete(c.outgoingBodies, streamID)
	request := c.requests[streamID]
	delete(c.requests, streamID)
	c.mu.Unlock()
	if request != nil {
		c.server.Do(func(w *model.Worker) { w.Cancel(request.ID, request.Attempt) })
	}
}

func (c *connection) handleLoadOrder(frame muxframe.Frame) error {
	var in muxframe.LoadOrder
	if err := frame.Decode(&in); err != nil {
		return err
	}
	order := model.LoadOrder{
		FrontEnd:    c.frontEnd,
		Function:    in.Replica.Function,
		Replicas:    in.Replicas,
		MemoryMB:    in.Replica.MemoryMB,
		Concurrency: in.Replica.Concurrency,
		LoadTime:    in.Replica.LoadTime(),
	}
	c.server.Do(func(w *model.Worker) {
		w.HandleLoadOrder(order, func(o model.Outcome, replicas int) {
			result := muxframe.LoadResult{Status: muxframe.Status(o), Replicas: replicas}
			c.send(muxframe.TypeLoadResult, frame.StreamID, result)
		})
	})
	return nil
}

func (c *connection) handleUnload(f muxframe.Frame) error {
	var in muxframe.Unload
	if err := f.Decode(&in); err != nil {
		return err
	}
	c.server.Do(func(w *model.Worker) { w.Unload(in.Function) })
	return nil
}

func (c *connection) reportHealth() {
	c.server.Do(func(w *model.Worker) {
		report := muxframe.HealthReport{Status: muxframe.StatusOK, LoadReport: []float64{float64(w.QueueLength())}}
		c.send(muxframe.TypeHealthReport, 0, report)
	})
}
