package link

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	// onDemandIdle is how long a session that was dialled for offers is kept
	// without any.
	onDemandIdle = 30 * time.Second
	// onDemandRetry is the pause after a failed dial, in which offers fail at once.
	onDemandRetry = 500 * time.Millisecond
)

// onDemand is a session to an instance that membership keeps no link to. It
// carries offers only, so it is neither an event nor redialled.
type onDemand struct {
	mu       sync.Mutex
	addr     string
	session  *yamux.Session
	failedAt time.Time
}

// open opens a stream, after dialling where there is no session.
func (d *onDemand) open(ctx context.Context, l *Links, to model.InstanceID, addr string) (*wire, error) {
	session, err := d.dialled(ctx, l, to, addr)
	if err != nil {
		return nil, err
	}
	stream, err := session.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("open stream to %s at %s: %w", to, addr, &DownError{Peer: to})
	}
	return newWire(stream, &l.traffic), nil
}

func (d *onDemand) dialled(ctx context.Context, l *Links, to model.InstanceID, addr string) (*yamux.Session, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.session != nil && !d.session.IsClosed() && d.addr == addr {
		return d.session, nil
	}
	if d.addr == addr && time.Since(d.failedAt) < onDemandRetry {
		return nil, &DownError{Peer: to}
	}
	d.addr = addr
	session, err := l.dialForOffers(ctx, to, addr)
	if err != nil {
		d.failedAt = time.Now()
		return nil, fmt.Errorf("%w: %w", &DownError{Peer: to}, err)
	}
	d.session = session
	return session, nil
}

func (d *onDemand) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.session != nil {
		_ = d.session.Close()
	}
}

// dialForOffers opens a session and names this instance on it.
func (l *Links) dialForOffers(ctx context.Context, to model.InstanceID, addr string) (*yamux.Session, error) {
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
	if err := p.greet(newWire(control, &l.traffic)); err != nil {
		_ = session.Close()
		return nil, err
	}
	l.tasks.Go(func() { closeIdle(ctx, session) })
	return session, nil
}

// closeIdle closes a session once it carried nothing but its control stream at
// two checks in a row, or when ctx ends.
func closeIdle(ctx context.Context, session *yamux.Session) {
	defer func() { _ = session.Close() }()
	ticker := time.NewTicker(onDemandIdle / 2)
	defer ticker.Stop()
	idle := 0
	for idle < 2 {
		select {
		case <-ctx.Done():
			return
		case <-session.CloseChan():
			return
		case <-ticker.C:
		}
		idle++
		if session.NumStreams() > 1 {
			idle = 0
		}
	}
}

// OfferAt is Offer to an instance that need not have a link: without one, it
// dials addr and keeps the session for later offers.
func (l *Links) OfferAt(ctx context.Context, to model.InstanceID, addr string, offer *linkpb.Offer) (Conn, error) {
	if addr == "" || l.peer(to) != nil {
		return l.Offer(to, offer)
	}
	conn, err := l.demand(to).open(ctx, l, to, addr)
	if err != nil {
		return nil, err
	}
	return sendOffer(to, conn, offer)
}

func (l *Links) demand(to model.InstanceID) *onDemand {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.onDemand[to]
	if d == nil {
		d = &onDemand{}
		l.onDemand[to] = d
	}
	return d
}
