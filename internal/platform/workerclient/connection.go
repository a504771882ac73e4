package workerclient

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"time"

	"havencart/internal/decide/connpool"
	"havencart/internal/platform/workerframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// readBuffer is small: there are many connections, and memory is short.
const readBuffer = 4 << 10

// strand is one connection, from before it is made until it is left. The link's lock guards all but its goroutines'
// own.
type strand struct {
	l       *Client
	kick    chan struct{} // something to write or to look at
	box     workerconn.SendQueue
	probes  map[uint64]bool // asked, not answered; bounded by what the module asks
	conn    net.Conn
	retired bool // takes nothing new; closed once nothing is open on it
	givenUp bool // a call that had left was given up on it
	heard   bool // something was heard on the connection
	used    time.Duration
	past    [pastNumbers]uint64 // answered here last, by other than their end; a ring, the oldest is forgotten
	pastAt  int
}

// pastNumbers is how many numbers that were answered on a connection are not used on it again: an answer may come
// twice, and the second one would be taken for that of the next attempt under its number. A call whose first attempt
// was turned away would so be called unrun while it runs. It would harm where a worker turns much away and
// connections are few: the call then goes elsewhere.
const pastNumbers = 32

// was says whether a number was answered on this connection lately.
func (s *strand) was(number uint64) bool { return number != 0 && slices.Contains(s.past[:], number) }

// answered notes that a number was answered.
func (s *strand) answered(number uint64) {
	s.past[s.pastAt], s.pastAt = number, (s.pastAt+1)%pastNumbers
}

func newStrand(l *Client) *strand {
	return &strand{l: l, kick: make(chan struct{}, 1), box: workerconn.NewSendQueue(), probes: map[uint64]bool{}, used: l.cfg.Now()}
}

// callNumber is the number on the wire of a name in 16 hex digits.
func callNumber(name string) (uint64, error) {
	var b [8]byte
	if len(name) != 16 {
		return 0, fmt.Errorf("name %q is not 16 hex digits", name)
	}
	if _, err := hex.Decode(b[:], []byte(name)); err != nil {
		return 0, fmt.Errorf("name %q: %w", name, err)
	}
	return binary.BigEndian.Uint64(b[:]), nil
}

