package link

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	redialFirst = 50 * time.Millisecond
	redialMost  = 2 * time.Second
	// outgoingMessages is how many membership messages wait for a slow link. More
	// are dropped: the next heartbeat carries what they said.
	outgoingMessages = 16
)

// Settings of the links.
type Settings struct {
	DialTimeout time.Duration
	// KeepAlive is the interval between pings of a session. A session whose ping
	// is not answered within PingTimeout is closed.
	KeepAlive   time.Duration
	PingTimeout time.Duration
	// WindowBytes bounds what a stream holds for a slow reader.
	WindowBytes uint32
}

// DefaultSettings detects a silent link within three seconds.
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
	c.LogOutput = io.Discard // link events are logged by the runtime
	c.KeepAliveInterval = s.KeepAlive
	c.ConnectionWriteTimeout = s.PingTimeout
	c.MaxStreamWindowSize = s.WindowBytes
	c.StreamOpenTimeout = s.DialTimeout
	c.StreamCloseTimeout = time.Minute
	return c
}

// Events receives what happens on links. Its methods must not block.
type Events interface {
	LinkUp(peer model.InstanceID)
	LinkDown(peer model.InstanceID)
	GossipReceived(from model.InstanceID, g *linkpb.Gossip)
	// Revision returns the configuration revision in force, nil without one.
	Revision() *linkpb.Revision
	// State returns what a peer lacks of the platform's store, nil where this
	// instance keeps no copy of it.
	State(known *linkpb.StateRequest) *linkpb.State
}

// OfferHandler serves a request that a peer offers. It returns when the answer
// has been sent. The connection is closed afterwards.
type OfferHandler interface {
	ServeOffer(from model.InstanceID, offer *linkpb.Offer, conn Conn)
}

// Links keeps the links to peers open and accepts theirs.
type Links struct {
	settings Settings
	hello    *linkpb.Hello
	events   Events
	handler  OfferHandler

	mu    sync.Mutex
	peers map[model.InstanceID]*peer
	// onDemand are sessions for offers to instances that are no peers.
	onDemand map[model.InstanceID]*onDemand
	tasks    sync.WaitGroup
	closing  chan struct{} // closed by CloseAll
	once     sync.Once

	traffic traffic
}

// New returns links without peers.
func New(self *linkpb.Hello, s Settings, events Events, handler OfferHandler) *Links {
	return &Links{
		settings: s,
		hello:    self,
		events:   events,
		handler:  handler,
		peers:    make(map[model.InstanceID]*peer),
		onDemand: make(map[model.InstanceID]*onDemand),
		closing:  make(chan struct{}),
	}
}

// Open starts a link to a peer, or replaces it where the address changed.
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
	p := &peer{id: id, addr: addr, links: l, cancel: cancel, outgoing: make(chan *linkpb.Gossip, outgoingMessages)}
	l.peers[id] = p
	l.tasks.Go(func() { p.run(ctx) })
}

// Close ends the link to a peer. Offers on it run to their end.
func (l *Links) Close(id model.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[id]; p != nil {
		p.cancel()
		delete(l.peers, id)
	}
}

// CloseAll ends every link and waits until they have ended.
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

// Gossip queues a membership message to a peer; it never blocks.
func (l *Links) Gossip(to model.InstanceID, g *linkpb.Gossip) {
	p := l.peer(to)
	if p == nil {
		return
	}
	select {
	case p.outgoing <- g:
	default:
	}
}

// Offer sends an offer to a peer. An error that wraps *DownError says that no
// byte of it was sent.
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

func sendOffer(to model.InstanceID, conn *wire, offer *linkpb.Offer) (Conn, error) {
	if err := conn.Send(&linkpb.Frame{Body: &linkpb.Frame_Offer{Offer: offer}}); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("offer to %s: %w", to, err)
	}
	return conn, nil
}

// Revision asks a peer for its configuration revision.
func (l *Links) Revision(to model.InstanceID, number int64, timeout time.Duration) (*linkpb.Revision, error) {
	request := &linkpb.Frame_RevisionRequest{RevisionRequest: &linkpb.RevisionRequest{Number: number}}
	f, err := l.ask(to, &linkpb.Frame{Body: request}, timeout)
	if err != nil {
		return nil, fmt.Errorf("revision from %s: %w", to, err)
	}
	if f.GetRevision() == nil {
		return nil, fmt.Errorf("revision from %s: unexpected frame %T", to, f.GetBody())
	}
	return f.GetRevision(), nil
}

// State asks a peer for what it knows of the platform's store.
func (l *Links) State(to model.InstanceID, known *linkpb.StateRequest, timeout time.Duration) (*linkpb.State, error) {
	f, err := l.ask(to, &linkpb.Frame{Body: &linkpb.Frame_StateRequest{StateRequest: known}}, timeout)
	if err != nil {
		return nil, fmt.Errorf("state from %s: %w", to, err)
	}
	if f.GetState() == nil {
		return nil, fmt.Errorf("state from %s: unexpected frame %T", to, f.GetBody())
	}
	return f.GetState(), nil
}

// ask sends one frame on a stream of its own and returns the answer.
func (l *Links) ask(to model.InstanceID, question *linkpb.Frame, timeout time.Duration) (*linkpb.Frame, error) {
	p := l.peer(to)
	if p == nil {
		return nil, &DownError{Peer: to}
	}
	conn, err := p.open()
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.setReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	if err := conn.Send(question); err != nil {
		return nil, err
	}
	return conn.Receive()
}
