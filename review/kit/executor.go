//go:build review

package kit

import (
	"bufio"
	"fmt"
	"strconv"
	"sync"
	"time"
)

// Fleet is what all executors of a case share.
type Fleet struct {
	Record *Record
	// OnMiss is "load" (an executor without the function loads it while the request waits) or "miss" (it answers so).
	OnMiss   string
	LoadTime time.Duration
	Work     func(class string) time.Duration
	// Window returns for how long a cell remembers the key of a request of a keyed class, 0 for other classes.
	Window func(class string) time.Duration
	Report string // the load report of an answer, as in "queue:0"; "" for none
	// Unknown, if not nil, reports whether no executor knows the function; a request for it is answered with an error.
	Unknown func(function string) bool
	// Arrived, if not nil, is called when a request has come whole.
	Arrived func(e *Executor, a *Arrival)

	mu       sync.Mutex
	arrivals []*Arrival
	memory   map[string]time.Duration // by cell and key: when the first run of that key began
}

// Arrival is one attempt that came whole to an executor.
type Arrival struct {
	Request  string // id of the request
	Class    string
	Function string
	Once     string
	Executor *Executor
	Conn     *Conn
	At       time.Duration
	RanAt    time.Duration // when it began to run; 0 if it did not
	Repeat   bool          // it was dropped as the repeat of a key that the group remembers
	GivenUp  bool
}

// Executor is a stand-in for one executor.
type Executor struct {
	ID   uint32
	Zone int
	Cell int
	Path *Path

	fleet *Fleet

	mu      sync.Mutex
	loaded  map[string]bool
	loading map[string]chan struct{}
	open    map[*Conn]int // requests on each open connection
}

// Name returns the executor's name in lists.
func (e *Executor) Name() string { return fmt.Sprintf("s-%08x", e.ID) }

// NewExecutor starts an executor.
func (f *Fleet) NewExecutor(id uint32, zone, cell int) (*Executor, error) {
	e := &Executor{
		ID: id, Zone: zone, Cell: cell, fleet: f,
		loaded: map[string]bool{}, loading: map[string]chan struct{}{}, open: map[*Conn]int{},
	}
	path, err := NewPath("127.0.0.1", e.serve)
	e.Path = path
	return e, err
}

// Has reports whether the function is loaded.
func (e *Executor) Has(function string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loaded[function]
}

// Connections returns the number of open connections, and how many of them have no request open.
func (e *Executor) Connections() (open, idle int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, requests := range e.open {
		if requests == 0 {
			idle++
		}
	}
	return len(e.open), idle
}

// Arrivals returns all attempts that came whole so far.
func (f *Fleet) Arrivals() []*Arrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Arrival(nil), f.arrivals...)
}

func (e *Executor) serve(c *Conn) {
	defer func() { _ = c.Close() }()
	e.mu.Lock()
	e.open[c] = 0
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.open, c)
		e.mu.Unlock()
	}()
	var write sync.Mutex
	answer := func(f frame) {
		write.Lock()
		defer write.Unlock()
		_, _ = c.Write(appendFrame(nil, f))
	}
	onConn := map[uint64]*Arrival{}
	var mu sync.Mutex
	reader := bufio.NewReaderSize(c, 64<<10)
	for {
		f, err := readFrame(reader)
		if err != nil {
			mu.Lock() // all that is open on it is given up
			e.fleet.mu.Lock()
			for _, a := range onConn {
				a.GivenUp = true
			}
			e.fleet.mu.Unlock()
			mu.Unlock()
			return
		}
		switch f.code {
		case codeRequest:
			a := e.arrive(c, f)
			mu.Lock()
			onConn[f.id] = a
			mu.Unlock()
			go e.run(a, f, answer)
		case codeGiveUp:
			mu.Lock()
			if a := onConn[f.id]; a != nil {
				e.fleet.mu.Lock()
				a.GivenUp = true
				e.fleet.mu.Unlock()
				e.fleet.Record.Line("given up   %s at %s", a.Request, e.Name())
			}
			mu.Unlock()
		case codeHealth, codeReport:
			answer(frame{code: codeHealthy, id: f.id, fields: e.report()})
		case codeLoad:
			go e.load(f, answer)
		case codeUnload:
			e.mu.Lock()
			delete(e.loaded, fmt.Sprintf("%016x", f.id))
			e.mu.Unlock()
		}
	}
}

