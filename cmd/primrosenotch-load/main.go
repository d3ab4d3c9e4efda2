// Command primrosenotch-load generates load for entry instances, records how it is
// served, and compares and plots the results.
package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"
)

func main() {
	parser := flags.NewParser(nil, flags.Default&^flags.PrintErrors)
	addCommands(parser)
	_, err := parser.Parse()
	var usage *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = os.Stdout.WriteString(usage.Message + "\n")
	default:
		logrus.Error(err)
		os.Exit(1)
	}
}

func addCommands(parser *flags.Parser) {
	add := func(name, short, long string, command any) {
		if _, err := parser.AddCommand(name, short, long, command); err != nil {
			panic(err)
		}
	}
	add("run", "Run an experiment", "Runs an experiment and writes its result as JSON. Fails if any answer was wrong or cut.", &runCommand{})
	add("compare", "Compare two results", "Prints two result files side by side.", &compareCommand{})
	add("plot", "Plot a result", "Draws latency and outcomes over time, as SVG or PNG.", &plotCommand{})
	add("watch", "Watch entry instances", "Samples the load of entry instances until SIGTERM, then checks it against the shift cap and the refused requests against what the backend servers ran.", &watchCommand{})
	add("baseline", "Run a plain proxy", "Forwards requests round-robin to a fixed list of backend servers, as a reference for comparisons.", &baselineCommand{})
}
