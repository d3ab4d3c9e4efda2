// Package tablestore is the platform's stand-in: a transactional table, an
// object store and an instance list in memory, served over HTTP, with switches
// for the faults that the platform shows. Nothing is kept when it ends.
package tablestore

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/primrosenotch/primrosenotch/internal/platform/wire"
)

// maxBodyBytes bounds a transaction or object.
const maxBodyBytes = 64 << 20

// shutdownTimeout bounds how long Close waits for calls in progress.
const shutdownTimeout = 3 * time.Second

// Server is one platform stand-in.
type Server struct {
	app       *fiber.App
	table     *table
	objects   *objects
	instances *instances
	switches  *faultSwitches
	counters  counters
	listener  net.Listener
	served    chan error
	closing   chan struct{}
	closeOnce sync.Once
}

// New returns a stand-in with the given faults switched on. Start starts it.
func New(faults Faults) *Server {
	s := &Server{
		app:       fiber.New(fiber.Config{BodyLimit: maxBodyBytes, ServerHeader: ""}),
		table:     newTable(),
		objects:   newObjects(),
		instances: newInstances(),
		switches:  newFaultSwitches(faults),
		served:    make(chan error, 1),
		closing:   make(chan struct{}),
	}
	s.app.Server().Logger = discardLogger{}
	s.routes()
	s.controlRoutes()
	return s
}

// Start listens on addr (host:port; port 0 takes a free one) and serves until
// Close.
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

// Addr returns the address that the stand-in listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops the stand-in after the calls in progress.
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

// Faults returns the switches in force.
func (s *Server) Faults() Faults { return s.switches.get() }

// SetFaults replaces all switches and restarts the random choices from the seed.
func (s *Server) SetFaults(faults Faults) { s.switches.set(faults) }

// Counters returns the calls counted since the start.
func (s *Server) Counters() Counters { return s.counters.snapshot() }

// SetLine adds or replaces a line of the instance list, as the platform itself
// would; a ttl of 0 never expires.
func (s *Server) SetLine(line wire.Instance, ttl time.Duration) {
	s.instances.set(line, ttl, time.Now())
}

// discardLogger drops the HTTP server's messages on connections that the fault
// switches closed.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
