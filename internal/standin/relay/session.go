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
	queuedChunks = 64 // maximum number buffered for each direction of a connection
	dialTimeout  = 5 * time.Second
)

// direction is a direction of transfer through the link.
type direction int

const (
	toTarget direction = iota
	fromTarget
)

// chunk is the result of one read. Its data is written at the time due.
type chunk struct {
	data []byte
	due  time.Time
	err  error // error of the read; io.EOF ends the direction
}

// session is a connection from a caller and the connection to the target that it is
// forwarded to.
type session struct {
	relay       *Relay
	caller      *netfault.Conn
	target      net.Conn
	ctx         context.Context
	cancel      context.CancelFunc
	silenced    chan struct{} // closed by silence
	silenceOnce sync.Once
}

func (r *Relay) newSession(caller *netfault.Conn) *session {
	ctx, cancel := context.WithCancel(r.ctx)
	return &session{relay: r, caller: caller, ctx: ctx, cancel: cancel, silenced: make(chan struct{})}
}

// run connects to the target and forwards data in both directions until both have ended or
// one fails.
func (s *session) run() {
	defer s.cancel()
	if s.relay.link.waitOpen(s.ctx, toTarget) != nil {
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
	stopReset := context.AfterFunc(s.ctx, s.reset)
	defer stopReset()
	var forwarders sync.WaitGroup
	forwarders.Go(func() { s.forward(toTarget, s.caller, target, &s.relay.bytesOut) })
	forwarders.Go(func() { s.forward(fromTarget, target, s.caller, &s.relay.bytesBack) })
	forwarders.Wait()
	_ = s.caller.Close()
	_ = target.Close()
}

// reset closes both connections with a TCP reset.
func (s *session) reset() {
	s.caller.Reset()
	netfault.SetReset(s.target)
	_ = s.target.Close()
}

// silence stops forwarding permanently. Both connections stay open.
func (s *session) silence() { s.silenceOnce.Do(func() { close(s.silenced) }) }

// forward forwards the data of one direction and adds its length to transferred.
func (s *session) forward(dir direction, from, to net.Conn, transferred *atomic.Int64) {
	chunks := make(chan chunk, queuedChunks)
	go s.receive(from, chunks)
	for {
		select {
		case c := <-chunks:
			if !s.deliver(dir, c, to, transferred) {
				return
			}
		case <-s.ctx.Done():
			return
		}
	}
}

// receive reads chunks until the connection ends or fails, and assigns their due times. Due
// times never decrease, so jitter does not reorder chunks.
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

// deliver writes a chunk when it is due. It returns false after the last chunk of the
// direction. A silenced session delivers nothing; deliver then blocks until the session ends.
func (s *session) deliver(dir direction, c chunk, to net.Conn, transferred *atomic.Int64) bool {
	if !s.waitUntil(c.due) || s.relay.link.admit(s.ctx, dir, len(c.data)) != nil {
		return false
	}
	if s.isSilenced() {
		<-s.ctx.Done()
		return false
	}
	n, err := to.Write(c.data)
	transferred.Add(int64(n))
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

// waitUntil waits until due. It returns false early if the session ends.
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
