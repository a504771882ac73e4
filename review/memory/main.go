//go:build review

// Command memory plays bad clients whose requests name functions that no executor knows.
package main

import (
	"fmt"
	"math/rand"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"havencart/review/kit"
)

const (
	executors  = 64 // of up to 120
	memoryMB   = 64
	sockets    = 512
	badClients = 40 // connections; a third of the descriptors, 170, would be allowed
	atOnce     = 30 // requests open on each
	badWait    = "400"
	rate       = 40 // requests of the usual clients a second
	quiet      = 5 * time.Second
	length     = 60 * time.Second
)

func main() {
	world, err := kit.NewWorld()
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	world.Exit(2, "the case could not run: %v", play(world))
}

// play ends the process, or returns why the case could not run.
func play(world *kit.World) error {
	var mu sync.Mutex
	known := map[string]bool{}
	var names []string
	for range 30 {
		name := kit.RandomHex(16)
		names, known[name] = append(names, name), true
	}
	quietRecord, err := kit.NewRecord(os.DevNull) // hundreds of thousands of requests of bad clients
	if err != nil {
		return err
	}
	fleet := &kit.Fleet{
		Record: quietRecord, OnMiss: "load", LoadTime: 500 * time.Millisecond, Report: "queue:0",
		Work:    func(string) time.Duration { return time.Duration(50+rand.Intn(250)) * time.Millisecond },
		Window:  func(string) time.Duration { return 0 },
		Unknown: func(function string) bool { mu.Lock(); defer mu.Unlock(); return !known[function] },
	}
	var all []*kit.Executor
	for i := range executors {
		e, err := fleet.NewExecutor(uint32(0x00c41f00+i), 0, i/5)
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
		Ordinal: 0, Memory: memoryMB, Sockets: sockets, Cores: 1, Bulletin: bulletin.Address(), Known: all,
		Zones: kit.SicilyRidesZones, Kind: "quad-std", Settings: kit.SicilyRides(0, 3),
	})
	if err != nil {
		return err
	}
	start := kit.Now()
	stop := start + length
	go usual(world, frontEnd.Address, names, stop)
	var sent, answered atomic.Int64
	if kit.HasTrouble() {
		for i := range badClients {
			go func() {
				time.Sleep(start + quiet + time.Duration(i)*10*time.Millisecond - kit.Now())
				for kit.Now() < stop {
					if bad(frontEnd.Address, &sent, &answered) != nil {
						time.Sleep(100 * time.Millisecond)
					}
				}
			}()
		}
	}
	next := start
	for kit.Now() < stop {
		time.Sleep(50 * time.Millisecond)
		anon := frontEnd.AnonymousKB()
		if kit.Now() > next {
			next += time.Second
			world.Record.Line("memory     %d kB anonymous; bad clients: %d requests sent, %d answered", anon, sent.Load(), answered.Load())
		}
		if frontEnd.HasExited() {
			world.Exit(1, "BROKEN: the front end has ended by itself")
		}
		if anon > memoryMB<<10 {
			world.Record.Line("killed     the front end is over its memory")
			frontEnd.Kill()
			time.Sleep(200 * time.Millisecond)
			world.Exit(1, "BROKEN: after %.1f s of bad clients the front end has %d kB of anonymous memory, its limit is %d kB: it is killed; %d requests of bad clients were sent",
				(kit.Now() - start - quiet).Seconds(), anon, memoryMB<<10, sent.Load())
		}
	}
	world.Exit(0, "held: the front end has %d kB of anonymous memory, its limit is %d kB", frontEnd.AnonymousKB(), memoryMB<<10)
	return nil
}

// usual is a usual client.
func usual(world *kit.World, address string, names []string, stop time.Duration) {
	var client *kit.Client
	for kit.Now() < stop-4*time.Second {
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		if client == nil || client.IsClosed() {
			var err error
			if client, err = kit.Dial(address, world.Record); err != nil {
				client = nil
				continue
			}
		}
		if client.Open() >= 30 {
			continue
		}
		call := kit.NewCall("fare-quote", names[rand.Intn(len(names))], 3*time.Second)
		call.Tenant, call.Attrs = "palermo", "memory_mb:400;lanes:2"
		_ = client.Send(call)
	}
}

// bad is one connection of a bad client: it sends requests for functions that no executor knows, the next as soon as one
// is turned away, and reads what it gets.
func bad(address string, sent, answered *atomic.Int64) error {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	open := make(chan struct{}, atOnce)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		decoder := msgpack.NewDecoder(conn)
		for {
			var message []any
			if decoder.Decode(&message) != nil {
				return
			}
			answered.Add(1)
			<-open
		}
	}()
	for number := 1; ; number++ {
		select {
		case open <- struct{}{}:
		case <-ended:
			return nil
		}
		raw, err := msgpack.Marshal([]any{0, number, "fare-quote", []any{map[string]string{
			"id": kit.RandomHex(16), "wait": badWait, "key": kit.RandomHex(16), "tenant": "palermo", "attrs": "memory_mb:400;lanes:2",
		}, []byte{}}})
		if err != nil {
			return err
		}
		if _, err := conn.Write(raw); err != nil {
			return err
		}
		sent.Add(1)
	}
}
