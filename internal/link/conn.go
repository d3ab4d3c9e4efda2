// Package link carries frames between entry instances: yamux sessions over TCP,
// one stream for each offer and one for membership messages. An instance that
// offers to itself uses the same frames over an in-memory connection.
package link

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
)

const (
	// maxFrameBytes bounds one frame: a chunk, an offer with its whole body, or a
	// configuration revision.
	maxFrameBytes = 8 << 20
	// readBufferBytes is the read buffer of each stream.
	readBufferBytes = 4 << 10
	// localFrames is how many frames an in-memory connection holds each way.
	localFrames = 4
)

// Conn exchanges frames. Send and Receive may be used by one goroutine each at
// the same time. A frame belongs to the receiver once sent.
type Conn interface {
	Send(f *linkpb.Frame) error
	// Receive returns io.EOF once the other end has closed.
	Receive() (*linkpb.Frame, error)
	Close() error
}

// wire is a Conn over a stream of bytes.
type wire struct {
	stream   net.Conn
	counter  *countingReader
	reader   *bufio.Reader
	limits   protodelim.UnmarshalOptions
	traffic  *traffic
	consumed int64 // bytes of the frames received so far
}

func newWire(stream net.Conn, t *traffic) *wire {
	counter := &countingReader{reader: stream}
	return &wire{
		stream:  stream,
		counter: counter,
		reader:  bufio.NewReaderSize(counter, readBufferBytes),
		limits:  protodelim.UnmarshalOptions{MaxSize: maxFrameBytes},
		traffic: t,
	}
}

// Send writes one frame with its length before it.
func (w *wire) Send(f *linkpb.Frame) error {
	n, err := protodelim.MarshalTo(w.stream, f)
	w.traffic.sent[kindOf(f)].Add(int64(n))
	if err != nil {
		return fmt.Errorf("send frame to %s: %w", w.stream.RemoteAddr(), err)
	}
	return nil
}

// Receive reads one frame.
func (w *wire) Receive() (*linkpb.Frame, error) {
	f := &linkpb.Frame{}
	err := w.limits.UnmarshalFrom(w.reader, f)
	if errors.Is(err, io.EOF) {
		return nil, io.EOF
	}
	if err != nil {
		return nil, fmt.Errorf("receive frame from %s: %w", w.stream.RemoteAddr(), err)
	}
	w.countReceived(f)
	return f, nil
}

func (w *wire) countReceived(f *linkpb.Frame) {
	consumed := w.counter.read - int64(w.reader.Buffered())
	w.traffic.received[kindOf(f)].Add(consumed - w.consumed)
	w.consumed = consumed
}

// Close closes the stream both ways.
func (w *wire) Close() error { return w.stream.Close() }

func (w *wire) setReadDeadline(t time.Time) error { return w.stream.SetReadDeadline(t) }

// local is one end of an in-memory Conn.
type local struct {
	out  chan<- *linkpb.Frame
	in   <-chan *linkpb.Frame
	mine *closeOnce
	peer *closeOnce
}

// closeOnce is closed by one end and watched by both.
type closeOnce struct {
	once sync.Once
	done chan struct{}
}

func newCloseOnce() *closeOnce { return &closeOnce{done: make(chan struct{})} }

func (c *closeOnce) close() { c.once.Do(func() { close(c.done) }) }

// Pipe returns the two ends of an in-memory Conn.
func Pipe() (Conn, Conn) {
	ab := make(chan *linkpb.Frame, localFrames)
	ba := make(chan *linkpb.Frame, localFrames)
	a, b := newCloseOnce(), newCloseOnce()
	return &local{out: ab, in: ba, mine: a, peer: b}, &local{out: ba, in: ab, mine: b, peer: a}
}

// Send hands the frame to the other end.
func (l *local) Send(f *linkpb.Frame) error {
	select {
	case <-l.mine.done:
		return net.ErrClosed
	case <-l.peer.done:
		return io.ErrClosedPipe
	default:
	}
	select {
	case l.out <- f:
		return nil
	case <-l.mine.done:
		return net.ErrClosed
	case <-l.peer.done:
		return io.ErrClosedPipe
	}
}

// Receive returns frames sent before the other end closed, then io.EOF.
func (l *local) Receive() (*linkpb.Frame, error) {
	select {
	case f := <-l.in:
		return f, nil
	default:
	}
	select {
	case f := <-l.in:
		return f, nil
	case <-l.mine.done:
		return nil, net.ErrClosed
	case <-l.peer.done:
	}
	select {
	case f := <-l.in:
		return f, nil
	default:
		return nil, io.EOF
	}
}

// Close ends the connection for both ends.
func (l *local) Close() error {
	l.mine.close()
	return nil
}
