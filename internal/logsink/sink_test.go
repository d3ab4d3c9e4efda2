package logsink

import (
	"bytes"
	"strings"
	"sync"
	"syscall"
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

func TestFailuresAreKeptFirst(t *testing.T) {
	w := &blockingWriter{unblocked: make(chan struct{})}
	s := New(w)
	info, warning := `{"level":"info","msg":"answered"}`+"\n", `{"level":"warning","msg":"refused"}`+"\n"
	for range 2 * maxQueuedLines {
		_, _ = s.Write([]byte(info))
	}
	for range maxQueuedLines - maxQueuedInfoLines {
		_, _ = s.Write([]byte(warning))
	}
	close(w.unblocked)
	s.Close(time.Second)
	require.Equal(t, maxQueuedLines-maxQueuedInfoLines, strings.Count(w.out.String(), warning))
	require.InDelta(t, 2*maxQueuedLines-maxQueuedInfoLines, s.Dropped(), 1) // the writer holds one line
}

func TestInfoIsRecognized(t *testing.T) {
	for line, want := range map[string]bool{
		`{"level":"info","msg":"answered"}`:                                      true,
		`{"level":"warning","path":"/\"level\":\"info\" level=info "}`:           false,
		`time="2026-12-04T20:00:00Z" level=info msg=answered`:                    true,
		`time="2026-12-04T20:00:00Z" level=warning msg=refused path=level=info `: false,
		"": false,
	} {
		require.Equal(t, want, isInfo([]byte(line)), line)
	}
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

// fullWriter takes a part of each line, until it has room for all.
type fullWriter struct {
	mu   sync.Mutex
	room bool
	out  bytes.Buffer
}

func (w *fullWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.room {
		n, _ := w.out.Write(p[:1])
		return n, syscall.ENOSPC
	}
	return w.out.Write(p)
}

// TestFailedWritesAreCountedAndReported covers an output that fails for a while: later lines are
// whole, and one says how many are missing.
func TestFailedWritesAreCountedAndReported(t *testing.T) {
	w := &fullWriter{}
	s := New(w)
	for range 3 {
		_, err := s.Write([]byte("lost\n"))
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return s.Failed() == 3 }, time.Second, time.Millisecond)
	w.mu.Lock()
	w.room = true
	w.mu.Unlock()
	_, err := s.Write([]byte("kept\n"))
	require.NoError(t, err)
	s.Close(time.Second)
	lines := strings.Split(w.out.String(), "\n")
	require.Contains(t, lines, "kept")
	require.Contains(t, lines, `{"level":"warning","msg":"log lines dropped","dropped":0,"not_written":3}`)
}
