// Package tablestore implements a stand-in for the platform: a transactional table, an object
// store and an instance list, served over HTTP, with injection of the faults that the platform
// can have. All data is in memory only.
package tablestore

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/primrosenotch/primrosenotch/internal/platform/wire"
)

// maxBodyBytes is the maximum size of a request body, hence of a transaction or object.
const maxBodyBytes = 64 << 20

// shutdownTimeout is the longest time that Close waits for calls in progress.
const shutdownTimeout = 3 * time.Second

// Server is a stand-in for the platform.
type Server struct {
	app       *fiber.App
	table     *table
	objects   *objects
	instances *instances
	copied    atomic.Pointer[tableCopy]
	injector  *faultInjector
	counters  counters
	listener  net.Listener
	served    chan error
	closing   chan struct{}
	closeOnce sync.Once
}

// New returns a Server with the given faults. Start must be called to start it.
func New(faults Faults) *Server {
	s := &Server{
		app:       fiber.New(fiber.Config{BodyLimit: maxBodyBytes, ServerHeader: ""}),
		table:     newTable(),
		objects:   newObjects(),
		instances: newInstances(),
		injector:  newFaultInjector(faults),
		served:    make(chan error, 1),
		closing:   make(chan struct{}),
	}
	s.app.Server().Logger = discardLogger{}
	s.routes()
	s.controlRoutes()
	return s
}

// Start listens on addr (host:port, where port 0 selects a free port) and serves until Close.
func (s *Server) Start(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", addr, err)
	}
	s.listener = listener
	go func() {
		s.served <- s.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	}()
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops the server. It waits at most shutdownTimeout for calls in progress.
func (s *Server) Close() error {
	var err error
	s.closeOnce.Do(func() { err = s.shutdown() })
	return err
}

func (s *Server) shutdown() error {
	close(s.closing)
	if s.listener == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := s.app.ShutdownWithContext(ctx)
	_ = s.listener.Close()
	if err != nil {
		return fmt.Errorf("shut down the platform stand-in on %s: %w", s.Addr(), err)
	}
	return nil
}

// Faults returns the current faults.
func (s *Server) Faults() Faults { return s.injector.get() }

// SetFaults replaces all faults and restarts the random generator from the seed.
func (s *Server) SetFaults(faults Faults) { s.injector.set(faults) }

// CopyTable keeps a copy of the table in place of an earlier one.
func (s *Server) CopyTable() { s.copied.Store(s.table.copy()) }

// RestoreTable returns the table to the state of the copy, as if the platform had lost it
// and restored it. It returns false if there is no copy.
func (s *Server) RestoreTable() bool {
	copied := s.copied.Load()
	if copied != nil {
		s.table.restore(copied)
	}
	return copied != nil
}

// Counters returns the number of calls since New.
func (s *Server) Counters() Counters { return s.counters.snapshot() }

// SetInstance adds or replaces an entry of the instance list, as if the platform
// had set it, without a registration call. With a ttl of 0 it never expires.
func (s *Server) SetInstance(entry wire.Instance, ttl time.Duration) {
	s.instances.set(entry, ttl, time.Now())
}

// discardLogger discards the HTTP server's messages about connections that the injected faults
// closed.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
