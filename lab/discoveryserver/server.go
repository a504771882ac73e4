// Package discoveryserver emulates endpoint discovery: a list of workers served on Consul's health endpoint with
// blocking queries, and the faults that such a service has. It records which front end received which list when.
package discoveryserver

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"havencart/internal/discovery"
	"havencart/scheduler"
)

const (
	defaultWait = 5 * time.Minute // of a blocking query that does not say
	firstIndex  = 1
)

// Entry is one worker as discovery lists it.
type Entry struct {
	Name, Address, Zone, Cell string
	Started                   time.Time
	State                     scheduler.WorkerState // Removed: not listed, or listed as critical
	Critical                  bool                  // a removed worker is listed as critical
}

// Update is one list as it was sent to one client.
type Update struct {
	At     time.Time
	Client string // as it names itself in User-Agent
	States map[string]scheduler.WorkerState
}

// Server is a running discovery service.
type Server struct {
	http http.Server
	addr string
	done chan struct{}

	mu          sync.Mutex
	entries     map[string]Entry
	order       []string // of the entries' names
	index       uint64   // of the list
	changed     chan struct{}
	lag         time.Duration
	down        bool
	listedShare float64 // share of the workers that the list names
	updates     []Update
}

// Start starts a service at address, for any service name; port 0 chooses a free one.
func Start(address string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("directory: %w", err)
	}
	server := &Server{
		addr:        listener.Addr().String(),
		done:        make(chan struct{}),
		entries:     map[string]Entry{},
		index:       firstIndex,
		changed:     make(chan struct{}),
		listedShare: 1,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health/service/{name}", server.handleHealth)
	server.http.Handler = mux
	go func() {
		defer close(server.done)
		_ = server.http.Serve(listener) // ends by Close
	}()
	return server, nil
}

// URL is where the service is queried.
func (s *Server) URL() string { return "http://" + s.addr }

// Close ends the service.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}

// Set adds or changes entries. Front ends are notified after the lag.
func (s *Server) Set(entries ...Entry) {
	s.mu.Lock()
	lag := s.lag
	s.mu.Unlock()
	apply := func() { s.update(func() { s.apply(entries) }) }
	if lag > 0 {
		time.AfterFunc(lag, apply)
		return
	}
	apply()
}

// apply changes entries. The lock is held.
func (s *Server) apply(entries []Entry) {
	for _, e := range entries {
		if _, known := s.entries[e.Name]; !known {
			s.order = append(s.order, e.Name)
		}
		s.entries[e.Name] = e
	}
	s.setIndex(s.index + 1)
}

// setIndex gives the list another index and wakes the blocking queries. The lock is held.
func (s *Server) setIndex(index uint64) {
	s.index = index
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetLag delays the notification of changes from now on.
func (s *Server) SetLag(d time.Duration) { s.update(func() { s.lag = d }) }

// SetDown makes the service respond with 500, or ends that.
func (s *Server) SetDown(on bool) {
	s.update(func() {
		s.down = on
		s.setIndex(s.index + 1)
	})
}

// SetListedShare makes the list name only a share of the workers; 1 ends it.
func (s *Server) SetListedShare(share float64) {
	s.update(func() {
		s.listedShare = share
		s.setIndex(s.index + 1)
	})
}

// ResetIndex makes the index start again, as after a loss of the service's state.
func (s *Server) ResetIndex() { s.update(func() { s.setIndex(firstIndex) }) }

func (s *Server) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// Updates returns the lists that were sent so far.
func (s *Server) Updates() []Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.updates)
}

// handleHealth responds to a query; to a blocking one when the list is another than the client knows.
func (s *Server) handleHealth(w http.ResponseWriter, r *http.Request) {
	known, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		wait = defaultWait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		index, changed, down := s.index, s.changed, s.down
		s.mu.Unlock()
		if down {
			http.Error(w, "no leader", http.StatusInternalServerError)
			return
		}
		if known == 0 || index != known {
			s.respond(w, r)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			s.respond(w, r)
			return
		}
	}
}

// respond sends the list. It counts as received once it is sent, so it is recorded last.
func (s *Server) respond(w http.ResponseWriter, r *http.Request) {
	index, instances, states := s.list()
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	w.Header().Set("Content-Type", "application/json")
	if json.NewEncoder(w).Encode(instances) != nil || http.NewResponseController(w).Flush() != nil {
		return
	}
	s.update(func() {
		s.updates = append(s.updates, Update{At: time.Now(), Client: r.UserAgent(), States: states})
	})
}

// list is the list as it is now, and the state of every worker in it; one that is not listed is Removed.
func (s *Server) list() (index uint64, instances []discovery.ConsulInstance, states map[string]scheduler.WorkerState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	instances, states = []discovery.ConsulInstance{}, map[string]scheduler.WorkerState{}
	for _, name := range s.order {
		states[name] = scheduler.Removed
	}
	listed := int(s.listedShare*float64(len(s.order)) + 0.5)
	for _, name := range s.order[:listed] {
		e := s.entries[name]
		states[name] = e.State
		if e.State != scheduler.Removed || e.Critical {
			instances = append(instances, e.instance())
		}
	}
	return s.index, instances, states
}

// instance is the entry as Consul lists it.
func (e Entry) instance() (i discovery.ConsulInstance) {
	host, port, _ := net.SplitHostPort(e.Address)
	i.Service.ID, i.Service.Address = e.Name, host
	i.Service.Port, _ = strconv.Atoi(port)
	i.Service.Meta = map[string]string{"zone": e.Zone, "cell": e.Cell}
	if !e.Started.IsZero() {
		i.Service.Meta["started"] = strconv.FormatInt(e.Started.UnixMilli(), 10)
	}
	check := discovery.ConsulCheck{CheckID: "service:" + e.Name, Status: "passing"}
	switch e.State {
	case scheduler.Draining:
		check = discovery.ConsulCheck{CheckID: "_service_maintenance:" + e.Name, Status: "critical"}
	case scheduler.Removed:
		check.Status = "critical"
	}
	i.Checks = []discovery.ConsulCheck{check}
	return i
}
