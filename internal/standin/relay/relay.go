// Package relay is a TCP link between two processes that can be cut, frozen,
// slowed and silenced while it runs.
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
	Target string // host:port that connections are passed on to
	Faults Faults
}

// Relay is one link.
type Relay struct {
	config   Config
	link     *link
	listener *netfault.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup

	switching sync.Mutex // serializes SetFaults

	mu       sync.Mutex
	sessions map[*session]struct{}

	accepted, bytesOut, bytesBack atomic.Int64
}

// New returns a link. Start starts it.
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

// Start listens on addr (host:port; port 0 takes a free one) until Close.
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

func (r *Relay) open() []*session {
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

// Name returns the link's name.
func (r *Relay) Name() string { return r.config.Name }

// Close resets all connections and stops listening.
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

// Faults returns the switches in force.
func (r *Relay) Faults() Faults { return r.link.get() }

// SetFaults replaces all switches.
func (r *Relay) SetFaults(faults Faults) {
	r.switching.Lock()
	defer r.switching.Unlock()
	before := r.link.set(faults)
	switch {
	case r.listener == nil || before.State == faults.State:
	case faults.State == StateCut:
		r.cut()
	case before.State == StateCut:
		r.listener.ResumeAfter(0)
	}
}

// cut refuses new connections and breaks the open ones on both sides.
func (r *Relay) cut() {
	r.listener.Suspend()
	for _, s := range r.open() {
		s.cancel()
	}
}

// Silence makes the open connections pass nothing on for good, without closing
// them; new connections work.
func (r *Relay) Silence() {
	for _, s := range r.open() {
		s.silence()
	}
}

// Counters returns what passed since the start.
func (r *Relay) Counters() Counters {
	return Counters{
		Connections: len(r.open()),
		Accepted:    r.accepted.Load(),
		BytesOut:    r.bytesOut.Load(),
		BytesBack:   r.bytesBack.Load(),
	}
}