func (e *Executor) report() string {
	if e.fleet.Report == "" {
		return ""
	}
	return "rep=" + e.fleet.Report
}

func (e *Executor) arrive(c *Conn, f frame) *Arrival {
	a := &Arrival{
		Request: fmt.Sprintf("%016x", f.id), Class: f.field("lane"), Function: f.field("name"), Once: f.field("dedupe"),
		Executor: e, Conn: c, At: Now(),
	}
	e.mu.Lock()
	e.open[c]++
	e.mu.Unlock()
	e.fleet.mu.Lock()
	e.fleet.arrivals = append(e.fleet.arrivals, a)
	e.fleet.mu.Unlock()
	e.fleet.Record.LineAt(a.At, "arrives    %s class %s key %s once %s at %s cell %d", a.Request, a.Class, a.Function, a.Once, e.Name(), e.Cell)
	if e.fleet.Arrived != nil {
		e.fleet.Arrived(e, a)
	}
	return a
}

// run carries out a request and answers it.
func (e *Executor) run(a *Arrival, f frame, answer func(frame)) {
	defer func() {
		e.mu.Lock()
		if _, isOpen := e.open[a.Conn]; isOpen {
			e.open[a.Conn]--
		}
		e.mu.Unlock()
	}()
	if e.fleet.Unknown != nil && e.fleet.Unknown(a.Function) {
		answer(frame{code: codeError, id: f.id, fields: e.report()})
		return
	}
	if !e.Has(a.Function) {
		if e.fleet.OnMiss == "miss" && !e.isLoading(a.Function) {
			e.fleet.Record.Line("miss       %s at %s", a.Request, e.Name())
			answer(frame{code: codeMiss, id: f.id, fields: e.report()})
			return
		}
		<-e.startLoad(a.Function)
	}
	if e.begin(a) {
		time.Sleep(e.fleet.Work(a.Class))
	}
	answer(frame{code: codeOK, id: f.id, fields: e.report(), body: f.body})
}

// begin reports whether a request runs; the repeat of a key that the group remembers does not.
func (e *Executor) begin(a *Arrival) bool {
	fl := e.fleet
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := Now()
	if a.GivenUp {
		fl.Record.LineAt(now, "dropped    %s at %s: given up", a.Request, e.Name())
		return false
	}
	if window := fl.Window(a.Class); window > 0 {
		if fl.memory == nil {
			fl.memory = map[string]time.Duration{}
		}
		group := strconv.Itoa(e.Cell) + " " + a.Once
		if first, known := fl.memory[group]; known && now-first <= window {
			a.Repeat = true
			fl.Record.LineAt(now, "repeat     %s at %s: not run", a.Request, e.Name())
			return false
		}
		fl.memory[group] = now
	}
	a.RanAt = now
	fl.Record.LineAt(now, "runs       %s class %s once %s at %s", a.Request, a.Class, a.Once, e.Name())
	return true
}

func (e *Executor) isLoading(function string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loading[function] != nil
}

// startLoad loads a function, unless it is loaded or loading, and returns a channel that is closed when it is loaded.
func (e *Executor) startLoad(function string) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if done := e.loading[function]; done != nil {
		return done
	}
	done := make(chan struct{})
	if e.loaded[function] {
		close(done)
		return done
	}
	e.loading[function] = done
	go func() {
		time.Sleep(e.fleet.LoadTime)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.loaded[function] = true
		delete(e.loading, function)
		close(done)
	}()
	return done
}

// load carries out an order to load.
func (e *Executor) load(f frame, answer func(frame)) {
	function := f.field("name")
	if e.fleet.Unknown != nil && e.fleet.Unknown(function) {
		answer(frame{code: codeError, id: f.id, fields: "replicas=0"})
		return
	}
	if replicas, _ := strconv.Atoi(f.field("replicas")); replicas > 0 {
		e.fleet.Record.Line("order      to load %s at %s", function, e.Name())
		<-e.startLoad(function)
	}
	fields := "replicas=0"
	if e.Has(function) {
		fields = "replicas=1"
	}
	if report := e.report(); report != "" {
		fields += "," + report
	}
	answer(frame{code: codeOK, id: f.id, fields: fields})
}
