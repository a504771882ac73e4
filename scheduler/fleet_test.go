package scheduler

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// These tests check what many front ends, each with its own Scheduler and without communication, together send to one
// cold worker.

// fleet simulates many Schedulers that share the same workers, in virtual time.
type fleet struct {
	rng        *rand.Rand
	set        Settings
	now        time.Duration
	frontEnds  []*fleetFront
	list       []WorkerInfo
	replicas   map[replicaKey]time.Duration // time from which each replica is loaded
	run        time.Duration
	load       time.Duration
	pending    fleetEvents
	seq        int
	coldWorker WorkerID
	sends      []time.Duration // times of sends to the cold worker
	served     int
	loads      int
	draw       func() FunctionID

	connectFailures float64 // fraction of the attempts at the other workers that fail to connect
}

// fleetFront is one front end of a fleet.
type fleetFront struct {
	*fleet
	scheduler     *Scheduler
	trafficWeight float64 // relative to the other front ends
	incarnation   int
	nextID        RequestID
	attempts      map[RequestID]int
}

type fleetEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type fleetEvents []fleetEvent

func (h fleetEvents) Len() int { return len(h) }
func (h fleetEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h fleetEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *fleetEvents) Push(x any)   { *h = append(*h, x.(fleetEvent)) }
func (h *fleetEvents) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.pending, fleetEvent{f.now + d, f.seq, do})
}

func (f *fleet) advanceTo(until time.Duration) {
	for len(f.pending) > 0 && f.pending[0].at <= until {
		e := heap.Pop(&f.pending).(fleetEvent)
		f.now = e.at
		e.do()
	}
	f.now = until
}

// start starts or restarts a front end.
func (f *fleet) start(frontEnd *fleetFront, index int) {
	frontEnd.incarnation++
	set := f.set
	set.FrontEndIndex, set.Seed = index, f.rng.Uint64()
	frontEnd.attempts = map[RequestID]int{}
	frontEnd.scheduler = New(f.now, set, frontEnd)
	frontEnd.scheduler.WorkersChanged(f.now, f.list, true)
}

// later schedules a call for a front end unless the front end is restarted before.
func (frontEnd *fleetFront) later(d time.Duration, do func()) {
	incarnation := frontEnd.incarnation
	frontEnd.after(d, func() {
		if frontEnd.incarnation == incarnation {
			do()
		}
	})
}

func (frontEnd *fleetFront) SetTimer(after time.Duration, token uint64) {
	frontEnd.later(max(after, frontEnd.set.Resolution), func() { frontEnd.scheduler.TimerFired(frontEnd.now, token) })
}

func (frontEnd *fleetFront) Send(r RequestID, w WorkerID, _ time.Duration) {
	q := frontEnd.scheduler.requests[r]
	key, attempt := replicaKey{w, q.Function}, frontEnd.attempts[r]
	frontEnd.attempts[r]++
	if w == frontEnd.coldWorker {
		frontEnd.sends = append(frontEnd.sends, frontEnd.now)
	}
	if w != frontEnd.coldWorker && frontEnd.rng.Float64() < frontEnd.connectFailures {
		frontEnd.later(connectTimeout, func() {
			frontEnd.scheduler.AttemptEnded(frontEnd.now, Outcome{Request: r, Attempt: attempt, Worker: w, Status: ConnectFailed, Latency: connectTimeout, QueueDepth: -1})
		})
		return
	}
	if _, isLoaded := frontEnd.replicas[key]; !isLoaded {
		frontEnd.replicas[key] = frontEnd.now + frontEnd.load
		frontEnd.loads++
	}
	latency := max(0, frontEnd.replicas[key]-frontEnd.now) + time.Duration(frontEnd.rng.ExpFloat64()*float64(frontEnd.run))
	frontEnd.later(latency, func() {
		frontEnd.served++
		frontEnd.scheduler.AttemptEnded(frontEnd.now, Outcome{Request: r, Attempt: attempt, Worker: w, Status: OK, Latency: latency, RequestClosed: true, QueueDepth: -1})
	})
}

func (frontEnd *fleetFront) Load(w WorkerID, fn FunctionID, replicas int) {
	loaded := 0
	if since, isLoaded := frontEnd.replicas[replicaKey{w, fn}]; isLoaded && since <= frontEnd.now {
		loaded = 1
	}
	latency := ms
	if replicas > 0 && loaded == 0 {
		latency, loaded = frontEnd.load, 1
		frontEnd.loads++
		frontEnd.replicas[replicaKey{w, fn}] = frontEnd.now + frontEnd.load
	}
	frontEnd.later(latency, func() {
		frontEnd.scheduler.LoadEnded(frontEnd.now, LoadResult{Worker: w, Function: fn, Status: OK, Latency: latency, Replicas: loaded})
	})
}

