//go:build review

// Command late-retry plays a retry of a keyed request that waits behind a cut path until the key has been forgotten.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"havencart/review/kit"
)

const (
	executors = 15
	cellSize  = 3 // a fifth of the executors
	window    = 4000 * time.Millisecond
	slack     = 50 * time.Millisecond
	wait      = 5000 * time.Millisecond
	work      = 80 * time.Millisecond
	loadTime  = 500 * time.Millisecond
	cutLength = 4700 * time.Millisecond // under 6 s
	attrs     = "memory_mb:400;lanes:2;load_ms:500"
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
	var victim *kit.Call // the cut begins when its first attempt has arrived
	var members []*kit.Executor
	cut := make(chan *kit.Arrival, 1)
	fleet := &kit.Fleet{
		Record: world.Record, OnMiss: "miss", LoadTime: loadTime,
		Work: func(string) time.Duration { return work },
		Window: func(class string) time.Duration {
			if class == "notice" {
				return window + slack
			}
			return 0
		},
		Arrived: func(e *kit.Executor, a *kit.Arrival) {
			mu.Lock()
			defer mu.Unlock()
			if victim != nil && a.Request == victim.ID && members == nil {
				members = []*kit.Executor{e}
				cut <- a
			}
		},
	}
	var all []*kit.Executor
	for i := range executors {
		cell := i / cellSize
		e, err := fleet.NewExecutor(uint32(0x00c41f00+i), cell*3/(executors/cellSize), cell)
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
		Ordinal: 0, Memory: 128, Sockets: 512, Cores: 1, Bulletin: bulletin.Address(), Known: all,
		Zones: kit.HarbourFerriesZones, Kind: "shed-4c", Settings: kit.HarbourFerries(0, 0, 3),
	})
	if err != nil {
		return err
	}
	client, err := kit.Dial(frontEnd.Address, world.Record)
	if err != nil {
		return err
	}
	function := kit.RandomHex(16)
	notice := func() *kit.Call {
		call := kit.NewCall("notice", function, wait)
		call.Tenant, call.Once, call.Attrs = "islands", kit.RandomHex(32), attrs
		return call
	}
	// First the function is in use, so that it is loaded at several executors.
	world.Record.Line("first, the function is in demand")
	for until := kit.Now() + 8*time.Second; kit.Now() < until; time.Sleep(8 * time.Millisecond) {
		if client.Open() < 30 {
			if err := client.Send(notice()); err != nil {
				return err
			}
		}
	}
	for client.Open() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	for _, e := range all {
		open, idle := e.Connections()
		world.Record.Line("executor   %s zone %d cell %d has the function: %v, connections %d, idle %d", e.Name(), e.Zone, e.Cell, e.Has(function), open, idle)
	}
	call := notice()
	mu.Lock()
	victim = call
	mu.Unlock()
	if err := client.Send(call); err != nil {
		return err
	}
	if kit.HasTrouble() {
		select {
		case first := <-cut:
			world.Record.Line("cut        the executors of cell %d fall silent", first.Executor.Cell)
			for _, e := range all {
				if e.Cell == first.Executor.Cell {
					go e.Path.Cut()
				}
			}
			time.Sleep(cutLength)
			for _, e := range all {
				e.Path.Heal()
			}
			world.Record.Line("healed")
		case <-call.Done():
			return fmt.Errorf("the request ended before it arrived")
		}
	}
	<-call.Done()
	time.Sleep(500 * time.Millisecond)
	var runs []*kit.Arrival
	for _, a := range fleet.Arrivals() {
		if a.Request == call.ID && a.RanAt > 0 {
			runs = append(runs, a)
		}
	}
	if len(runs) > 1 {
		world.Exit(1, "BROKEN: request %s, keyed, ran %d times: at %.0f ms and again %.0f ms later; the group forgets after %d ms; client: %s",
			call.ID, len(runs), kit.Millis(runs[0].RanAt), kit.Millis(runs[1].RanAt-runs[0].RanAt), window.Milliseconds(), call.Kind)
	}
	world.Exit(0, "held: request %s ran %d times; client: %s", call.ID, len(runs), call.Kind)
	return nil
}
