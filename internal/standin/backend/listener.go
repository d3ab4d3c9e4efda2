package backend

import (
	"net"
	"sync"

	"github.com/primrosenotch/primrosenotch/internal/standin/netfault"
)

// listener wraps the connections of a netfault.Listener in conn and tracks the open ones.
type listener struct {
	*netfault.Listener

	mu    sync.Mutex
	conns map[*conn]struct{}
}

func listen(addr string) (*listener, error) {
	inner, err := netfault.Listen(addr)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: inner, conns: make(map[*conn]struct{})}, nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted.(*netfault.Conn), owner: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *listener) openConns() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}
