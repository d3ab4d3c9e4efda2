package tcpstate

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPeekReportsPeerState(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	server, err := ln.Accept()
	require.NoError(t, err)
	defer server.Close()

	probe := NewProbe(server)
	require.Equal(t, Idle, probe.Peek())
	_, err = client.Write([]byte("x"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return probe.Peek() == Readable }, 5*time.Second, time.Millisecond)
	b := make([]byte, 2)
	n, err := server.Read(b)
	require.NoError(t, err)
	require.Equal(t, 1, n, "Peek must not consume data")
	require.NoError(t, client.Close())
	require.Eventually(t, func() bool { return probe.Peek() == Closed }, 5*time.Second, time.Millisecond)
}
