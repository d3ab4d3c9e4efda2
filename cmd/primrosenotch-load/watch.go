package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/load/watch"
)

// watchCommand holds the flags of the watch command.
type watchCommand struct {
	Entries []string      `long:"entry" required:"true" description:"control address of an entry instance; repeat for more"`
	Text    string        `long:"text" required:"true" description:"file with the operators' text in use"`
	Every   time.Duration `long:"every" default:"150ms" description:"time between two samples"`
	NotRun  string        `long:"not-run" description:"file with the IDs of requests that were answered with not-run, read at the end"`
	Out     string        `long:"out" short:"o" required:"true" description:"result file, JSON"`
}

// Execute implements flags.Commander.
func (c *watchCommand) Execute([]string) error {
	source, err := os.ReadFile(c.Text)
	if err != nil {
		return fmt.Errorf("read operators' text: %w", err)
	}
	text, err := config.Parse(c.Text, source)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	series := watch.Sample(ctx, text, c.Entries, c.Every)
	notRun, err := c.notRun()
	if err != nil {
		return err
	}
	report := watch.Check(text, series, notRun, watch.FetchRuns(context.Background(), text))
	report.Command = os.Args
	return report.WriteFile(c.Out)
}

func (c *watchCommand) notRun() ([]string, error) {
	if c.NotRun == "" {
		return nil, nil
	}
	text, err := os.ReadFile(c.NotRun)
	if err != nil {
		return nil, fmt.Errorf("read IDs of requests that were not run: %w", err)
	}
	return strings.Fields(string(text)), nil
}
