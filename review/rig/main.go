//go:build review

// Command rig plays the cases of this folder that cannot be put as a day for the bench. It
// starts entry instances as processes, serves the platform's store, backend servers and
// callers itself, all on loopback, and judges one rule by what callers and servers saw.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// verdict is what a case has found.
type verdict struct {
	broken bool
	why    string
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "case to play")
	record := flag.String("record", "record.txt", "file to which the case is recorded")
	program := flag.String("program", "target/primrosenotch-edge", "program of the entry instances")
	trouble := flag.String("trouble", "1", "1 plays the disruption, 0 leaves it out, control plays only the part that shall be borne")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitFailed
	}
	r, err := newRig(*record, *program, *trouble == "1", *trouble == "control")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		r.close()
		os.Exit(exitFailed)
	}()
	v, err := play(r)
	if err != nil {
		r.logf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	r.logf("verdict: broken=%v: %s", v.broken, v.why)
	fmt.Println(v.why)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}
