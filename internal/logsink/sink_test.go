package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// gate is a writer that blocks until it is opened.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
	out  bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.out.Write(p)
}

func TestWriteNeverBlocksAndTellsWhatItDropped(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	s := New(g)
	for range queueLines + 100 {
		n, err := s.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	require.GreaterOrEqual(t, s.Dropped(), int64(99))
	close(g.open)
	s.Close(time.Second)
	require.GreaterOrEqual(t, strings.Count(g.out.String(), "line\n"), queueLines)
	require.True(t, strings.Contains(g.out.String(), `"msg":"log lines dropped"`))
}

func TestCloseGivesUpOnAStuckWriter(t *testing.T) {
	s := New(&gate{open: make(chan struct{})})
	for range queueLines + 2 {
		_, _ = s.Write([]byte("x\n"))
	}
	begun := time.Now()
	s.Close(50 * time.Millisecond)
	require.Less(t, time.Since(begun), time.Second)
}
