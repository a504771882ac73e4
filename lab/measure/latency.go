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

// connection is a client's connection on a route, with the encoded request that the client repeats on it.
type connection struct {
	conn    net.Conn
	in      *bufio.Reader
	request []byte
}

// connect opens the i-th connection of a route. Connections are spread over the addresses of the route.
func (b *benchmark) connect(route *Route, i int) (*connection, error) {
	c, err := net.Dial("tcp", route.Addresses[i%len(route.Addresses)])
	if err != nil {
		return nil, fmt.Errorf("%s: %w", route.Name, err)
	}
	body := worker.Body(b.cfg.Work, b.cfg.ResponseBytes)
	request := fmt.Appendf(nil, "POST /call/echo HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return &connection{c, bufio.NewReader(c), request}, nil
}

// roundTrip sends one request, reads the response and reports whether the request was served.
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

// latencies collects the latencies of the requests of several clients. It is safe for concurrent use.
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
	_ = l.hist.RecordValue(int64(d)) // fails only above maxLatency, which no request reaches
}

func (l *latencies) quantile(percent float64) time.Duration {
	return time.Duration(l.hist.ValueAtQuantile(percent)).Round(time.Microsecond)
}

// forEachConnection opens the connections of a route, calls f for all of them concurrently, waits and returns the first
// error.
func (b *benchmark) forEachConnection(route *Route, f func(i int, c *connection) error) error {
	var tasks sync.WaitGroup
	errs := make(chan error, b.cfg.Connections)
	for i := range b.cfg.Connections {
		tasks.Go(func() {
			c, err := b.connect(route, i)
			if err == nil {
				err = f(i, c)
				_ = c.conn.Close()
			}
			if err != nil {
				errs <- fmt.Errorf("%s: %w", route.Name, err)
			}
		})
	}
	tasks.Wait()
	close(errs)
	return <-errs
}

// measureClosedLoop measures a route with clients that each wait for a response before they send the next request. Its
// rate is the highest that the route reaches with that many clients.
func (b *benchmark) measureClosedLoop(ctx context.Context, route *Route, duration time.Duration) (Sample, error) {
	recorded := newLatencies()
	start, cpu := time.Now(), cpuTime()
	err := b.forEachConnection(route, func(_ int, c *connection) error {
		for time.Since(start) < duration && ctx.Err() == nil {
			sentAt := time.Now()
			served, err := c.roundTrip()
			if err != nil {
				return err
			}
			recorded.add(time.Since(sentAt), served)
		}
		return nil
	})
	elapsed, n := time.Since(start), float64(recorded.hist.TotalCount())
	s := Sample{
		Rate:   n / elapsed.Seconds(),
		P50:    recorded.quantile(50),
		P99:    recorded.quantile(99),
		P999:   recorded.quantile(99.9),
		Errors: recorded.errors,
	}
	s.CPUPerRequestMicros = float64((cpuTime() - cpu).Microseconds()) / max(1, n+float64(recorded.errors))
	return s, err
}

// measureOpenLoop measures a route at a fixed rate of requests per second and adds the result to sample. Each
// connection has a schedule of times at which to send. The latency of a request counts from its scheduled time, even if
// the request is sent late because the previous one was slow; this avoids coordinated omission.
func (b *benchmark) measureOpenLoop(ctx context.Context, route *Route, sample *Sample, rate float64) error {
	recorded := newLatencies()
	interval := time.Duration(float64(time.Second) * float64(b.cfg.Connections) / rate)
	start := time.Now()
	err := b.forEachConnection(route, func(i int, c *connection) error {
		due := start.Add(interval * time.Duration(i) / time.Duration(b.cfg.Connections))
		for ; due.Sub(start) < b.cfg.Duration && ctx.Err() == nil; due = due.Add(interval) {
			time.Sleep(time.Until(due))
			served, err := c.roundTrip()
			if err != nil {
				return err
			}
			recorded.add(time.Since(due), served)
		}
		return nil
	})
	sample.HalfLoadP50, sample.HalfLoadP99, sample.HalfLoadP999 = recorded.quantile(50), recorded.quantile(99), recorded.quantile(99.9)
	sample.Errors += recorded.errors
	return err
}
