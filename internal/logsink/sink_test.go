package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockingWriter is a writer that blocks until unblocked is closed.
type blockingWriter struct {
	mu        sync.Mutex
	unblocked chan struct{}
	out       bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.unblocked
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

func TestWriteNeverBlocksAndReportsDroppedLines(t *testing.T) {
	w := &blockingWriter{unblocked: make(chan struct{})}
	s := New(w)
	for range maxQueuedLines + 100 {
		n, err := s.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	require.GreaterOrEqual(t, s.Dropped(), int64(99))
	close(w.unblocked)
	s.Close(time.Second)
	require.GreaterOrEqual(t, strings.Count(w.out.String(), "line\n"), maxQueuedLines)
	require.True(t, strings.Contains(w.out.String(), `"msg":"log lines dropped"`))
}

func TestCloseTimesOutOnBlockedWriter(t *testing.T) {
	s := New(&blockingWriter{unblocked: make(chan struct{})})
	for range maxQueuedLines + 2 {
		_, _ = s.Write([]byte("x\n"))
	}
	started := time.Now()
	s.Close(50 * time.Millisecond)
	require.Less(t, time.Since(started), time.Second)
}
