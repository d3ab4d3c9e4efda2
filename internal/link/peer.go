package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/yamux"

	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// peer is the outgoing side of a link: a session that this instance dials and
// keeps open.
type peer struct {
	id          model.InstanceID
	addr        string
	links       *Links
	cancel      context.CancelFunc
	gossipQueue chan *linkpb.Gossip

	mu      sync.Mutex
	session *yamux.Session
}

// run dials the peer and serves the session until it ends, then redials with
// exponential back-off until ctx is done.
func (p *peer) run(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = redialInitialInterval
	wait.MaxInterval = redialMaxInterval
	for ctx.Err() == nil {
		session, err := p.dial(ctx)
		if err == nil {
			wait.Reset()
			p.links.settings.Panics.Do(contain.Link, func() { p.serve(ctx, session) })
		}
		if ctx.Err() == nil {
			p.links.settings.Panics.Do(contain.Link, func() { p.links.events.LinkDown(p.id) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait.NextBackOff()):
		}
	}
}

func (p *peer) dial(ctx context.Context) (*yamux.Session, error) {
	dialer := net.Dialer{Timeout: p.links.settings.DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		return nil, fmt.Errorf("dial link to %s at %s: %w", p.id, p.addr, err)
	}
	session, err := yamux.Client(conn, p.links.settings.yamux())
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("open link to %s at %s: %w", p.id, p.addr, err)
	}
	return session, nil
}

// serve sends membership messages on a control stream until the session ends or
// ctx is done.
func (p *peer) serve(ctx context.Context, session *yamux.Session) {
	// Until the Hello has arrived the session carries no offers.
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	control, err := session.OpenStream()
	if err != nil {
		_ = session.Close()
		return
	}
	conn := newStreamConn(control, &p.links.traffic)
	defer func() {
		_ = conn.Close()
		p.links.tasks.Go(func() {
			p.links.settings.Panics.Do(contain.Link, func() { p.links.drain(session) })
		})
	}()
	if p.exchangeHello(conn) != nil || !stop() {
		return
	}
	p.setSession(session)
	defer p.setSession(nil)
	p.links.events.LinkUp(p.id)
	for {
		select {
		case <-ctx.Done():
			return
		case <-session.CloseChan():
			return
		case g := <-p.gossipQueue:
			if conn.Send(&linkpb.Frame{Body: &linkpb.Frame_Gossip{Gossip: g}}) != nil {
				return
			}
		}
	}
}

// exchangeHello exchanges Hello frames. The link is not up until the peer's Hello has
// arrived, because the operating system accepts connections even for a paused
// process.
func (p *peer) exchangeHello(conn *streamConn) error {
	hello := &linkpb.Frame_Hello{Hello: p.links.hello}
	if err := conn.Send(&linkpb.Frame{Body: hello}); err != nil {
		return err
	}
	if err := conn.setReadDeadline(time.Now().Add(p.links.settings.DialTimeout)); err != nil {
		return err
	}
	f, err := conn.Receive()
	if err != nil {
		return fmt.Errorf("exchange hello with %s at %s: %w", p.id, p.addr, err)
	}
	if f.GetHello().GetInstance() != string(p.id) {
		return fmt.Errorf("exchange hello with %s at %s: peer identifies itself as %q", p.id, p.addr, f.GetHello().GetInstance())
	}
	return nil
}

// drainPollInterval is the interval at which a session of a closed link is checked for
// offers that are still open.
const drainPollInterval = 100 * time.Millisecond

// drain closes a session once its offers have ended, or when all links are closed.
// The keepalive ends a session whose peer has stopped responding.
func (l *Links) drain(session *yamux.Session) {
	defer func() { _ = session.Close() }()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for session.NumStreams() > 0 {
		select {
		case <-l.closing:
			return
		case <-session.CloseChan():
			return
		case <-ticker.C:
		}
	}
}

func (p *peer) setSession(s *yamux.Session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.session = s
}

// open opens a stream to the peer. If the link is down, it fails immediately with
// a *DownError.
func (p *peer) open() (*streamConn, error) {
	p.mu.Lock()
	session := p.session
	p.mu.Unlock()
	if session == nil {
		return nil, &DownError{Peer: p.id}
	}
	stream, err := session.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("open stream to %s at %s: %w", p.id, p.addr, errors.Join(&DownError{Peer: p.id}, err))
	}
	return newStreamConn(stream, &p.links.traffic), nil
}

// DownError reports that there is no link to a peer. Nothing was sent.
type DownError struct{ Peer model.InstanceID }

// Error implements error.
func (e *DownError) Error() string { return fmt.Sprintf("link to %s is down", e.Peer) }
