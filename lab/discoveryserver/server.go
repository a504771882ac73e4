// Package discoveryserver emulates endpoint discovery by Consul. It serves the endpoint list on Consul's health
// endpoint with blocking queries, injects the faults that such a service has, and records which list each front end
// received and when.
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
	defaultWait = 5 * time.Minute // longest wait of a blocking query without the wait parameter
	firstIndex  = 1
)

// Entry is one worker in the endpoint list.
type Entry struct {
	Name, Address, Zone, Cell string
	Started                   time.Time             // start of the worker's process; omitted from the list if zero
	State                     scheduler.WorkerState // a Removed worker is not listed, or is listed as critical
	Critical                  bool                  // list the worker as critical when it is Removed
}

// Update is an endpoint list that was sent to a client.
type Update struct {
	At     time.Time
	Client string // User-Agent of the client
	States map[string]scheduler.WorkerState
}

// Server is a running discovery service.
type Server struct {
	http http.Server
	addr string
	done chan struct{}

	mu          sync.Mutex
	entries     map[string]Entry
	order       []string      // names of the entries in the order in which they were added
	index       uint64        // index of the list, as Consul counts it
	changed     chan struct{} // closed and replaced at each change of the index
	lag         time.Duration // delay of changes to the list
	down        bool          // respond to queries with status 500
	listedShare float64       // fraction of the workers that the list contains, 0 to 1
	updates     []Update
}

// Start starts a discovery service at address. It lists the same workers for every service name. Port 0 chooses a free
// port.
func Start(address string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("discovery server: %w", err)
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
		_ = server.http.Serve(listener) // returns once the server is closed
	}()
	return server, nil
}

// URL returns the base URL of the service.
func (s *Server) URL() string { return "http://" + s.addr }

// Close stops the service.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}

// Set adds entries, or replaces those of the same name. The list changes after the lag.
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

// apply adds or replaces entries. The caller holds the lock.
func (s *Server) apply(entries []Entry) {
	for _, e := range entries {
		if _, known := s.entries[e.Name]; !known {
			s.order = append(s.order, e.Name)
		}
		s.entries[e.Name] = e
	}
	s.setIndex(s.index + 1)
}

// setIndex changes the index of the list and wakes the blocking queries. The caller holds the lock.
func (s *Server) setIndex(index uint64) {
	s.index = index
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetLag delays the effect of later calls of Set by d.
func (s *Server) SetLag(d time.Duration) { s.update(func() { s.lag = d }) }

// SetDown begins or ends an outage, in which the service responds to each query with status 500.
func (s *Server) SetDown(on bool) {
	s.update(func() {
		s.down = on
		s.setIndex(s.index + 1)
	})
}

// SetListedShare restricts the list to a fraction of the workers, those that were added first. 1 lists all of them.
func (s *Server) SetListedShare(share float64) {
	s.update(func() {
		s.listedShare = share
		s.setIndex(s.index + 1)
	})
}

// ResetIndex makes the index start over, as after a loss of the service's state.
func (s *Server) ResetIndex() { s.update(func() { s.setIndex(firstIndex) }) }

// update calls change with the lock held.
func (s *Server) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// Updates returns the endpoint lists that were sent so far.
func (s *Server) Updates() []Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.updates)
}

// handleHealth handles a query. It responds to a blocking query once the index differs from the one that the client
// names, or when its wait is over.
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

// respond sends the list. It records the list only after sending it, because the client can have received it only then.
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

// list returns the current index and list, and the state of every worker. The state of a worker that is not listed is
// Removed.
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

// instance returns the entry in Consul's form.
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
