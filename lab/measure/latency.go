package measure

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"havencart/lab/worker"
)

// connection is one client's connection.
type connection struct {
	conn    net.Conn
	in      *bufio.Reader
	request []byte
}

// connect opens the i-th connection of a route.
func (b *benchmark) connect(w *Route, i int) (*connection, error) {
	c, err := net.Dial("tcp", w.Address[i%len(w.Address)])
	if err != nil {
		return nil, fmt.Errorf("%s: %w", w.Name, err)
	}
	body := worker.Body(b.cfg.Work, b.cfg.ResponseBytes)
	request := fmt.Appendf(nil, "POST /call/echo HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return &connection{c, bufio.NewReader(c), request}, nil
}

// roundTrip sends one request and reports whether it was served.
func (c *connection) roundTrip() (bool, error) {
	if _, err := c.conn.Write(c.request); err != nil {
		return false, err
	}
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return false, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r.StatusCode == http.StatusOK, err
}

const (
	maxLatency        = time.Minute
	significantDigits = 3
)

// latencies collects the latencies of several clients.
type latencies struct {
	mu     sync.Mutex
	hist   *hdrhistogram.Histogram
	errors int
}

func newLatencies() *latencies {
	return &latencies{hist: hdrhistogram.New(1, int64(maxLatency), significantDigits)}
}

func (l *latencies) add(d time.Duration, served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !served {
		l.errors++
		return
	}
	_ = l.hist.RecordValue(int64(d)) // within the bounds: no request takes as long
}

func (l *latencies) quantile(percent float64) time.Duration {
	return time.Duration(l.hist.ValueAtQuantile(percent)).Round(time.Microsecond)
}

// forEachConnection calls f for every connection of a route at once and returns the first error.
func (b *benchmark) forEachConnection(w *Route, f func(i int, c *connection) error) error {
	var tasks sync.WaitGroup
	errs := make(chan error, b.cfg.Connections)
	for i := range b.cfg.Connections {
		tasks.Go(func() {
			c, err := b.connect(w, i)
			if err == nil {
				err = f(i, c)
				_ = c.conn.Close()
			}
			if err != nil {
				errs <- fmt.Errorf("%s: %w", w.Name, err)
			}
		})
	}
	tasks.Wait()
	close(errs)
	return <-errs
}

// measureClosedLoop measures with clients that each wait for a response before the next request: the highest rate of
// the route.
func (b *benchmark) measureClosedLoop(ctx context.Context, w *Route, duration time.Duration) (Sample, error) {
	l := newLatencies()
	start, cpu := time.Now(), cpuTime()
	err := b.forEachConnection(w, func(_ int, c *connection) error {
		for time.Since(start) < duration && ctx.Err() == nil {
			sentAt := time.Now()
			served, err := c.roundTrip()
			if err != nil {
				return err
			}
			l.add(time.Since(sentAt), served)
		}
		return nil
	})
	elapsed, n := time.Since(start), float64(l.hist.TotalCount())
	s := Sample{
		Rate:   n / elapsed.Seconds(),
		P50:    l.quantile(50),
		P99:    l.quantile(99),
		P999:   l.quantile(99.9),
		Errors: l.errors,
	}
	s.CPUPerRequestMicros = float64((cpuTime() - cpu).Microseconds()) / max(1, n+float64(l.errors))
	return s, err
}

// measureOpenLoop measures at a fixed rate: each connection has its times to send, and a request that is sent late
// because the one before it was slow is measured from its time, so that a slow route is not spared (coordinated
// omission).
func (b *benchmark) measureOpenLoop(ctx context.Context, w *Route, sample *Sample, rate float64) error {
	l := newLatencies()
	gap := time.Duration(float64(time.Second) * float64(b.cfg.Connections) / rate)
	start := time.Now()
	err := b.forEachConnection(w, func(i int, c *connection) error {
		due := start.Add(gap * time.Duration(i) / time.Duration(b.cfg.Connections))
		for ; due.Sub(start) < b.cfg.Duration && ctx.Err() == nil; due = due.Add(gap) {
			time.Sleep(time.Until(due))
			served, err := c.roundTrip()
			if err != nil {
				return err
			}
			l.add(time.Since(due), served)
		}
		return nil
	})
	sample.HalfLoadP50, sample.HalfLoadP99, sample.HalfLoadP999 = l.quantile(50), l.quantile(99), l.quantile(99.9)
	sample.Errors += l.errors
	return err
}