func (frontEnd *fleetFront) Reject(RequestID, time.Duration, FinishCause) {}
func (frontEnd *fleetFront) Fail(RequestID, FinishCause)                  {}
func (frontEnd *fleetFront) Cancel(RequestID, int)                        {}
func (frontEnd *fleetFront) Unload(WorkerID, FunctionID)                  {}
func (frontEnd *fleetFront) CheckHealth(WorkerID)                         {}
func (frontEnd *fleetFront) WatchEndpoints()                              {}
func (frontEnd *fleetFront) Log(string)                                   {}

// arrivals generates the front end's share of requests at the given total rate.
func (frontEnd *fleetFront) arrivals(rate float64) {
	var next func()
	next = func() {
		frontEnd.nextID++
		frontEnd.scheduler.RequestReceived(frontEnd.now, Request{ID: frontEnd.nextID, Class: frontEnd.rng.IntN(2), Function: frontEnd.draw(), Timeout: 3 * time.Second, ReplicaConcurrency: 4})
		frontEnd.after(time.Duration(frontEnd.rng.ExpFloat64()/(rate*frontEnd.trafficWeight)*float64(time.Second)), next)
	}
	frontEnd.after(time.Duration(frontEnd.rng.ExpFloat64()/(rate*frontEnd.trafficWeight)*float64(time.Second)), next)
}

const (
	// fleetLoad is the requested fraction of the capacity of the warm workers, the highest of the platform's large
	// scenarios.
	fleetLoad         = 0.6
	requestsPerWorker = 20 // requests per second that a warm worker can serve
	connectTimeout    = 250 * ms
)

// newFleet starts a fleet with unequal traffic: a tenth of the front ends receives four times the traffic of the
// others.
func newFleet(seed uint64, frontEnds, workers, functions int, set Settings) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 7)), set: set, now: time.Minute, replicas: map[replicaKey]time.Duration{},
		run: 100 * ms, load: 500 * ms, coldWorker: WorkerID(workers),
	}
	f.set.FrontEndCount = frontEnds
	for i := range workers {
		f.list = append(f.list, WorkerInfo{ID: WorkerID(i + 1), Cell: i % 2, Started: UnknownStart, State: Ready, Scale: 1})
	}
	f.list[workers-1].State = Removed
	totalWeight := 0.0
	for i := range frontEnds {
		frontEnd := &fleetFront{fleet: f, trafficWeight: 1}
		if i%10 == 0 {
			frontEnd.trafficWeight = 4
		}
		totalWeight += frontEnd.trafficWeight
		f.frontEnds = append(f.frontEnds, frontEnd)
	}
	zipf := rand.NewZipf(f.rng, 1.3, 2, uint64(functions-1))
	f.draw = func() FunctionID { return FunctionID(1000 + zipf.Uint64()) }
	rate := fleetLoad * requestsPerWorker * float64(workers-1)
	for i, frontEnd := range f.frontEnds {
		frontEnd.trafficWeight /= totalWeight
		f.after(time.Duration(i)*set.Resolution, func() { f.start(frontEnd, i) })
		f.after(time.Second, func() { frontEnd.arrivals(rate) })
	}
	return f
}

// worstOverload returns the largest excess of sends to the cold worker over the limit in any window, with a
// description.
func (f *fleet) worstOverload(began time.Duration) (excess float64, text string) {
	from := 0
	excess = math.Inf(-1)
	for i, at := range f.sends {
		for f.sends[from] <= at-f.set.OverloadWindow {
			from++
		}
		age := max(0, at-f.set.OverloadWindow-began)
		part := f.set.SlowStartFraction + (1-f.set.SlowStartFraction)*float64(age)/float64(f.set.SlowStartDuration)
		n := f.set.OverloadFactor * part * requestsPerWorker * f.set.OverloadWindow.Seconds()
		got, limit := float64(i-from+1), n+2*math.Sqrt(n)+2
		if got-limit > excess {
			excess, text = got-limit, fmt.Sprintf("%.0f sends in the window that ends %v after its start, want at most %.1f", got, at-began, limit)
		}
	}
	return excess, text
}

// functionsPlacedOnColdWorker returns functions for which the cold worker is the first in rendezvous order.
func (f *fleet) functionsPlacedOnColdWorker(n int) (out []FunctionID) {
	s := f.frontEnds[0].scheduler
	for id := FunctionID(1 << 20); len(out) < n; id++ {
		if s.rendezvousOrder(&functionRecord{id: id}, 1)[0].ID == f.coldWorker {
			out = append(out, id)
		}
	}
	return out
}

