package main

import (
	"os"

	"github.com/primrosenotch/primrosenotch/internal/load"
)

// compareCommand holds the arguments of the compare command.
type compareCommand struct {
	Args struct {
		A string `positional-arg-name:"RESULT" description:"result file"`
		B string `positional-arg-name:"RESULT" description:"result file to compare with the first"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *compareCommand) Execute([]string) error {
	a, err := load.ReadResult(c.Args.A)
	if err != nil {
		return err
	}
	b, err := load.ReadResult(c.Args.B)
	if err != nil {
		return err
	}
	return load.Compare(os.Stdout, c.Args.A, a, c.Args.B, b)
}

// plotCommand holds the flags and the argument of the plot command.
type plotCommand struct {
	Latency  string `long:"latency" description:"image of the latency quantiles, .svg or .png"`
	Outcomes string `long:"outcomes" description:"image of the outcomes, .svg or .png"`
	Args     struct {
		Result string `positional-arg-name:"RESULT" description:"result file"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *plotCommand) Execute([]string) error {
	result, err := load.ReadResult(c.Args.Result)
	if err != nil {
		return err
	}
	if c.Latency != "" {
		if err := load.PlotLatency(result, c.Latency); err != nil {
			return err
		}
	}
	if c.Outcomes != "" {
		return load.PlotOutcomes(result, c.Outcomes)
	}
	return nil
}
