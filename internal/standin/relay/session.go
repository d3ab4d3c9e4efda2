package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/standin/netfault"
)

const (
	chunkBytes   = 16 << 10
	queuedChunks = 64 // held for each direction of a connection
	dialTimeout  = 5 * time.Second
)

// direction is one way through the link.
type direction int

const (
	outward direction = iota // towards the target
	back
)

// chunk is what one read gave. It is written when it is due.
type chunk struct {
	data []byte
	due  time.Time
	err  error // of the read; io.EOF ends the direction
}

// session is one connection through the relay.
type session struct {
	relay    *Relay
	caller   *netfault.Conn
	target   net.Conn
	ctx      context.Context
	cancel   context.CancelFunc
	silenced chan struct{} // closed when the session must stay silent for good
	once     sync.Once
}

func (r *Relay) newSession(caller *netfault.Conn) *session {
	ctx, cancel := context.WithCancel(r.ctx)
	return &session{relay: r, caller: caller, ctx: ctx, cancel: cancel, silenced: make(chan struct{})}
}

// run connects to the target and passes bytes both ways until both ends are
// done or one fails.
func (s *session) run() {
	defer s.cancel()
	if s.relay.link.waitOpen(s.ctx, outward) != nil {
		s.caller.Reset()
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(s.ctx, "tcp", s.relay.config.Target)
	if err != nil {
		s.caller.Reset()
		return
	}
	s.target = target
	unhook := context.AfterFunc(s.ctx, s.reset)
	defer unhook()
	var pumps sync.WaitGroup
	pumps.Go(func() { s.pump(outward, s.caller, target, &s.relay.bytesOut) })
	pumps.Go(func() { s.pump(back, target, s.caller, &s.relay.bytesBack) })
	pumps.Wait()
	_ = s.caller.Close()
	_ = target.Close()
}

// reset breaks both connections.
func (s *session) reset() {
	s.caller.Reset()
	netfault.SetReset(s.target)
	_ = s.target.Close()
}

// silence stops passing bytes for good; both connections stay open.
func (s *session) silence() { s.once.Do(func() { close(s.silenced) }) }

// pump passes one direction on.
func (s *session) pump(way direction, from, to net.Conn, passed *atomic.Int64) {
	chunks := make(chan chunk, queuedChunks)
	go s.receive(from, chunks)
	for {
		select {
		case c := <-chunks:
			if !s.deliver(way, c, to, passed) {
				return
			}
		case <-s.ctx.Done():
			return
		}
	}
}

// receive reads until the connection ends.
func (s *session) receive(from net.Conn, chunks chan<- chunk) {
	var due time.Time
	for {
		data := make([]byte, chunkBytes)
		n, err := from.Read(data)
		if at := time.Now().Add(s.relay.link.delay()); at.After(due) {
			due = at
		}
		select {
		case chunks <- chunk{data: data[:n], due: due, err: err}:
		case <-s.ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// deliver writes a chunk when it is due. It returns false at the end of the
// direction.
func (s *session) deliver(way direction, c chunk, to net.Conn, passed *atomic.Int64) bool {
	if !s.waitUntil(c.due) || s.relay.link.pass(s.ctx, way, len(c.data)) != nil {
		return false
	}
	if s.isSilenced() {
		<-s.ctx.Done()
		return false
	}
	n, err := to.Write(c.data)
	passed.Add(int64(n))
	switch {
	case err != nil:
		s.cancel()
		return false
	case c.err == nil:
		return true
	case errors.Is(c.err, io.EOF):
		closeWrite(to)
		return false
	default:
		s.cancel()
		return false
	}
}

func (s *session) isSilenced() bool {
	select {
	case <-s.silenced:
		return true
	default:
		return false
	}
}

func (s *session) waitUntil(due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

func closeWrite(c net.Conn) {
	if half, ok := c.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}
