//go:build review

// Command stand2 plays the cases of the second review. It starts front ends with the run command of the deploy file, and
// is itself the platform, the executors and the clients. It has to be started in the repository's root.
//
//	stand2 CASE RECORD
//
// It writes what was sent, answered and run to the file RECORD. It exits with 1 if the rule was broken, 0 if it held, and
// 2 if the case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	held     = 0
	broken   = 1
	cannotGo = 2
)

// longest is how long a case may take.
const longest = 110 * time.Second

// play is one case. trouble tells whether the disruption takes place. broken is the number of breaks of the rule.
type play func(r *recorder, trouble bool) (broken int, err error)

var plays = map[string]play{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		return cannotGo
	}
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
		select {
		case <-signals:
		case <-time.After(longest):
		}
		killAll()
		os.Exit(cannotGo)
	}()
	r := newRecorder()
	breaks, err := plays[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.add("could not run: %v", err)
	case breaks > 0:
		r.add("the rule was broken %d times", breaks)
	default:
		r.add("the rule held")
	}
	if writeErr := r.write(os.Args[2]); err == nil {
		err = writeErr
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand2:", err)
		return cannotGo
	}
	if breaks > 0 {
		return broken
	}
	return held
}
