// Package logsink writes log lines without ever blocking the caller: lines wait in a bounded
// queue, and lines that do not fit are counted and dropped.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueuedLines is the capacity of the queue: about one second of a busy instance's lines.
const maxQueuedLines = 2048

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
	select {
	case s.queue <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
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