func (s *strand) wake() {
	s.used = s.l.cfg.Now()
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// errDone is why a connection ended that nothing needed any longer.
var errDone = errors.New("idle or retired")

// run makes the connection, serves it, and makes it anew while something waits for it. What had left on one that
// broke is told once it is known whether the next one can be had: that tells a lost connection from a lost worker.
func (s *strand) run() {
	var lost []workerconn.QueueItem
	var why error
	for unheard := 0; ; {
		conn, err := s.dial()
		s.tellLost(lost, err == nil, why)
		lost = nil
		if err != nil {
			s.close(err)
			return
		}
		why = s.serve(conn)
		s.l.mu.Lock()
		lost = s.box.Lost()
		s.l.forget(lost)
		if unheard++; s.heard {
			unheard = 0
		}
		s.conn, s.heard = nil, false
		lives := errors.Is(why, workerframe.ErrMalformed) || errors.Is(why, errDone) // it need not be asked
		again := s.l.ctx.Err() == nil && connpool.RetryAfterReset(unheard) && (s.box.Open() > 0 || len(lost) > 0 && !lives)
		s.retired = s.retired || !again
		s.l.mu.Unlock()
		if lives || !again {
			s.tellLost(lost, lives, why)
			lost = nil
		}
		if !again {
			s.close(why)
			return
		}
	}
}

// tellLost tells the end of what had left on a connection that broke.
func (s *strand) tellLost(lost []workerconn.QueueItem, alive bool, why error) {
	if len(lost) == 0 {
		return
	}
	as := scheduler.Reset
	if alive {
		as = scheduler.Error
	}
	workerconn.NotifyEnded(s.l.events, lost, as, as, fmt.Sprint(why))
}

// close leaves the link; what still waits never left.
func (s *strand) close(why error) {
	s.l.mu.Lock()
	s.l.leave(s)
	waiting := s.box.Unqueue(func(workerconn.QueueItem) bool { return true })
	s.l.forget(waiting)
	probes := len(s.probes)
	clear(s.probes)
	s.l.mu.Unlock()
	workerconn.NotifyEnded(s.l.events, waiting, scheduler.ConnectFailed, scheduler.ConnectFailed, fmt.Sprint(why))
	for range probes {
		s.l.events.HealthChecked(scheduler.ConnectFailed, nil)
	}
	if len(waiting) > 0 {
		s.l.events.Disconnected(why)
	}
}

func (s *strand) dial() (net.Conn, error) {
	d := net.Dialer{Timeout: s.l.cfg.ConnectTimeout, KeepAlive: -1}
	conn, err := d.DialContext(s.l.ctx, "tcp", s.l.cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", s.l.cfg.Worker, err)
	}
	return conn, nil
}

// serve writes and reads until the connection breaks or nothing needs it; it returns why it ended.
func (s *strand) serve(conn net.Conn) error {
	s.l.mu.Lock()
	s.conn = conn
	s.l.mu.Unlock()
	defer context.AfterFunc(s.l.ctx, func() { conn.Close() })() // a write that stands still does not hold up a stop
	wrote, gone := make(chan error, 1), make(chan struct{})
	go func() {
		err := s.write(conn, gone)
		conn.Close() // ends the reading below
		wrote <- err
	}()
	err := s.read(conn)
	conn.Close()
	close(gone)
	if writeErr := <-wrote; writeErr != nil {
		err = writeErr
	}
	return err
}

// write writes what is queued, until the connection breaks, gone is closed, or nothing needs the connection.
func (s *strand) write(conn net.Conn, gone <-chan struct{}) error {
	var b workerconn.WriteBatch
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if err := s.gone(conn); err != nil {
			return fmt.Errorf("write to %s: %w", s.l.cfg.Worker, err)
		}
		left, done := s.claim(conn, &b)
		workerconn.NotifyEnded(s.l.events, b.Unencodable, scheduler.NotSent, scheduler.Error, "its frame cannot be encoded")
		if len(b.Bytes) > 0 {
			n, err := conn.Write(b.Bytes)
			s.l.mu.Lock()
			never := s.box.Written(&b, n)
			s.l.forget(never)
			s.l.mu.Unlock()
			workerconn.NotifyEnded(s.l.events, never, scheduler.ConnectFailed, scheduler.ConnectFailed, fmt.Sprintf("not written whole: %v", err))
			if err != nil {
				return fmt.Errorf("write to %s: %w", s.l.cfg.Worker, err)
			}
			continue
		}
		if done {
			s.discard(conn)
			return errDone
		}
		timer.Reset(left)
		select {
		case <-gone:
			return nil
		case <-s.l.ctx.Done():
			return errDone
		case <-s.kick:
		case <-timer.C:
		}
	}
}

