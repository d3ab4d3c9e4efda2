//go:build review

// Command rig2 runs the scripts of the second independent review: each starts the system's own
// processes on loopback addresses, with stand-ins for the platform's store, workers and clients,
// and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun bounds a case.
const maxRun = 115 * time.Second

// cases holds the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(r *rig) (broken bool, err error){
	"crash":     crashingRequest,
	"coldagain": coldAgain,
	"newcomers": newcomers,
	"ids":       numberedAttempts,
	"escaped":   escapedSlash,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil || os.Getenv("RECORD") == "" {
		fmt.Fprintln(os.Stderr, "usage: RECORD=FILE [TROUBLE=0] rig2 CASE")
		return exitNotRun
	}
	r, err := newRig(os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](r)
		done <- result{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	var got result
	select {
	case got = <-done:
	case <-stop:
		got.err = fmt.Errorf("stopped by a signal")
	case <-time.After(maxRun):
		got.err = fmt.Errorf("took longer than %s", maxRun)
	}
	switch {
	case got.err != nil:
		r.record("not run: %v", got.err)
		fmt.Fprintln(os.Stderr, got.err)
		return exitNotRun
	case got.broken:
		r.record("BROKEN")
		return exitBroken
	default:
		r.record("held")
		return exitHeld
	}
}
