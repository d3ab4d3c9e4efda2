package main

import (
	"context"
	"fmt"
	"io"

	"github.com/samber/do/v2"
)

// standin is anything that listens until it is closed.
type standin interface {
	Start(addr string) error
	Addr() string
	Close() error
}

// placement is a stand-in with its name and the address it is to listen on.
type placement struct {
	name    string
	addr    string
	standin standin
}

// host runs the stand-ins until ctx ends.
func host(ctx context.Context, placements []placement, out io.Writer) error {
	injector := do.New()
	err := startAll(injector, placements, out)
	if err == nil {
		<-ctx.Done()
	}
	report := injector.Shutdown()
	if err == nil && !report.Succeed {
		err = fmt.Errorf("shut down: %w", report)
	}
	return err
}

// startAll provides each stand-in to the injector, which closes it at the end.
func startAll(injector do.Injector, placements []placement, out io.Writer) error {
	for _, p := range placements {
		do.ProvideNamed(injector, p.name, func(do.Injector) (*started, error) { return start(p) })
		s, err := do.InvokeNamed[*started](injector, p.name)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(out, "%s %s\n", p.name, s.Addr()); err != nil {
			return err
		}
	}
	return nil
}

// started is a stand-in that the injector shuts down.
type started struct{ standin }

func start(p placement) (*started, error) {
	if err := p.standin.Start(p.addr); err != nil {
		return nil, fmt.Errorf("start %s: %w", p.name, err)
	}
	return &started{p.standin}, nil
}

// Shutdown implements do.ShutdownerWithError.
func (s *started) Shutdown() error { return s.Close() }
