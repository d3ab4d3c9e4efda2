// Package relay implements a TCP proxy that stands in for a network link between two
// processes. The link can be cut, frozen, slowed down and silenced at runtime.
package relay

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/primrosenotch/primrosenotch/internal/standin/netfault"
)

// Config describes a link.
type Config struct {
	Name   string
	Target string // host:port to which connections are forwarded
	Faults Faults
}

// Relay is a TCP proxy that forwards connections to one target.
type Relay struct {
	config   Config
	link     *link
	listener *netfault.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup

	setFaultsMu sync.Mutex // serializes SetFaults

	mu       sync.Mutex
	sessions map[*session]struct{}

	accepted, bytesOut, bytesBack atomic.Int64
}

// New returns a Relay. Start must be called to start it.
func New(config Config) *Relay {
	ctx, cancel := context.WithCancel(context.Background())
	return &Relay{
		config:   config,
		link:     newLink(config.Faults),
		ctx:      ctx,
		cancel:   cancel,
		sessions: make(map[*session]struct{}),
	}
}

// Start listens on addr (host:port, where port 0 selects a free port) until Close.
func (r *Relay) Start(addr string) error {
	l, err := netfault.Listen(addr)
	if err != nil {
		return fmt.Errorf("start link %s: %w", r.config.Name, err)
	}
	r.listener = l
	if r.config.Faults.State == StateCut {
		l.Suspend()
	}
	r.running.Go(r.accept)
	return nil
}

func (r *Relay) accept() {
	for {
		accepted, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.accepted.Add(1)
		s := r.newSession(accepted.(*netfault.Conn))
		r.add(s)
		r.running.Go(func() {
			defer r.remove(s)
			s.run()
		})
	}
}

func (r *Relay) add(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sessions[s] = struct{}{}
}

func (r *Relay) remove(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sessions, s)
}

func (r *Relay) openSessions() []*session {
	r.mu.Lock()
	defer r.mu.Unlock()
	sessions := make([]*session, 0, len(r.sessions))
	for s := range r.sessions {
		sessions = append(sessions, s)
	}
	return sessions
}

// Addr returns the address that the link listens on.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Name returns the name of the link.
func (r *Relay) Name() string { return r.config.Name }

// Close stops listening and resets all connections.
func (r *Relay) Close() error {
	r.cancel()
	if r.listener == nil {
		return nil
	}
	err := r.listener.Close()
	r.listener.ResetAll()
	r.running.Wait()
	return err
}

// Faults returns the current faults.
func (r *Relay) Faults() Faults { return r.link.get() }

// SetFaults replaces all faults.
func (r *Relay) SetFaults(faults Faults) {
	r.setFaultsMu.Lock()
	defer r.setFaultsMu.Unlock()
	before := r.link.set(faults)
	switch {
	case r.listener == nil || before.State == faults.State:
	case faults.State == StateCut:
		r.cut()
	case before.State == StateCut:
		r.listener.ResumeAfter(0)
	}
}

// cut refuses new connections and resets the open ones on both sides.
func (r *Relay) cut() {
	r.listener.Suspend()
	for _, s := range r.openSessions() {
		s.cancel()
	}
}

// Silence stops forwarding on the open connections permanently, without closing them. New
// connections work normally.
func (r *Relay) Silence() {
	for _, s := range r.openSessions() {
		s.silence()
	}
}

// Counters returns the counts since the start.
func (r *Relay) Counters() Counters {
	return Counters{
		Connections: len(r.openSessions()),
		Accepted:    r.accepted.Load(),
		BytesOut:    r.bytesOut.Load(),
		BytesBack:   r.bytesBack.Load(),
	}
}
