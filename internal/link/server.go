package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/hashicorp/yamux"

	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Serve accepts sessions from peers until ctx is done, CloseAll is called or the
// listener fails. It returns an error only if the listener fails.
func (l *Links) Serve(ctx context.Context, listener net.Listener) error {
	l.tasks.Add(1) // CloseAll must wait for Serve, and no session may start while it waits
	defer l.tasks.Done()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	go l.closeListenerOnShutdown(ctx, listener)
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept link on %s: %w", listener.Addr(), err)
		}
		l.tasks.Go(func() { l.settings.Panics.Do(contain.Link, func() { l.serveSession(ctx, conn) }) })
	}
}

func (l *Links) closeListenerOnShutdown(ctx context.Context, listener net.Listener) {
	select {
	case <-l.closing:
		_ = listener.Close()
	case <-ctx.Done():
	}
}

// inboundSession is a session that a peer dialled. The peer identifies itself with the
// Hello on its control stream.
type inboundSession struct {
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
	go l.closeSessionOnShutdown(session)
	in := &inboundSession{links: l, ctx: ctx}
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		l.tasks.Go(func() {
			l.settings.Panics.Do(contain.Link, func() { in.serveStream(newStreamConn(stream, &l.traffic)) })
		})
	}
}

// closeSessionOnShutdown closes a session dialled by a peer when all links are closed.
func (l *Links) closeSessionOnShutdown(session *yamux.Session) {
	select {
	case <-l.closing:
		_ = session.Close()
	case <-session.CloseChan():
	}
}

// serveStream serves a stream according to its first frame, which defines the
// purpose of the stream.
func (in *inboundSession) serveStream(conn *streamConn) {
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
	case *linkpb.Frame_QuotaReport:
		in.serveQuotaReport(conn, body.QuotaReport)
	}
}

func (in *inboundSession) serveControl(from model.InstanceID, conn *streamConn) {
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
			in.links.settings.Panics.Do(contain.Frame, func() { in.links.events.GossipReceived(from, g) })
		}
	}
}

func (in *inboundSession) serveRevision(conn *streamConn) {
	r := in.links.events.Revision()
	if r == nil {
		return
	}
	_ = conn.Send(&linkpb.Frame{Body: &linkpb.Frame_Revision{Revision: r}})
}

func (in *inboundSession) serveState(conn *streamConn, known *linkpb.StateRequest) {
	state := in.links.events.State(known)
	if state == nil {
		return
	}
	_ = conn.Send(&linkpb.Frame{Body: &linkpb.Frame_State{State: state}})
}

func (in *inboundSession) serveQuotaReport(conn *streamConn, report *linkpb.QuotaReport) {
	reply := in.links.events.QuotaReport(report)
	if reply == nil {
		return
	}
	_ = conn.Send(&linkpb.Frame{Body: &linkpb.Frame_QuotaReply{QuotaReply: reply}})
}

func (in *inboundSession) peer() model.InstanceID {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.from
}
