package muxclient

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"time"

	"havencart/internal/decide/reconnect"
	"havencart/internal/native/muxframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

func newBuffered(conn net.Conn) io.Reader { return bufio.NewReaderSize(conn, 32<<10) }

// write writes what is queued until the connection breaks or gone is closed, and keeps its pulse.
func (l *Client) write(conn net.Conn, gone <-chan struct{}) error {
	var b writeBatch
	for {
		l.claim(&b)
		workerconn.NotifyEnded(l.events, b.Unencodable, scheduler.NotSent, scheduler.Error, "its frame cannot be encoded")
		if len(b.Bytes) > 0 {
			n, err := conn.Write(b.Bytes)
			l.written(&b, n, err)
			if err != nil {
				return fmt.Errorf("write to %s: %w", l.cfg.Worker, err)
			}
			continue
		}
		verdict, next := l.check()
		switch verdict {
		case reconnect.Dead:
			return fmt.Errorf("%s is silent: %w", l.cfg.Worker, errHalfOpen)
		case reconnect.Ping:
			continue // claimed above
		}
		timer := time.NewTimer(next - l.cfg.Now())
		select {
		case <-gone:
			timer.Stop()
			return nil
		case <-l.kick:
		case <-timer.C:
		}
		timer.Stop()
	}
}

var errHalfOpen = errors.New("no sign of life")

// check asks the pulse of the connection and queues the ping that it wants.
func (l *Client) check() (reconnect.Verdict, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	verdict, next := l.pulse.Check(l.cfg.Now())
	if verdict == reconnect.Ping {
		l.push(frame{kind: muxframe.TypePing})
	}
	return verdict, next
}

// claim encodes the next batch.
func (l *Client) claim(b *writeBatch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.box.NextBatch(b, l.encode)
	if len(b.Bytes) > 0 && l.conn != nil {
		l.setWriteDeadline(reconnect.WriteTimeout())
	}
}

// encode appends the frame of i.
func (l *Client) encode(buf []byte, i queueItem) ([]byte, error) {
	switch {
	case i.Attempt != nil:
		call := i.Attempt.Request
		call.TimeoutMillis = max(0, (i.Attempt.Deadline - l.cfg.Now()).Milliseconds())
		call.Window = uint32(l.cfg.Window)
		return muxframe.Append(buf, muxframe.TypeRequest, uint32(i.Number()), call, i.Attempt.Body)
	case i.Load != nil:
		return muxframe.Append(buf, muxframe.TypeLoadOrder, uint32(i.Number()), i.Load.Load, nil)
	}
	f := i.Frame
	return muxframe.Append(buf, f.kind, f.number, f.header, nil)
}

// written takes the result of a write.
func (l *Client) written(b *writeBatch, n int, err error) {
	l.mu.Lock()
	never := l.box.BatchWritten(b, n)
	for _, i := range never {
		delete(l.streams, i.Attempt)
	}
	l.mu.Unlock()
	if len(never) > 0 {
		workerconn.NotifyEnded(l.events, never, scheduler.ConnectFailed, scheduler.ConnectFailed, fmt.Sprintf("not written whole: %v", err))
	}
}

// read handles frames until the connection breaks.
func (l *Client) read(conn net.Conn, reader *muxframe.Reader) error {
	for {
		f, err := reader.Next()
		if err == nil {
			l.mu.Lock()
			l.pulse.Received(l.cfg.Now())
			l.mu.Unlock()
			err = l.handle(f)
		}
		if err != nil {
			return fmt.Errorf("read from %s: %w", l.cfg.Worker, err)
		}
	}
}

func (l *Client) handle(f muxframe.Frame) error {
	switch f.Type {
	case muxframe.TypeResponse:
		return l.answer(f)
	case muxframe.TypeData:
		return l.data(f)
	case muxframe.TypeEnd:
		return l.finish(f)
	case muxframe.TypeLoadResult:
		return l.loaded(f)
	case muxframe.TypeHealthReport:
		return l.probed(f)
	case muxframe.TypePing:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.push(frame{kind: muxframe.TypePong})
		return nil
	case muxframe.TypePong:
		return nil
	}
	return fmt.Errorf("%w: %v from a worker", muxframe.ErrMalformed, f.Type)
}

var statuses = map[muxframe.Status]scheduler.Status{
	muxframe.StatusOK: scheduler.OK, muxframe.StatusError: scheduler.Error,
	muxframe.StatusOverloaded: scheduler.Overloaded, muxframe.StatusNotLoaded: scheduler.NotLoaded,
}

var warmths = map[muxframe.ColdStart]scheduler.ColdStart{
	muxframe.WarmStart: scheduler.WarmStart, muxframe.ColdStartTriggered: scheduler.ColdStartTriggered,
	muxframe.ColdStartAwaited: scheduler.ColdStartAwaited, muxframe.ColdStartFailed: scheduler.ColdStartFailed,
}

