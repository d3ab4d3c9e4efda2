// Package backend implements a stand-in for a backend server. It runs requests in a limited
// number of slots, sheds excess requests, starts cold, and counts the requests it ran. It
// can be made to drain, crash or stop responding. One process can host many servers.
package backend

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// shutdownTimeout is the longest time that Close waits for running requests.
const shutdownTimeout = 3 * time.Second

// Server is a stand-in for a backend server.
type Server struct {
	config       Config
	http         *fasthttp.Server
	slots        *slotPool
	latencyModel *latencyModel
	runs         *runCounters
	statuses     statusHistory

	listener *listener
	served   sync.WaitGroup

	mu      sync.Mutex
	faults  Faults
	crashed chan struct{} // closed at the next crash
}

// New returns a Server. Start must be called to start it.
func New(config Config) *Server {
	config = config.withDefaults()
	s := &Server{
		config:       config,
		latencyModel: newLatencyModel(config),
		runs:         newRunCounters(),
		crashed:      make(chan struct{}),
	}
	s.slots = newSlotPool(config.Slots, config.Queue, s.recordStatus)
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
		StreamRequestBody:            true,
		MaxRequestBodySize:           math.MaxInt,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		Logger:                       discardLogger{},
	}
	s.SetFaults(config.Faults)
	return s
}

// Start listens on addr (host:port, where port 0 selects a free port) and serves until
// Close. The cold start begins again.
func (s *Server) Start(addr string) error {
	l, err := listen(addr)
	if err != nil {
		return fmt.Errorf("start backend server %s: %w", s.config.Name, err)
	}
	s.listener = l
	s.latencyModel.restart()
	s.served.Go(func() { _ = s.http.Serve(l) })
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Name returns the name that the server sends in X-Backend.
func (s *Server) Name() string { return s.config.Name }

// Close stops the server. It closes silent connections, waits at most shutdownTimeout for
// running requests and then resets the connections that are still open.
func (s *Server) Close() error {
	if s.listener == nil {
		return nil
	}
	_ = s.listener.Close()
	s.served.Wait()
	for _, c := range s.listener.openConns() {
		if c.silent.Load() {
			_ = c.forceClose()
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := s.http.ShutdownWithContext(ctx)
	for _, c := range s.listener.openConns() {
		c.reset()
	}
	if err != nil {
		return fmt.Errorf("stop backend server %s on %s: %w", s.config.Name, s.Addr(), err)
	}
	return nil
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces all faults.
func (s *Server) SetFaults(faults Faults) {
	s.statuses.setLag(time.Duration(faults.StatusLagMillis) * time.Millisecond)
	s.recordStatus()
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
	slots := s.config.Slots
	if faults.Slots > 0 {
		slots = faults.Slots
	}
	s.slots.resize(slots)
}

// Crash resets all connections, aborts running and queued requests and refuses new
// connections for downtime. It also restarts the cold start.
func (s *Server) Crash(downtime time.Duration) {
	s.runs.crashed()
	s.mu.Lock()
	close(s.crashed)
	s.crashed = make(chan struct{})
	s.mu.Unlock()
	s.listener.Suspend()
	s.listener.ResumeAfter(downtime)
	s.latencyModel.restart()
}

// Silence makes the open connections discard all data and never answer again, without
// closing them. New connections work normally.
func (s *Server) Silence() { s.silenceExcept(nil) }

// silenceExcept silences all open connections but except, which may be nil.
func (s *Server) silenceExcept(except *conn) {
	for _, c := range s.listener.openConns() {
		if c != except {
			c.silent.Store(true)
		}
	}
}

// RestartColdStart restarts the cold start.
func (s *Server) RestartColdStart() { s.latencyModel.restart() }

// Connections returns the number of open connections.
func (s *Server) Connections() int { return len(s.listener.openConns()) }

// Runs returns the counts of the requests run so far.
func (s *Server) Runs() Runs {
	runs := s.runs.snapshot()
	_, _, runs.PeakInUse = s.slots.usage()
	return runs
}

// Status returns the actual state, regardless of StatusLagMillis and StatusLie.
func (s *Server) Status() Status {
	faults := s.Faults()
	inUse, slots, _ := s.slots.usage()
	return Status{
		Healthy:  !faults.Unhealthy,
		Draining: faults.Draining,
		Cold:     s.latencyModel.isCold(),
		InUse:    inUse,
		Slots:    slots,
	}
}

// recordStatus records the state for delayed status reports.
func (s *Server) recordStatus() { s.statuses.record(time.Now(), s.Status) }

// crashSignal returns a channel that is closed at the next crash.
func (s *Server) crashSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed
}

// discardLogger discards the HTTP server's messages about connections that the faults
// broke.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
