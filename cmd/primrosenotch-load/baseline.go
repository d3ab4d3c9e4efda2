package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/load/baseline"
	"github.com/sirupsen/logrus"
)

// drainTimeout limits the wait for requests in flight when the proxy stops.
const drainTimeout = 10 * time.Second

// baselineCommand holds the flags of the baseline command.
type baselineCommand struct {
	Listen   string   `long:"listen" default:"127.0.0.1:8100" description:"address for callers"`
	Policy   string   `long:"policy" default:"bare" choice:"bare" choice:"naive" description:"what to do with a failed request: report it (bare) or try the next backend server (naive)"`
	Backends []string `long:"backend" required:"true" description:"address of a backend server; repeat for more"`
}

// Execute implements flags.Commander.
func (c *baselineCommand) Execute([]string) error {
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	proxy, err := baseline.New(baseline.Policy(c.Policy), ln.Addr().String(), c.Backends)
	if err != nil {
		return err
	}
	served := make(chan error, 1)
	go func() { served <- proxy.Serve(ln) }()
	logrus.WithField("address", ln.Addr()).Info("serving")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	drain, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return proxy.Shutdown(drain)
}
