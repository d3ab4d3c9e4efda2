// Package link carries frames between entry instances over yamux sessions on TCP.
// Each session has a control stream for membership messages, and a stream for each
// offer (a request that one instance asks another to serve) and for each request for
// a configuration revision or store state. An instance that sends an offer to itself
// uses the same frames over an in-memory connection.
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
	// maxFrameBytes is the maximum size of a frame: a chunk, an offer with its whole
	// body, a configuration revision, or rows of the platform's store.
	maxFrameBytes = 8 << 20
	// readBufferBytes is the size of each stream's read buffer.
	readBufferBytes = 4 << 10
	// pipeBufferFrames is the number of frames that an in-memory connection buffers in
	// each direction.
	pipeBufferFrames = 4
)

// Conn exchanges frames. One goroutine may call Send while another calls Receive;
// neither may be called concurrently with itself. Once sent, a frame is owned by the
// receiver.
type Conn interface {
	Send(f *linkpb.Frame) error
	// Receive returns io.EOF once the other end has closed.
	Receive() (*linkpb.Frame, error)
	Close() error
}

// streamConn is a Conn over a byte stream.
type streamConn struct {
	stream   net.Conn
	counter  *countingReader
	reader   *bufio.Reader
	limits   protodelim.UnmarshalOptions
	traffic  *traffic
	consumed int64 // bytes of the frames received so far
}

func newStreamConn(stream net.Conn, t *traffic) *streamConn {
	counter := &countingReader{reader: stream}
	return &streamConn{
		stream:  stream,
		counter: counter,
		reader:  bufio.NewReaderSize(counter, readBufferBytes),
		limits:  protodelim.UnmarshalOptions{MaxSize: maxFrameBytes},
		traffic: t,
	}
}

// Send writes one frame, prefixed with its length.
func (w *streamConn) Send(f *linkpb.Frame) error {
	n, err := protodelim.MarshalTo(w.stream, f)
	w.traffic.sent[trafficKindOf(f)].Add(int64(n))
	if err != nil {
		return fmt.Errorf("send frame to %s: %w", w.stream.RemoteAddr(), err)
	}
	return nil
}

// Receive reads one frame.
func (w *streamConn) Receive() (*linkpb.Frame, error) {
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

func (w *streamConn) countReceived(f *linkpb.Frame) {
	consumed := w.counter.read - int64(w.reader.Buffered())
	w.traffic.received[trafficKindOf(f)].Add(consumed - w.consumed)
	w.consumed = consumed
}

// Close ends sending. Data may still be received until the peer closes the stream too,
// or for yamux's StreamCloseTimeout.
func (w *streamConn) Close() error { return w.stream.Close() }

func (w *streamConn) setReadDeadline(t time.Time) error { return w.stream.SetReadDeadline(t) }

// pipeConn is one end of an in-memory Conn.
type pipeConn struct {
	out         chan<- *linkpb.Frame
	in          <-chan *linkpb.Frame
	localClose  *closeSignal
	remoteClose *closeSignal
}

// closeSignal signals that one end has closed. Both ends wait on done.
type closeSignal struct {
	once sync.Once
	done chan struct{}
}

func newCloseSignal() *closeSignal { return &closeSignal{done: make(chan struct{})} }

func (c *closeSignal) close() { c.once.Do(func() { close(c.done) }) }

// Pipe returns the two ends of an in-memory Conn.
func Pipe() (Conn, Conn) {
	ab := make(chan *linkpb.Frame, pipeBufferFrames)
	ba := make(chan *linkpb.Frame, pipeBufferFrames)
	a, b := newCloseSignal(), newCloseSignal()
	return &pipeConn{out: ab, in: ba, localClose: a, remoteClose: b}, &pipeConn{out: ba, in: ab, localClose: b, remoteClose: a}
}

// Send passes the frame to the other end.
func (p *pipeConn) Send(f *linkpb.Frame) error {
	select {
	case <-p.localClose.done:
		return net.ErrClosed
	case <-p.remoteClose.done:
		return io.ErrClosedPipe
	default:
	}
	select {
	case p.out <- f:
		return nil
	case <-p.localClose.done:
		return net.ErrClosed
	case <-p.remoteClose.done:
		return io.ErrClosedPipe
	}
}

// Receive returns the frames that the other end sent before it closed, then io.EOF.
func (p *pipeConn) Receive() (*linkpb.Frame, error) {
	select {
	case f := <-p.in:
		return f, nil
	default:
	}
	select {
	case f := <-p.in:
		return f, nil
	case <-p.localClose.done:
		return nil, net.ErrClosed
	case <-p.remoteClose.done:
	}
	select {
	case f := <-p.in:
		return f, nil
	default:
		return nil, io.EOF
	}
}

// Close ends the connection for both ends.
func (p *pipeConn) Close() error {
	p.localClose.close()
	return nil
}
