//go:build review

package main

import (
	"flag"
	"fmt"
	"os"
)

// cases are the cases by their number.
var cases = map[string]func(*rig) error{}

func main() { os.Exit(run()) }

func run() int {
	binary := flag.String("edge", "target/primrosenotch-edge", "program of the entry instance")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.String("trouble", "1", "0 leaves the disruption out")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		return exitNotRun
	}
	r, err := newRig(*trouble != "0", *binary, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	if err := play(r); err != nil {
		r.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return r.verdict()
}
