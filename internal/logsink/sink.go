// Package logsink writes log lines without ever blocking those who log: lines wait in
// a bounded queue, and those beyond it are counted and dropped.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queueLines bounds the lines that wait: about a second of a busy instance.
const queueLines = 2048

// Sink is an io.Writer of whole lines. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// New returns a sink that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, queue: make(chan []byte, queueLines), done: make(chan struct{})}
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

// Dropped returns how many lines were dropped since the start.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) run() {
	defer close(s.done)
	var told int64
	for line := range s.queue {
		if line != nil {
			// Nothing can be done about a log that cannot be written.
			_, _ = s.out.Write(line)
		}
		if len(s.queue) == 0 {
			told = s.tellDropped(told)
		}
		if line == nil {
			return
		}
	}
}

// tellDropped writes how many lines were dropped since told, and returns how many
// were in all.
func (s *Sink) tellDropped(told int64) int64 {
	dropped := s.dropped.Load()
	if dropped > told {
		_, _ = fmt.Fprintf(s.out, `{"level":"warning","msg":"log lines dropped","dropped":%d}`+"\n", dropped-told)
	}
	return dropped
}

// Close writes what waits, for at most the given time.
func (s *Sink) Close(limit time.Duration) {
	s.once.Do(func() {
		timer := time.NewTimer(limit)
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