// answer takes the end of an attempt, or the beginning of a long answer.
func (l *Client) answer(f muxframe.Frame) error {
	var in muxframe.Response
	if err := f.Decode(&in); err != nil {
		return err
	}
	status, known := statuses[in.Status]
	if !known || in.More && status != scheduler.OK {
		return fmt.Errorf("%w: answer with status %d, more %t", muxframe.ErrMalformed, in.Status, in.More)
	}
	r := workerconn.Result{Status: status, Reason: in.Problem, ColdStart: warmths[in.ColdStart], QueueDepth: -1, LoadReport: in.LoadReport}
	if in.RunMillis > 0 && in.RunMillis < float64(math.MaxInt64/time.Millisecond) {
		r.RunTime = time.Duration(in.RunMillis * float64(time.Millisecond))
	}
	if in.QueueDepth != nil {
		r.QueueDepth = max(0, *in.QueueDepth)
	}
	l.mu.Lock()
	a := l.box.InFlightAttempt(uint64(f.StreamID))
	issued := f.StreamID != 0 && f.StreamID-1 < l.last
	if a == nil || l.streams[a] != nil {
		l.mu.Unlock()
		if !issued || a != nil {
			return fmt.Errorf("%w: answer to call %d, which is not under way", muxframe.ErrMalformed, f.StreamID)
		}
		l.events.LateResponse(f.StreamID)
		return nil
	}
	r.Response = &workerconn.Response{Type: in.ContentType, Length: int64(len(f.Body))}
	if !in.More {
		l.box.FinishAttempt(uint64(f.StreamID))
		l.mu.Unlock()
		r.Response.Body = append([]byte(nil), f.Body...)
		l.events.AttemptEnded(a, r)
		return nil
	}
	number := f.StreamID
	stream := workerconn.NewStream(l.cfg.Window, func(n int) { l.allow(number, n) })
	r.Response.Stream, r.Response.Length = stream, -1
	if in.Length > 0 {
		r.Response.Length = in.Length
	}
	l.streams[a] = &r
	fits := stream.Append(f.Body)
	l.mu.Unlock()
	if !fits {
		return l.overrun(number)
	}
	l.events.ResponseStarted(a, r)
	return nil
}

func (l *Client) overrun(number uint32) error {
	return fmt.Errorf("%w: more of the answer to call %d than was allowed", muxframe.ErrMalformed, number)
}

// allow gives the worker credit for n more bytes of an answer.
func (l *Client) allow(number uint32, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.box.InFlightAttempt(uint64(number)) != nil {
		l.push(frame{kind: muxframe.TypeCredit, number: number, header: muxframe.Credit{Bytes: uint32(n)}})
	}
}

// data takes the next part of an answer; parts of an answer that nobody waits for are dropped.
func (l *Client) data(f muxframe.Frame) error {
	l.mu.Lock()
	a := l.box.InFlightAttempt(uint64(f.StreamID))
	begun := l.streams[a]
	l.mu.Unlock()
	if a == nil {
		return nil
	}
	if begun == nil {
		return fmt.Errorf("%w: data for call %d before its answer", muxframe.ErrMalformed, f.StreamID)
	}
	if !begun.Response.Stream.Append(f.Body) {
		return l.overrun(f.StreamID)
	}
	return nil
}

// finish takes the end of an answer that came in parts.
func (l *Client) finish(f muxframe.Frame) error {
	var in muxframe.End
	if err := f.Decode(&in); err != nil {
		return err
	}
	l.mu.Lock()
	a := l.box.InFlightAttempt(uint64(f.StreamID))
	if a == nil {
		l.mu.Unlock()
		return nil
	}
	begun := l.streams[a]
	if begun == nil {
		l.mu.Unlock()
		return fmt.Errorf("%w: end of call %d before its answer", muxframe.ErrMalformed, f.StreamID)
	}
	l.box.FinishAttempt(uint64(f.StreamID))
	delete(l.streams, a)
	l.mu.Unlock()
	r := *begun
	if in.Error != "" {
		r.Status, r.Reason = scheduler.Error, in.Error
		r.Response.Stream.End(fmt.Errorf("%w: %s", workerconn.ErrIncomplete, in.Error))
	} else {
		r.Response.Stream.End(nil)
	}
	l.events.AttemptEnded(a, r)
	return nil
}

func (l *Client) loaded(f muxframe.Frame) error {
	var in muxframe.LoadResult
	if err := f.Decode(&in); err != nil {
		return err
	}
	status, known := statuses[in.Status]
	if !known {
		return fmt.Errorf("%w: order answered with status %d", muxframe.ErrMalformed, in.Status)
	}
	l.mu.Lock()
	o := l.box.FinishLoad(uint64(f.StreamID))
	l.mu.Unlock()
	if o != nil {
		l.events.LoadEnded(o, status, max(0, in.Replicas))
	}
	return nil
}

func (l *Client) probed(f muxframe.Frame) error {
	var in muxframe.HealthReport
	if err := f.Decode(&in); err != nil {
		return err
	}
	l.mu.Lock()
	asked := l.probes > 0
	if asked {
		l.probes--
	}
	l.mu.Unlock()
	if asked {
		l.events.HealthChecked(statuses[in.Status], in.LoadReport)
	}
	return nil
}
