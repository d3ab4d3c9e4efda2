package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/primrosenotch/primrosenotch/internal/load"
	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"
)

// runCommand holds the flags and the argument of the run command.
type runCommand struct {
	Out    string  `long:"out" short:"o" required:"true" description:"result file, JSON"`
	Seed   *uint64 `long:"seed" description:"overrides the seed of the experiment"`
	NotRun string  `long:"not-run" description:"file to write the IDs of requests that were answered with not-run, one per line"`
	Args   struct {
		Experiment string `positional-arg-name:"EXPERIMENT" description:"experiment file, INI"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	injector := do.New()
	do.Provide(injector, c.experiment)
	do.Provide(injector, runExperiment)
	result, err := do.Invoke[*load.Result](injector)
	if err != nil {
		return err
	}
	if err := result.WriteFile(c.Out); err != nil {
		return err
	}
	if err := c.writeNotRun(result); err != nil {
		return err
	}
	logResult(result)
	if n := result.Faulty(); n > 0 {
		return fmt.Errorf("%d answers were wrong or cut, see %s", n, c.Out)
	}
	return nil
}

func (c *runCommand) writeNotRun(result *load.Result) error {
	if c.NotRun == "" {
		return nil
	}
	text := strings.Join(result.NotRun, "\n") + "\n"
	if err := os.WriteFile(c.NotRun, []byte(text), 0o644); err != nil {
		return fmt.Errorf("write IDs of requests that were not run: %w", err)
	}
	return nil
}

func (c *runCommand) experiment(do.Injector) (*load.Experiment, error) {
	text, err := os.ReadFile(c.Args.Experiment)
	if err != nil {
		return nil, fmt.Errorf("read experiment: %w", err)
	}
	experiment, err := load.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", c.Args.Experiment, err)
	}
	if c.Seed != nil {
		experiment.Seed = *c.Seed
	}
	return experiment, nil
}

func runExperiment(i do.Injector) (*load.Result, error) {
	experiment, err := do.Invoke[*load.Experiment](i)
	if err != nil {
		return nil, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return load.Run(ctx, experiment, os.Args), nil
}

func logResult(r *load.Result) {
	for _, row := range r.Rows {
		logrus.WithFields(logrus.Fields{
			"class":    row.Class,
			"phase":    row.Phase,
			"requests": row.Requests,
			"goodput":  fmt.Sprintf("%.1f/s", row.Goodput),
			"p50_us":   row.Latency.P50,
			"p99_us":   row.Latency.P99,
			"outcomes": row.Outcomes,
		}).Info("phase results")
	}
}
