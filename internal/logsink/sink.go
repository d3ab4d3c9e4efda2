// Package logsink writes log lines without ever blocking the caller: lines wait in a bounded
// queue, and lines that do not fit are counted and dropped. Part of the queue is reserved for
// warnings and errors.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueuedLines is the capacity of the queue: about one second of a busy instance's lines.
const maxQueuedLines = 2048

// maxQueuedInfoLines is the number of queued lines beyond which only warnings and errors are
// accepted.
const maxQueuedInfoLines = maxQueuedLines / 2

// jsonInfo and textInfo are how logrus marks a line of level info. Quotes in values are
// escaped in JSON, so that no value contains jsonInfo.
var (
	jsonInfo = []byte(`"level":"info"`)
	textInfo = []byte("level=info ")
)

// textLevelBytes is the length of the part of a text line that holds its time and level.
const textLevelBytes = 60

// Sink is an io.Writer that takes one whole line per Write. It is safe for concurrent use.
type Sink struct {
	out       io.Writer
	queue     chan []byte
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

// New returns a sink that writes to out until it is closed.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, queue: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer. It never fails and never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	if len(s.queue) >= maxQueuedInfoLines && isInfo(line) {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.queue <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

func isInfo(line []byte) bool {
	if bytes.HasPrefix(line, []byte("{")) {
		return bytes.Contains(line, jsonInfo)
	}
	return bytes.Contains(line[:min(len(line), textLevelBytes)], textInfo)
}

// Dropped returns the number of lines dropped since the start.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) run() {
	defer close(s.done)
	var reported int64
	for line := range s.queue {
		if line != nil {
			// A failed write of the log cannot be reported anywhere.
			_, _ = s.out.Write(line)
		}
		if len(s.queue) == 0 {
			reported = s.reportDropped(reported)
		}
		if line == nil {
			return
		}
	}
}

// reportDropped writes how many lines were dropped beyond those already reported. It returns
// the total number of dropped lines.
func (s *Sink) reportDropped(reported int64) int64 {
	dropped := s.dropped.Load()
	if dropped > reported {
		_, _ = fmt.Fprintf(s.out, `{"level":"warning","msg":"log lines dropped","dropped":%d}`+"\n", dropped-reported)
	}
	return dropped
}

// Close writes the queued lines, for at most the given time, and stops the sink.
func (s *Sink) Close(timeout time.Duration) {
	s.closeOnce.Do(func() {
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		select {
		case s.queue <- nil:
		case <-timer.C:
			return
		}
		select {
		case <-s.done:
		case <-timer.C:
		}
	})
}
