package upstream

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

type panickingBody struct{}

func (panickingBody) Read([]byte) (int, error) { panic("reading a body") }

// TestPanicGivesBackTheConnection guards against connections that count as open forever.
func TestPanicGivesBackTheConnection(t *testing.T) {
	s := startServer(t, func(s *scriptedServer, _ int64, c net.Conn, br *bufio.Reader) {
		if _, err := s.readHead(br); err == nil {
			_, _ = io.Copy(io.Discard, br)
		}
	})
	c := newClient(t, Settings{})
	connected := newGet(s)
	connected.Connected = func(bool) { panic("connected") }
	streamed := newGet(s)
	streamed.Method, streamed.BodyStream, streamed.BodyBytes = "POST", panickingBody{}, 10
	for _, a := range []*Attempt{connected, streamed} {
		require.Panics(t, func() { _, _ = c.Send(testContext(t), a) })
		require.Equal(t, Connections{}, c.Count(s.addr))
	}
}
