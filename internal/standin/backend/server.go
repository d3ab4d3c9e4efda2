// Package backend is the stand-in of a backend server: it runs requests in a
// bounded number of slots, sheds, drains, starts cold, crashes and goes silent
// on command, and counts what it ran. One process can host many.
package backend

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// shutdownTimeout bounds how long Close waits for work in progress.
const shutdownTimeout = 3 * time.Second

// Server is one backend server.
type Server struct {
	config Config
	http   *fasthttp.Server
	slots  *slotPool
	timing *timing
	runs   *runLog
	states statusLog

	listener *listener
	served   sync.WaitGroup

	mu      sync.Mutex
	faults  Faults
	crashed chan struct{} // closed at the next crash
}

// New returns a backend server. Start starts it.
func New(config Config) *Server {
	config = config.withDefaults()
	s := &Server{
		config:  config,
		timing:  newTiming(config),
		runs:    newRunLog(),
		crashed: make(chan struct{}),
	}
	s.slots = newSlotPool(config.Slots, config.Queue, s.stateChanged)
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

// Start listens on addr (host:port; port 0 takes a free one) and serves until
// Close.
func (s *Server) Start(addr string) error {
	l, err := listen(addr)
	if err != nil {
		return fmt.Errorf("start backend server %s: %w", s.config.Name, err)
	}
	s.listener = l
	s.timing.restart()
	s.served.Go(func() { _ = s.http.Serve(l) })
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Name returns the name that the server answers as X-Backend.
func (s *Server) Name() string { return s.config.Name }

// Close stops the server after the work in progress.
func (s *Server) Close() error {
	if s.listener == nil {
		return nil
	}
	_ = s.listener.Close()
	s.served.Wait()
	for _, c := range s.listener.open() {
		if c.silent.Load() {
			_ = c.forceClose()
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := s.http.ShutdownWithContext(ctx)
	for _, c := range s.listener.open() {
		c.reset()
	}
	if err != nil {
		return fmt.Errorf("stop backend server %s on %s: %w", s.config.Name, s.Addr(), err)
	}
	return nil
}

// Faults returns the switches in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces all switches.
func (s *Server) SetFaults(faults Faults) {
	s.states.setLag(time.Duration(faults.StatusLagMillis) * time.Millisecond)
	s.stateChanged()
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
	slots := s.config.Slots
	if faults.Slots > 0 {
		slots = faults.Slots
	}
	s.slots.resize(slots)
}

// Crash resets all connections, abandons the work in progress and refuses new
// connections for downtime. The server then starts cold.
func (s *Server) Crash(downtime time.Duration) {
	s.runs.crashed()
	s.mu.Lock()
	close(s.crashed)
	s.crashed = make(chan struct{})
	s.mu.Unlock()
	s.listener.Suspend()
	s.listener.ResumeAfter(downtime)
	s.timing.restart()
}

// Silence makes the open connections swallow what they receive and never
// answer again; new connections work.
func (s *Server) Silence() { s.silenceExcept(nil) }

func (s *Server) silenceExcept(spared *conn) {
	for _, c := range s.listener.open() {
		if c != spared {
			c.silent.Store(true)
		}
	}
}

// Chill restarts the cold start.
func (s *Server) Chill() { s.timing.restart() }

// Connections returns the number of open connections.
func (s *Server) Connections() int { return len(s.listener.open()) }

// Runs returns what the server ran so far.
func (s *Server) Runs() Runs {
	runs := s.runs.snapshot()
	_, _, runs.PeakInUse = s.slots.load()
	return runs
}

// Status returns the true state, without lag or lie.
func (s *Server) Status() Status {
	faults := s.Faults()
	inUse, slots, _ := s.slots.load()
	return Status{
		Healthy:  !faults.Unhealthy,
		Draining: faults.Draining,
		Cold:     s.timing.cold(),
		InUse:    inUse,
		Slots:    slots,
	}
}

func (s *Server) stateChanged() { s.states.record(time.Now(), s.Status) }

// untilCrash returns a channel that is closed at the next crash.
func (s *Server) untilCrash() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed
}

// discardLogger drops the HTTP server's messages on connections that faults
// broke.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
