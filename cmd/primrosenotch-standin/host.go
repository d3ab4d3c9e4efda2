package main

import (
	"context"
	"fmt"
	"io"

	"github.com/samber/do/v2"
)

// standin is a server that listens from Start until Close.
type standin interface {
	Start(addr string) error
	Addr() string
	Close() error
}

// hostedStandin is a stand-in to host, with its name and the address to listen on.
type hostedStandin struct {
	name    string
	addr    string
	standin standin
}

// host runs the stand-ins until ctx is done, then shuts them down.
func host(ctx context.Context, standins []hostedStandin, out io.Writer) error {
	injector := do.New()
	err := startAll(injector, standins, out)
	if err == nil {
		<-ctx.Done()
	}
	report := injector.Shutdown()
	if err == nil && !report.Succeed {
		err = fmt.Errorf("shut down: %w", report)
	}
	return err
}

// startAll starts the stand-ins as services of the injector, which closes them at shutdown. It
// writes a line "NAME HOST:PORT" to out for each.
func startAll(injector do.Injector, standins []hostedStandin, out io.Writer) error {
	for _, h := range standins {
		do.ProvideNamed(injector, h.name, func(do.Injector) (*runningStandin, error) { return start(h) })
		s, err := do.InvokeNamed[*runningStandin](injector, h.name)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(out, "%s %s\n", h.name, s.Addr()); err != nil {
			return err
		}
	}
	return nil
}

// runningStandin is a started stand-in that the injector can shut down.
type runningStandin struct{ standin }

func start(h hostedStandin) (*runningStandin, error) {
	if err := h.standin.Start(h.addr); err != nil {
		return nil, fmt.Errorf("start %s: %w", h.name, err)
	}
	return &runningStandin{h.standin}, nil
}

// Shutdown implements do.ShutdownerWithError.
func (s *runningStandin) Shutdown() error { return s.Close() }
