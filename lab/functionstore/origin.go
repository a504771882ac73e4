// Package functionstore is the emulated function store: an HTTP server on loopback that all workers fetch from, and
// their client to it.
package functionstore

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"havencart/lab/model"
)

// Server is a running store.
type Server struct {
	clock *model.RealClock
	store *model.Store
	http  http.Server
	addr  string
	done  chan struct{}
}

// Start starts a store at address; port 0 takes a free one.
func Start(world *model.RealClock, cfg model.StoreConfig, address string) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("function store: %w", err)
	}
	s := &Server{clock: world, addr: l.Addr().String(), done: make(chan struct{})}
	world.Do(func() { s.store = model.NewStore(world, cfg) })
	mux := http.NewServeMux()
	mux.HandleFunc("GET /artefact/{function}", s.handleFetch)
	s.http.Handler = mux
	go func() {
		defer close(s.done)
		_ = s.http.Serve(l) // ends by Close
	}()
	return s, nil
}

// Address is where the store listens.
func (s *Server) Address() string { return s.addr }

// Close ends the store.
func (s *Server) Close() {
	s.http.Close()
	<-s.done
}

// Do runs f on the model, between its events.
func (s *Server) Do(f func(*model.Store)) { s.clock.Do(func() { f(s.store) }) }

// Stop makes the store turn everything away for d.
func (s *Server) Stop(d time.Duration) { s.Do(func(m *model.Store) { m.StartOutage(d) }) }

// Slow makes fetches take factor times as long; 1 ends it.
func (s *Server) Slow(factor float64) { s.Do(func(m *model.Store) { m.SetSlowdown(factor) }) }

// Fail makes a share of the fetches fail.
func (s *Server) Fail(share float64) { s.Do(func(m *model.Store) { m.SetFailureShare(share) }) }

// fetch answers 200 once an artefact has been served, 503 where the store turns it away.
func (s *Server) handleFetch(w http.ResponseWriter, r *http.Request) {
	took, err := time.ParseDuration(r.URL.Query().Get("takes"))
	if err != nil || took < 0 {
		http.Error(w, "takes: a duration is wanted", http.StatusBadRequest)
		return
	}
	answer := make(chan bool, 1)
	s.Do(func(m *model.Store) { m.Fetch(took, func(ok bool) { answer <- ok }) })
	select {
	case ok := <-answer:
		if !ok {
			http.Error(w, "too many fetches, or stopped", http.StatusServiceUnavailable)
		}
	case <-r.Context().Done():
	}
}

// Client fetches for the workers of one world.
type Client struct {
	clock  *model.RealClock
	url    string
	http   *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// NewClient returns a client of the store at address.
func NewClient(world *model.RealClock, address string) *Client {
	c := &Client{clock: world, url: "http://" + address, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64,
	}}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Fetch implements model.Fetcher.
func (c *Client) Fetch(function string, work time.Duration, done func(ok bool)) {
	c.tasks.Go(func() {
		ok := c.fetch(function, work)
		c.clock.Do(func() { done(ok) })
	})
}

func (c *Client) fetch(function string, work time.Duration) bool {
	at := fmt.Sprintf("%s/artefact/%s?takes=%v", c.url, url.PathEscape(function), work)
	request, err := http.NewRequestWithContext(c.ctx, http.MethodGet, at, nil)
	if err != nil {
		return false
	}
	response, err := c.http.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Close ends all fetches under way.
func (c *Client) Close() {
	c.cancel()
	c.tasks.Wait()
	c.http.CloseIdleConnections()
}
