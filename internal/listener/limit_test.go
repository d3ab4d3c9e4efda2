package listener

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

func TestNewConnectionReplacesTheOneSilentForLongest(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	log, hook := logtest.NewNullLogger()
	l := Limit(inner, 2, "lookups", logrus.NewEntry(log))
	t.Cleanup(func() { _ = l.Close() })
	connect := func() (client, server net.Conn) {
		client, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = client.Close() })
		server, err = l.Accept()
		require.NoError(t, err)
		t.Cleanup(func() { _ = server.Close() })
		return client, server
	}
	isOpen := func(client net.Conn) bool {
		require.NoError(t, client.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
		_, err := client.Read(make([]byte, 1))
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return true
		}
		require.ErrorIs(t, err, io.EOF)
		return false
	}
	first, firstServer := connect()
	second, _ := connect()
	_, err = first.Write([]byte("x"))
	require.NoError(t, err)
	_, err = firstServer.Read(make([]byte, 1))
	require.NoError(t, err)
	third, _ := connect()
	require.False(t, isOpen(second))
	require.True(t, isOpen(first))
	require.True(t, isOpen(third))
	require.Len(t, hook.AllEntries(), 1)
	require.NoError(t, firstServer.Close())
	fourth, _ := connect()
	require.True(t, isOpen(third), "a closed connection has left room")
	require.True(t, isOpen(fourth))
}
