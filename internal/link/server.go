package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/hashicorp/yamux"

	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Serve accepts peers' sessions until ctx ends, CloseAll is called or the
// listener fails.
func (l *Links) Serve(ctx context.Context, listener net.Listener) error {
	l.tasks.Add(1) // so that CloseAll waits, and no session begins while it does
	defer l.tasks.Done()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	go l.closeWhenClosing(ctx, listener)
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept link on %s: %w", listener.Addr(), err)
		}
		l.tasks.Go(func() { l.serveSession(ctx, conn) })
	}
}

func (l *Links) closeWhenClosing(ctx context.Context, listener net.Listener) {
	select {
	case <-l.closing:
		_ = listener.Close()
	case <-ctx.Done():
	}
}

// inbound is one session that a peer dialled. The peer names itself on its
// control stream.
type inbound struct {
	links *Links
	ctx   context.Context

	mu   sync.Mutex
	from model.InstanceID
}

func (l *Links) serveSession(ctx context.Context, conn net.Conn) {
	session, err := yamux.Server(conn, l.settings.yamux())
	if err != nil {
		_ = conn.Close()
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	defer func() { _ = session.Close() }()
	go l.closeWith(session)
	in := &inbound{links: l, ctx: ctx}
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		l.tasks.Go(func() { in.serveStream(newWire(stream, &l.traffic)) })
	}
}

// closeWith closes a peer's session when all links close.
func (l *Links) closeWith(session *yamux.Session) {
	select {
	case <-l.closing:
		_ = session.Close()
	case <-session.CloseChan():
	}
}

// serveStream acts on the first frame, which says what the stream is for.
func (in *inbound) serveStream(conn *wire) {
	defer func() { _ = conn.Close() }()
	f, err := conn.Receive()
	if err != nil {
		return
	}
	switch body := f.GetBody().(type) {
	case *linkpb.Frame_Hello:
		in.serveControl(model.InstanceID(body.Hello.GetInstance()), conn)
	case *linkpb.Frame_Offer:
		in.links.handler.ServeOffer(in.peer(), body.Offer, conn)
	case *linkpb.Frame_RevisionRequest:
		in.serveRevision(conn)
	case *linkpb.Frame_StateRequest:
		in.serveState(conn, body.StateRequest)
	}
}

func (in *inbound) serveControl(from model.InstanceID, conn *wire) {
	in.mu.Lock()
	in.from = from
	in.mu.Unlock()
	if conn.Send(&linkpb.Frame{Body: &linkpb.Frame_Hello{Hello: in.links.hello}}) != nil {
		return
	}
	for {
		f, err := conn.Receive()
		if err != nil {
			return
		}
		if g := f.GetGossip(); g != nil {
			in.links.events.GossipReceived(from, g)
		}
	}
}

func (in *inbound) serveRevision(conn *wire) {
	r := in.links.events.Revision()
	if r == nil {
		return
	}
	_ = conn.Send(&linkpb.Frame{Body: &linkpb.Frame_Revision{Revision: r}})
}

func (in *inbound) serveState(conn *wire, known *linkpb.StateRequest) {
	state := in.links.events.State(known)
	if state == nil {
		return
	}
	_ = conn.Send(&linkpb.Frame{Body: &linkpb.Frame_State{State: state}})
}

func (in *inbound) peer() model.InstanceID {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.from
}
