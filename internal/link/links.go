package link

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	redialInitialInterval = 50 * time.Millisecond
	redialMaxInterval     = 2 * time.Second
	// gossipQueueSize is the number of membership messages queued for a slow link.
	// Further messages are dropped; the next heartbeat carries their content.
	gossipQueueSize = 16
)

// Settings configure the links.
type Settings struct {
	DialTimeout time.Duration
	// KeepAlive is the interval between pings of a session. A session is closed if
	// a ping is not answered within PingTimeout.
	KeepAlive   time.Duration
	PingTimeout time.Duration
	// WindowBytes is the maximum receive window of a stream: the data buffered for
	// a slow reader.
	WindowBytes uint32
	// Panics contains the panics of links and streams; nil for none.
	Panics *contain.Panics
}

// DefaultSettings returns settings that detect an unresponsive link within three
// seconds.
func DefaultSettings() Settings {
	return Settings{
		DialTimeout: time.Second,
		KeepAlive:   time.Second,
		PingTimeout: 1500 * time.Millisecond,
		WindowBytes: 1 << 20,
	}
}

func (s Settings) yamux() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard // package runtime logs link events
	c.KeepAliveInterval = s.KeepAlive
	c.ConnectionWriteTimeout = s.PingTimeout
	c.MaxStreamWindowSize = s.WindowBytes
	c.StreamOpenTimeout = s.DialTimeout
	c.StreamCloseTimeout = time.Minute
	return c
}

// Events receives link events and answers the queries of peers. Its methods must
// not block.
type Events interface {
	LinkUp(peer model.InstanceID)
	// LinkDown is called when a link has ended and after each failed attempt to open
	// it, so it may be called repeatedly without LinkUp.
	LinkDown(peer model.InstanceID)
	GossipReceived(from model.InstanceID, g *linkpb.Gossip)
	// Revision returns the configuration revision in force, or nil if there is none.
	Revision() *linkpb.Revision
	// State returns the changes to the platform's store that a peer lacks, given
	// the versions that it knows. It returns nil if this instance keeps no copy of
	// the store.
	State(known *linkpb.StateRequest) *linkpb.State
	// QuotaReport answers an instance that reports what it needs of organisations' limits. It
	// returns nil if there is nothing to answer.
	QuotaReport(report *linkpb.QuotaReport) *linkpb.QuotaReply
}

// OfferHandler serves requests that peers offer. ServeOffer returns once the
// answer has been sent; the connection is closed afterwards.
type OfferHandler interface {
	ServeOffer(from model.InstanceID, offer *linkpb.Offer, conn Conn)
}

// Links keeps the links to peers open and accepts incoming links from peers.
type Links struct {
	settings Settings
	hello    *linkpb.Hello
	events   Events
	handler  OfferHandler

	mu    sync.Mutex
	peers map[model.InstanceID]*peer
	// onDemand holds the sessions for offers to instances that are not peers.
	onDemand map[model.InstanceID]*onDemandSession
	tasks    sync.WaitGroup
	closing  chan struct{} // closed by CloseAll
	once     sync.Once

	traffic traffic
}

// New returns a Links without peers.
func New(self *linkpb.Hello, s Settings, events Events, handler OfferHandler) *Links {
	return &Links{
		settings: s,
		hello:    self,
		events:   events,
		handler:  handler,
		peers:    make(map[model.InstanceID]*peer),
		onDemand: make(map[model.InstanceID]*onDemandSession),
		closing:  make(chan struct{}),
	}
}

// Open starts a link to a peer. If the peer already has a link to another address,
// that link is replaced.
func (l *Links) Open(ctx context.Context, id model.InstanceID, addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.peers[id]; old != nil {
		if old.addr == addr {
			return
		}
		old.cancel()
	}
	ctx, cancel := context.WithCancel(ctx)
	p := &peer{id: id, addr: addr, links: l, cancel: cancel, gossipQueue: make(chan *linkpb.Gossip, gossipQueueSize)}
	l.peers[id] = p
	l.tasks.Go(func() { l.settings.Panics.Keep(ctx, contain.Link, func() { p.run(ctx) }) })
}

