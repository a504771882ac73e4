// Package functionstore emulates the function store. It provides an HTTP server, from which workers fetch the artefacts
// of functions, and the workers' client.
package functionstore

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"havencart/lab/model"
)

// Server is a running function store.
type Server struct {
	clock *model.RealClock
	store *model.Store
	http  http.Server
	addr  string
	done  chan struct{}
}

// Start starts a store at address. Port 0 chooses a free port.
func Start(clock *model.RealClock, cfg model.StoreConfig, address string) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("function store: %w", err)
	}
	s := &Server{clock: clock, addr: l.Addr().String(), done: make(chan struct{})}
	clock.Do(func() { s.store = model.NewStore(clock, cfg) })
	mux := http.NewServeMux()
	mux.HandleFunc("GET /artefact/{function}", s.handleFetch)
	s.http.Handler = mux
	go func() {
		defer close(s.done)
		_ = s.http.Serve(l) // returns once the server is closed
	}()
	return s, nil
}

// Address returns the address at which the store listens.
func (s *Server) Address() string { return s.addr }

// Close stops the store.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}

// Do calls f with the model of the store, between two events of the clock.
func (s *Server) Do(f func(*model.Store)) { s.clock.Do(func() { f(s.store) }) }

// Stop makes the store reject all fetches for d.
func (s *Server) Stop(d time.Duration) { s.Do(func(m *model.Store) { m.StartOutage(d) }) }

// Slow makes fetches take factor times as long. A factor of 1 restores the normal speed.
func (s *Server) Slow(factor float64) { s.Do(func(m *model.Store) { m.SetSlowdown(factor) }) }

// Fail makes a fraction of the fetches fail. A share of 0 ends the fault.
func (s *Server) Fail(share float64) { s.Do(func(m *model.Store) { m.SetFailureShare(share) }) }

// handleFetch handles a fetch whose duration at full speed is the parameter takes. It responds with status 200 once the
// fetch has succeeded, or with 503 if the store rejects it or it fails.
func (s *Server) handleFetch(w http.ResponseWriter, r *http.Request) {
	work, err := time.ParseDuration(r.URL.Query().Get("takes"))
	if err != nil || work < 0 {
		http.Error(w, "takes: a duration is wanted", http.StatusBadRequest)
		return
	}
	fetched := make(chan bool, 1)
	s.Do(func(m *model.Store) { m.Fetch(work, func(ok bool) { fetched <- ok }) })
	select {
	case ok := <-fetched:
		if !ok {
			http.Error(w, "too many fetches, or stopped", http.StatusServiceUnavailable)
		}
	case <-r.Context().Done():
	}
}
