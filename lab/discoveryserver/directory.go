// Package discoveryserver is the emulated directory: a list of workers served on Consul's health endpoint with
// blocking queries, and the troubles that such a service has. Each front end that asks is told what it is told
// on its own, and the record of it is kept: when a notice reached whom.
package discoveryserver

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	list "havencart/internal/discovery"
	"havencart/scheduler"
)

// Entry is one worker as the directory lists it.
type Entry struct {
	Name, Address, Zone, Cell string
	Started                   time.Time
	State                     scheduler.WorkerState // Gone: left out, or listed as critical
	Critical                  bool                  // a worker that is gone is listed as critical in place of left out
}

// Notice is one list as it was sent to one client.
type Update struct {
	At     time.Time
	Client string // as it calls itself (User-Agent)
	States map[string]scheduler.WorkerState
}

// Server is a running directory.
type Server struct {
	http http.Server
	addr string
	done chan struct{}

	mu          sync.Mutex
	entries     map[string]Entry
	order       []string
	index       uint64
	changed     chan struct{} // closed at each change
	lag         time.Duration
	down        bool
	listedShare float64 // share of the workers that the list names
	updates     []Update
}

// Start starts a directory at address for any service's name; port 0 takes a free one.
func Start(address string) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("directory: %w", err)
	}
	s := &Server{
		addr: l.Addr().String(), done: make(chan struct{}), entries: map[string]Entry{}, index: 1,
		changed: make(chan struct{}), listedShare: 1,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health/service/{name}", s.handleHealth)
	s.http.Handler = mux
	go func() {
		defer close(s.done)
		_ = s.http.Serve(l) // ends by Close
	}()
	return s, nil
}

// URL is where the directory is asked.
func (s *Server) URL() string { return "http://" + s.addr }

// Close ends the directory.
func (s *Server) Close() {
	s.http.Close()
	<-s.done
}

// Set adds or changes entries; front ends are told after the lag.
func (s *Server) Set(entries ...Entry) {
	s.mu.Lock()
	lag := s.lag
	s.mu.Unlock()
	apply := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, e := range entries {
			if _, known := s.entries[e.Name]; !known {
				s.order = append(s.order, e.Name)
			}
			s.entries[e.Name] = e
		}
		s.setIndex(s.index + 1)
	}
	if lag > 0 {
		time.AfterFunc(lag, apply)
		return
	}
	apply()
}

// changed gives the list another index and wakes who waits; the lock is held.
func (s *Server) setIndex(index uint64) {
	s.index = index
	close(s.changed)
	s.changed = make(chan struct{})
}

// Lag makes changes be told later from now on.
func (s *Server) Lag(d time.Duration) { s.update(func() { s.lag = d }) }

// Down makes the directory answer 500, or behave again.
func (s *Server) Down(on bool) { s.update(func() { s.down = on; s.setIndex(s.index + 1) }) }

// Partial makes the list name only a share of the workers; 1 ends it.
func (s *Server) Partial(share float64) {
	s.update(func() { s.listedShare = share; s.setIndex(s.index + 1) })
}

// Back makes the index begin again, as after a loss of the service's state.
func (s *Server) Back() { s.update(func() { s.setIndex(1) }) }

func (s *Server) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// Notices returns what was sent to whom so far.
func (s *Server) Updates() []Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Update(nil), s.updates...)
}

// health answers a query, a blocking one once the list is another than the client knows.
func (s *Server) handleHealth(w http.ResponseWriter, r *http.Request) {
	known, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		wait = 5 * time.Minute
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		index, change, down := s.index, s.changed, s.down
		s.mu.Unlock()
		if down {
			http.Error(w, "no leader", http.StatusInternalServerError)
			return
		}
		if known == 0 || index != known {
			break
		}
		select {
		case <-change:
			continue
		case <-r.Context().Done():
			return
		case <-timer.C:
		}
		break
	}
	s.respond(w, r)
}

// answer sends the list. What it tells counts as told once it is sent, so it is recorded last.
func (s *Server) respond(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	index, instances, states := s.index, []list.Instance{}, map[string]scheduler.WorkerState{}
	shown := int(s.listedShare*float64(len(s.order)) + 0.5)
	for _, name := range s.order {
		states[name] = scheduler.Removed
	}
	for _, name := range s.order[:shown] {
		e := s.entries[name]
		states[name] = e.State
		if e.State != scheduler.Removed || e.Critical {
			instances = append(instances, e.instance())
		}
	}
	s.mu.Unlock()
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	w.Header().Set("Content-Type", "application/json")
	if json.NewEncoder(w).Encode(instances) != nil || http.NewResponseController(w).Flush() != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updates = append(s.updates, Update{At: time.Now(), Client: r.UserAgent(), States: states})
}

func (e Entry) instance() (i list.Instance) {
	host, port, _ := net.SplitHostPort(e.Address)
	i.Service.ID, i.Service.Address = e.Name, host
	i.Service.Port, _ = strconv.Atoi(port)
	i.Service.Meta = map[string]string{"zone": e.Zone, "cell": e.Cell}
	if !e.Started.IsZero() {
		i.Service.Meta["started"] = strconv.FormatInt(e.Started.UnixMilli(), 10)
	}
	status := list.Check{CheckID: "service:" + e.Name, Status: "passing"}
	switch e.State {
	case scheduler.Draining:
		status = list.Check{CheckID: "_service_maintenance:" + e.Name, Status: "critical"}
	case scheduler.Removed:
		status.Status = "critical"
	}
	i.Checks = []list.Check{status}
	return i
}