// Close ends the link to a peer. Offers that are in flight on it are completed.
func (l *Links) Close(id model.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[id]; p != nil {
		p.cancel()
		delete(l.peers, id)
	}
}

// CloseAll closes all links and sessions and waits for their goroutines to end.
func (l *Links) CloseAll() {
	l.once.Do(func() { close(l.closing) })
	l.mu.Lock()
	for id, p := range l.peers {
		p.cancel()
		delete(l.peers, id)
	}
	for id, d := range l.onDemand {
		d.close()
		delete(l.onDemand, id)
	}
	l.mu.Unlock()
	l.tasks.Wait()
}

func (l *Links) peer(id model.InstanceID) *peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peers[id]
}

// Gossip queues a membership message for a peer. It never blocks: the message is
// dropped if the peer is unknown or its queue is full.
func (l *Links) Gossip(to model.InstanceID, g *linkpb.Gossip) {
	p := l.peer(to)
	if p == nil {
		return
	}
	select {
	case p.gossipQueue <- g:
	default:
	}
}

// Offer sends an offer to a peer. An error that wraps *DownError means that no
// byte of the offer was sent.
func (l *Links) Offer(to model.InstanceID, offer *linkpb.Offer) (Conn, error) {
	p := l.peer(to)
	if p == nil {
		return nil, &DownError{Peer: to}
	}
	conn, err := p.open()
	if err != nil {
		return nil, err
	}
	return sendOffer(to, conn, offer)
}

func sendOffer(to model.InstanceID, conn *streamConn, offer *linkpb.Offer) (Conn, error) {
	if err := conn.Send(&linkpb.Frame{Body: &linkpb.Frame_Offer{Offer: offer}}); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("send offer to %s: %w", to, err)
	}
	return conn, nil
}

// Revision requests the configuration revision in force at a peer. The peer ignores
// number, so the revision returned may be another one.
func (l *Links) Revision(to model.InstanceID, number int64, timeout time.Duration) (*linkpb.Revision, error) {
	request := &linkpb.Frame_RevisionRequest{RevisionRequest: &linkpb.RevisionRequest{Number: number}}
	f, err := l.roundTrip(to, &linkpb.Frame{Body: request}, timeout)
	if err != nil {
		return nil, fmt.Errorf("request revision from %s: %w", to, err)
	}
	if f.GetRevision() == nil {
		return nil, fmt.Errorf("request revision from %s: unexpected frame %T", to, f.GetBody())
	}
	return f.GetRevision(), nil
}

// State requests the changes to the platform's store that a peer knows beyond the
// versions in known.
func (l *Links) State(to model.InstanceID, known *linkpb.StateRequest, timeout time.Duration) (*linkpb.State, error) {
	f, err := l.roundTrip(to, &linkpb.Frame{Body: &linkpb.Frame_StateRequest{StateRequest: known}}, timeout)
	if err != nil {
		return nil, fmt.Errorf("request state from %s: %w", to, err)
	}
	if f.GetState() == nil {
		return nil, fmt.Errorf("request state from %s: unexpected frame %T", to, f.GetBody())
	}
	return f.GetState(), nil
}

// roundTrip sends one frame on a new stream and returns the frame sent in reply.
func (l *Links) roundTrip(to model.InstanceID, request *linkpb.Frame, timeout time.Duration) (*linkpb.Frame, error) {
	p := l.peer(to)
	if p == nil {
		return nil, &DownError{Peer: to}
	}
	conn, err := p.open()
	if err != nil {
		return nil, err
	}
	return conn.roundTrip(request, timeout)
}

// roundTrip sends the only frame of a stream and returns the frame sent in reply.
func (w *streamConn) roundTrip(request *linkpb.Frame, timeout time.Duration) (*linkpb.Frame, error) {
	defer func() { _ = w.Close() }()
	if err := w.setReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	if err := w.Send(request); err != nil {
		return nil, err
	}
	return w.Receive()
}
