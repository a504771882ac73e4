//go:build review

// Command late-begin plays requests that are given up while the path to their executor is cut, on connections that other
// requests share.
package main

import (
	"fmt"
	"math/rand"
	"os"
	"sync"
	"time"

	"havencart/review/kit"
)

const (
	executors = 120
	cellSize  = 4
	cutCells  = 6 // 24 executors, a fifth
	cutLength = 1500 * time.Millisecond
	cutAt     = 9 * time.Second // the first one
	cutEvery  = 7 * time.Second
	cuts      = 4
	length    = cutAt + cuts*cutEvery
	rate      = 170 // requests a second
	functions = 25  // of each class
	patience  = 350 * time.Millisecond
	impatient = 0.01 // share of the requests that clients give up early
	allowed   = 150 * time.Millisecond
)

var classes = []struct {
	name  string
	share float64
	wait  time.Duration
	keyed bool
}{
	{"fare-quote", 0.42, 3000 * time.Millisecond, false},
	{"status-log", 0.4, 3000 * time.Millisecond, true},
	{"unlock-charge", 0.18, 2000 * time.Millisecond, false},
}

func main() {
	world, err := kit.NewWorld()
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	world.Exit(2, "the case could not run: %v", play(world))
}

// load is the clients of the front end.
type load struct {
	world   *kit.World
	address string
	names   [][]string

	mu      sync.Mutex
	clients []*kit.Client
	calls   []*kit.Call
	revoked int
}

// play ends the process, or returns why the case could not run.
func play(world *kit.World) error {
	fleet := &kit.Fleet{
		Record: world.Record, OnMiss: "load", LoadTime: 500 * time.Millisecond, Report: "queue:0",
		Work: func(string) time.Duration { return time.Duration(50+rand.Intn(250)) * time.Millisecond },
		Window: func(class string) time.Duration {
			if class == "status-log" {
				return 6050 * time.Millisecond
			}
			return 0
		},
	}
	var all []*kit.Executor
	for i := range executors {
		e, err := fleet.NewExecutor(uint32(0x00c41f00+i), 0, i/cellSize)
		if err != nil {
			return err
		}
		all = append(all, e)
	}
	bulletin, err := kit.NewBulletin()
	if err != nil {
		return err
	}
	frontEnd, err := world.Start(kit.FrontEndConfig{
		Ordinal: 0, Memory: 128, Sockets: 256, Cores: 1, Bulletin: bulletin.Address(), Known: all,
		Zones: kit.SicilyRidesZones, Kind: "quad-std", Settings: kit.SicilyRides(0, 24),
	})
	if err != nil {
		return err
	}
	clients := &load{world: world, address: frontEnd.Address}
	for range classes {
		var names []string
		for range functions {
			names = append(names, kit.RandomHex(16))
		}
		clients.names = append(clients.names, names)
	}
	start := kit.Now()
	if kit.HasTrouble() {
		go fallSilent(world, all, start+cutAt)
	}
	for next := start; kit.Now() < start+length; {
		next += time.Duration(rand.ExpFloat64() / rate * float64(time.Second))
		time.Sleep(next - kit.Now())
		sinceCut := (next - start - cutAt) % cutEvery
		if err := clients.send(sinceCut >= 0 && sinceCut < cutLength/2); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	return judge(world, fleet, clients)
}

// fallSilent makes a fifth of the executors fall silent, several times, others each time.
func fallSilent(world *kit.World, all []*kit.Executor, first time.Duration) {
	time.Sleep(first - kit.Now())
	for i := range cuts {
		world.Record.Line("cut        the executors of cells %d to %d fall silent", i*cutCells, (i+1)*cutCells-1)
		for _, e := range all {
			if e.Cell/cutCells == i {
				go e.Path.Cut()
			}
		}
		time.Sleep(cutLength)
		for _, e := range all {
			e.Path.Heal()
		}
		world.Record.Line("healed")
		time.Sleep(cutEvery - cutLength)
	}
}

// send sends a request. Its client may be one that gives up early.
func (l *load) send(mayGiveUp bool) error {
	draw, kind := rand.Float64(), 0
	for draw > classes[kind].share && kind < len(classes)-1 {
		draw -= classes[kind].share
		kind++
	}
	class := classes[kind]
	call := kit.NewCall(class.name, l.names[kind][int(rand.Float64()*rand.Float64()*functions)], class.wait)
	call.Tenant, call.Attrs = "palermo", "memory_mb:400;lanes:2"
	if class.keyed {
		call.Once = kit.RandomHex(32)
	}
	client, err := l.client()
	if err != nil {
		return err
	}
	if err := client.Send(call); err != nil {
		return err
	}
	l.mu.Lock()
	l.calls = append(l.calls, call)
	l.mu.Unlock()
	if mayGiveUp {
		go l.loseInterest(client, call)
	}
	return nil
}

// loseInterest gives up a call that has no answer for some time, within the share of clients that do.
func (l *load) loseInterest(client *kit.Client, call *kit.Call) {
	select {
	case <-call.Done():
		return
	case <-time.After(patience):
	}
	l.mu.Lock()
	may := float64(l.revoked+1) <= impatient*float64(len(l.calls))
	if may {
		l.revoked++
	}
	l.mu.Unlock()
	if may {
		client.Revoke(call)
	}
}

// client returns a connection with few requests open.
func (l *load) client() (*kit.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, client := range l.clients {
		if !client.IsClosed() && client.Open() < 8 {
			return client, nil
		}
	}
	client, err := kit.Dial(l.address, l.world.Record)
	if err == nil {
		l.clients = append(l.clients, client)
	}
	return client, err
}

func judge(world *kit.World, fleet *kit.Fleet, clients *load) error {
	byID := map[string]*kit.Call{}
	served := 0
	for _, call := range clients.calls {
		byID[call.ID] = call
		if call.Kind == "served" {
			served++
		}
	}
	if served < len(clients.calls)/2 {
		return fmt.Errorf("only %d of %d were served", served, len(clients.calls))
	}
	broken, ran := 0, 0
	for _, a := range fleet.Arrivals() {
		call := byID[a.Request]
		if call == nil || call.GoneAt == 0 || a.At <= call.GoneAt+allowed {
			continue
		}
		broken++
		if a.RanAt > 0 {
			ran++
		}
		world.Record.Line("BROKEN     %s class %s: the client was gone at %.0f, an attempt begins at %s %.0f ms later; it ran: %v",
			a.Request, a.Class, kit.Millis(call.GoneAt), a.Executor.Name(), kit.Millis(a.At-call.GoneAt), a.RanAt > 0)
	}
	summary := fmt.Sprintf("%d requests, %d served, %d given up early", len(clients.calls), served, clients.revoked)
	if broken > 0 {
		world.Exit(1, "BROKEN: %d attempts began over 0.1 s after their clients had gone, %d of them ran; %s", broken, ran, summary)
	}
	world.Exit(0, "held; %s", summary)
	return nil
}