// discard has the close of a connection on which a call was given up take back what the machine still holds for it.
// It guards against a call that reaches its worker long after its client left, once a path that was cut is whole
// again. A worker that is there sees a reset in place of the end; either gives up all that was open.
func (s *strand) discard(conn net.Conn) {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	if tcp, is := conn.(*net.TCPConn); is && s.givenUp {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
}

// gone says whether the other side has ended a connection on which nothing is open, while something waits to be
// written on it. It guards against a call that is written to a connection whose end stands unread in the machine's
// buffer: it would never run, and nobody could tell. It costs a system call where a connection was idle.
func (s *strand) gone(conn net.Conn) error {
	s.l.mu.Lock()
	idle := s.box.Waiting() > 0 && s.box.Open() == s.box.Waiting() && s.heard
	s.l.mu.Unlock()
	if !idle {
		return nil
	}
	return ended(conn)
}

// claim encodes the next batch, and says whether nothing needs the connection any longer, or for how long it is
// kept still. The limit of the write stands before a drain can shorten it.
func (s *strand) claim(conn net.Conn, b *workerconn.WriteBatch) (left time.Duration, done bool) {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	s.box.Claim(b, s.encode)
	if len(b.Bytes) > 0 {
		_ = conn.SetWriteDeadline(time.Now().Add(connpool.WriteTimeout())) // fails on a closed connection only
	}
	s.l.forget(b.Unencodable)
	if s.box.Open() > 0 || len(s.probes) > 0 {
		return time.Hour, false
	}
	left = s.used + connpool.IdleTimeout(len(s.l.strands) == 1, s.l.cfg.IdleTimeout) - s.l.cfg.Now()
	if done = len(b.Bytes) == 0 && (left <= 0 || s.retired); done {
		s.retired = true
	}
	return left, done
}

// encode appends the frame of i.
func (s *strand) encode(buf []byte, i workerconn.QueueItem) ([]byte, error) {
	switch {
	case i.Attempt != nil:
		a := i.Attempt
		fields := "lane=" + a.Request.Class + ",name=" + a.Request.Replica.Function +
			",ttl=" + strconv.FormatInt(max(1, (a.Deadline-s.l.cfg.Now()).Milliseconds()), 10)
		if a.Request.IdempotencyKey != "" {
			fields += ",dedupe=" + a.Request.IdempotencyKey
		}
		return workerframe.Append(buf, workerframe.FromFrontEnd, workerframe.Frame{Code: workerframe.Request, ID: i.Number(), Fields: fields, Body: a.Body})
	case i.Load != nil:
		return workerframe.Append(buf, workerframe.FromFrontEnd, workerframe.Frame{Code: workerframe.Load, ID: i.Number(),
			Fields: "name=" + i.Load.Load.Replica.Function + ",replicas=" + strconv.Itoa(i.Load.Load.Replicas)})
	}
	return workerframe.Append(buf, workerframe.FromFrontEnd, i.Frame.(workerframe.Frame))
}

// read handles frames until the connection breaks.
func (s *strand) read(conn net.Conn) error {
	reader := workerframe.NewReader(bufio.NewReaderSize(conn, readBuffer), workerframe.FromWorker, s.l.cfg.MaxResponse)
	reader.Begun = func() {
		_ = conn.SetReadDeadline(time.Now().Add(connpool.FrameTimeout())) // fails on a closed connection only
	}
	for {
		f, err := reader.Next()
		if err == nil {
			_ = conn.SetReadDeadline(time.Time{})
			err = s.handle(f)
		} else if timeout(err) {
			err = fmt.Errorf("%w: an answer stopped short", workerframe.ErrMalformed)
		}
		if err != nil {
			return fmt.Errorf("read from %s: %w", s.l.cfg.Worker, err)
		}
	}
}

func timeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

var statuses = map[workerframe.Code]scheduler.Status{workerframe.OK: scheduler.OK, workerframe.NotLoaded: scheduler.NotLoaded,
	workerframe.Overloaded: scheduler.Overloaded, workerframe.Error: scheduler.Error, workerframe.AlreadyEnded: scheduler.NotSent}

// handle takes one answer. One that nobody waits for is dropped.
func (s *strand) handle(f workerframe.Frame) error {
	crowd, err := workerframe.Count(f.Fields, "peers_in", 0)
	if err != nil {
		return err
	}
	copies, err := workerframe.Count(f.Fields, "replicas", 0)
	if err != nil {
		return err
	}
	report, err := s.report(f.Fields)
	if err != nil {
		return err
	}
	s.l.mu.Lock()
	s.heard = true
	var a *workerconn.Attempt
	var o *workerconn.LoadOrder
	probed := false
	if f.Code == workerframe.Healthy || f.Code == workerframe.Unhealthy {
		probed = s.probes[f.ID]
		delete(s.probes, f.ID)
	} else if a = s.box.Answered(f.ID); a != nil {
		delete(s.l.attempts, a)
		if f.Code != workerframe.OK { // else nothing is sent under it again
			s.answered(f.ID)
		}
	} else if o = s.box.LoadAnswered(f.ID); o != nil {
		delete(s.l.orders, o)
	}
	s.wake()
	s.l.mu.Unlock()
	switch {
	case a != nil:
		s.l.events.AttemptEnded(a, workerconn.Result{Status: statuses[f.Code], QueueDepth: crowd, LoadReport: report, ReceivedAt: s.l.cfg.Now(),
			Response: &workerconn.Response{Body: f.Body, Length: int64(len(f.Body))}})
	case o != nil:
		s.l.events.LoadEnded(o, statuses[f.Code], copies)
	case probed && f.Code == workerframe.Healthy:
		s.l.events.HealthChecked(scheduler.OK, report)
	case probed:
		s.l.events.HealthChecked(scheduler.Error, report)
	default:
		s.l.events.LateResponse(0)
	}
	return nil
}

func (s *strand) report(fields string) ([]float64, error) {
	text, found := workerframe.Field(fields, "rep")
	if !found || len(s.l.cfg.LoadReportFields) == 0 {
		return nil, nil
	}
	return workerframe.ParseLoadReport(text, s.l.cfg.LoadReportFields)
}
