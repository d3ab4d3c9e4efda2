package link

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	// onDemandIdleTimeout is the maximum time that an on-demand session without open
	// offers is kept.
	onDemandIdleTimeout = 30 * time.Second
	// onDemandRetryDelay is the delay after a failed dial during which offers fail
	// immediately.
	onDemandRetryDelay = 500 * time.Millisecond
)

// onDemandSession is a session to an instance to which membership keeps no link. It
// only carries offers and quota reports, so it raises no link events and is not redialled
// when it ends.
type onDemandSession struct {
	opened   atomic.Int64 // streams
	mu       sync.Mutex
	addr     string
	session  *yamux.Session
	failedAt time.Time
}

// open opens a stream, dialling first if there is no session.
func (d *onDemandSession) open(ctx context.Context, l *Links, to model.InstanceID, addr string) (*streamConn, error) {
	d.opened.Add(1)
	session, err := d.ensureSession(ctx, l, to, addr)
	if err != nil {
		return nil, err
	}
	stream, err := session.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("open stream to %s at %s: %w", to, addr, &DownError{Peer: to})
	}
	return newStreamConn(stream, &l.traffic), nil
}

// ensureSession returns the open session to addr, or dials a new one. Within
// onDemandRetryDelay of a failed dial to addr it fails without dialling.
func (d *onDemandSession) ensureSession(ctx context.Context, l *Links, to model.InstanceID, addr string) (*yamux.Session, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.session != nil && !d.session.IsClosed() && d.addr == addr {
		return d.session, nil
	}
	if d.addr == addr && time.Since(d.failedAt) < onDemandRetryDelay {
		return nil, &DownError{Peer: to}
	}
	d.addr = addr
	session, err := l.dialForOffers(ctx, to, addr, &d.opened)
	if err != nil {
		d.failedAt = time.Now()
		return nil, fmt.Errorf("%w: %w", &DownError{Peer: to}, err)
	}
	d.session = session
	return session, nil
}

func (d *onDemandSession) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.session != nil {
		_ = d.session.Close()
	}
}

// dialForOffers opens a session and identifies this instance to the peer. opened counts the
// streams of the session.
func (l *Links) dialForOffers(ctx context.Context, to model.InstanceID, addr string, opened *atomic.Int64) (*yamux.Session, error) {
	p := &peer{id: to, addr: addr, links: l}
	session, err := p.dial(ctx)
	if err != nil {
		return nil, err
	}
	control, err := session.OpenStream()
	if err != nil {
		_ = session.Close()
		return nil, fmt.Errorf("open control stream to %s at %s: %w", to, addr, err)
	}
	if err := p.exchangeHello(newStreamConn(control, &l.traffic)); err != nil {
		_ = session.Close()
		return nil, err
	}
	l.tasks.Go(func() { l.settings.Panics.Do(contain.Link, func() { closeIdle(ctx, session, opened) }) })
	return session, nil
}

// closeIdle closes a session once two consecutive checks have found only its control
// stream and none opened since the check before, or when ctx is done.
func closeIdle(ctx context.Context, session *yamux.Session, opened *atomic.Int64) {
	defer func() { _ = session.Close() }()
	ticker := time.NewTicker(onDemandIdleTimeout / 2)
	defer ticker.Stop()
	idle, before := 0, opened.Load()
	for idle < 2 {
		select {
		case <-ctx.Done():
			return
		case <-session.CloseChan():
			return
		case <-ticker.C:
		}
		idle++
		if now := opened.Load(); session.NumStreams() > 1 || now != before {
			idle, before = 0, now
		}
	}
}

// OfferAt is like Offer, but the instance need not have a link. If there is none, it
// dials addr and keeps the session for later offers. The session ends when ctx is
// done, so ctx must outlive the request.
func (l *Links) OfferAt(ctx context.Context, to model.InstanceID, addr string, offer *linkpb.Offer) (Conn, error) {
	if addr == "" || l.peer(to) != nil {
		return l.Offer(to, offer)
	}
	conn, err := l.onDemandFor(to).open(ctx, l, to, addr)
	if err != nil {
		return nil, err
	}
	return sendOffer(to, conn, offer)
}

// QuotaReport sends a report about quotas to an instance and returns its reply. If there is no
// link to the instance, it uses a session as OfferAt does.
func (l *Links) QuotaReport(ctx context.Context, to model.InstanceID, addr string, report *linkpb.QuotaReport, timeout time.Duration) (*linkpb.QuotaReply, error) {
	conn, err := l.openAt(ctx, to, addr)
	if err != nil {
		return nil, err
	}
	f, err := conn.roundTrip(&linkpb.Frame{Body: &linkpb.Frame_QuotaReport{QuotaReport: report}}, timeout)
	if err != nil {
		return nil, fmt.Errorf("send quota report to %s: %w", to, err)
	}
	if f.GetQuotaReply() == nil {
		return nil, fmt.Errorf("send quota report to %s: unexpected frame %T", to, f.GetBody())
	}
	return f.GetQuotaReply(), nil
}

// openAt opens a stream on the link to an instance, or else on a session to addr.
func (l *Links) openAt(ctx context.Context, to model.InstanceID, addr string) (*streamConn, error) {
	if p := l.peer(to); p != nil {
		return p.open()
	}
	if addr == "" {
		return nil, &DownError{Peer: to}
	}
	return l.onDemandFor(to).open(ctx, l, to, addr)
}

func (l *Links) onDemandFor(to model.InstanceID) *onDemandSession {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.onDemand[to]
	if d == nil {
		d = &onDemandSession{}
		l.onDemand[to] = d
	}
	return d
}
