// Package logsink writes log lines without ever blocking or failing the caller: lines wait in a
// bounded queue. Lines that do not fit are counted and dropped, and so are those that the output
// does not take. Part of the queue is reserved for warnings and errors.
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

// FlushTimeout is the time that a process gives Close at its end.
const FlushTimeout = 200 * time.Millisecond

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
	failed    atomic.Int64
	partial   bool // the output ends within a line; belongs to run
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

// Dropped returns the number of lines since the start that did not fit into the queue.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Failed returns the number of lines since the start that could not be written.
func (s *Sink) Failed() int64 { return s.failed.Load() }

func (s *Sink) run() {
	defer close(s.done)
	var reported losses
	for line := range s.queue {
		if line != nil && s.write(line) != nil {
			s.failed.Add(1)
		}
		if len(s.queue) == 0 {
			reported = s.reportLosses(reported)
		}
		if line == nil {
			return
		}
	}
}

// write writes a line, on a line of its own also after one that was written in part.
func (s *Sink) write(line []byte) error {
	if s.partial {
		line = append([]byte("\n"), line...)
	}
	n, err := s.out.Write(line)
	if n > 0 {
		s.partial = n < len(line)
	}
	if err != nil {
		return fmt.Errorf("write log line: %w", err)
	}
	return nil
}

// losses counts lines that are not in the log.
type losses struct{ dropped, failed int64 }

// reportLosses writes how many lines were lost beyond those already reported. It returns the
// losses that have been reported.
func (s *Sink) reportLosses(reported losses) losses {
	lost := losses{s.dropped.Load(), s.failed.Load()}
	if lost == reported {
		return reported
	}
	line := fmt.Sprintf(`{"level":"warning","msg":"log lines dropped","dropped":%d,"not_written":%d}`+"\n",
		lost.dropped-reported.dropped, lost.failed-reported.failed)
	if s.write([]byte(line)) != nil {
		return reported
	}
	return lost
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

// WriteLine writes a line to out, for at most FlushTimeout. It is for a process that is about to
// end.
func WriteLine(out io.Writer, line string) {
	s := New(out)
	_, _ = s.Write([]byte(line + "\n")) // never fails
	s.Close(FlushTimeout)
}