// TestFleet_ColdWorker_IsNotOverloaded verifies the slow start limit for the requests of all front ends together: at
// most N + 2 sqrt N + 2 requests per overload window, where N is the number that the settings allow the worker at its
// age.
func TestFleet_ColdWorker_IsNotOverloaded(t *testing.T) {
	for _, size := range []struct {
		frontEnds, workers int
		seeds              uint64
	}{{30, 12, 5}, {300, 60, 1}} {
		for _, test := range []struct {
			name string
			// newFunctions is the number of new functions, all placed on the cold worker, that replace the others; 0: none.
			newFunctions int
			restarts     time.Duration // time after the worker's start at which seven in ten front ends restart; 0: none
		}{
			{"unchanged", 0, 0},
			{"a few new functions", 4, 0},
			{"front end restarts", 0, 500 * ms},
			{"a few new functions and front end restarts", 4, 500 * ms},
		} {
			t.Run(fmt.Sprintf("%d front ends, %s", size.frontEnds, test.name), func(t *testing.T) {
				for seed := range size.seeds {
					f := newFleet(seed, size.frontEnds, size.workers, 400, testSettings())
					f.advanceTo(f.now + 4*time.Second)
					began := f.now
					f.list[size.workers-1].State, f.list[size.workers-1].Started = Ready, began
					for _, frontEnd := range f.frontEnds {
						frontEnd.scheduler.WorkersChanged(f.now, f.list, true)
					}
					if test.newFunctions > 0 {
						functions := f.functionsPlacedOnColdWorker(test.newFunctions)
						f.draw = func() FunctionID { return functions[f.rng.IntN(len(functions))] }
					}
					if test.restarts > 0 {
						f.advanceTo(f.now + test.restarts)
						for i, frontEnd := range f.frontEnds {
							if i%10 < 7 {
								f.start(frontEnd, i)
							}
						}
					}
					f.advanceTo(began + 5*time.Second)
					excess, text := f.worstOverload(began)
					t.Logf("seed %d: %s; %d sends, %d served", seed, text, len(f.sends), f.served)
					if excess > 0 {
						t.Errorf("seed %d: %s", seed, text)
					}
				}
			})
		}
	}
}

// TestFleet_ColdWorkerWhileOthersFail_IsNotOverloaded verifies the same limit while connections to the other workers
// time out, so that most workers are ejected at most front ends most of the time, and while half of the workers
// drain.
func TestFleet_ColdWorkerWhileOthersFail_IsNotOverloaded(t *testing.T) {
	const workers = 16
	for _, frontEnds := range []int{1, 3, 6, 30} {
		for _, half := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d front ends, half drain %t", frontEnds, half), func(t *testing.T) {
				for seed := range uint64(5) {
					f := newFleet(seed, frontEnds, workers, 200, testSettings())
					f.advanceTo(f.now + 4*time.Second)
					began := f.now
					f.connectFailures = 0.4
					f.list[workers-1].State, f.list[workers-1].Started = Ready, began
					for i := range workers / 2 {
						if half {
							f.list[i].State = Draining
						}
					}
					for _, frontEnd := range f.frontEnds {
						frontEnd.scheduler.WorkersChanged(f.now, f.list, true)
					}
					f.advanceTo(began + 8*time.Second)
					if excess, text := f.worstOverload(began); excess > 0 {
						t.Errorf("seed %d: %s", seed, text)
					}
				}
			})
		}
	}
}

// TestFleet_NewVersions_CauseNoExcessLoads guards against excess loads when four in ten of the loaded replicas become
// stale at once because their functions get a new version. Each must be loaded again where it is requested, but
// hundreds of front ends that see slower responses there must not load it at other workers too.
func TestFleet_NewVersions_CauseNoExcessLoads(t *testing.T) {
	for _, size := range []struct{ frontEnds, workers int }{{30, 12}, {300, 60}} {
		t.Run(fmt.Sprint(size.frontEnds, " front ends"), func(t *testing.T) {
			f := newFleet(1, size.frontEnds, size.workers, 200, testSettings())
			f.advanceTo(f.now + 8*time.Second)
			normalLoads := f.loads
			f.advanceTo(f.now + 3*time.Second)
			normalLoads = f.loads - normalLoads
			stale, before := 0, f.loads
			for key := range f.replicas {
				if key.function%10 < 4 {
					delete(f.replicas, key)
					stale++
				}
			}
			f.advanceTo(f.now + 3*time.Second)
			if got := f.loads - before; got < stale/4 || got > stale+stale/4+normalLoads {
				t.Errorf("%d replicas became stale; %d loads in the next 3 s, %d in the 3 s before", stale, got, normalLoads)
			}
		})
	}
}
