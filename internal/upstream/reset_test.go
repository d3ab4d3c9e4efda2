package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const unframedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

// resetUnframed answers an upload early with half of a body without a length, and resets the
// connection at once.
func resetUnframed(s *scriptedServer, _ int64, c net.Conn, br *bufio.Reader) {
	if _, err := s.readHead(br); err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, br, 1000)
	_, _ = io.WriteString(c, unframedHead+"half of the ")
	_ = c.(*net.TCPConn).SetLinger(0)
}

// TestUnframedAnswerResetDuringUploadIsCut guards against a receipt that is cut and passes for
// whole because sending the upload got the error of the reset.
func TestUnframedAnswerResetDuringUploadIsCut(t *testing.T) {
	const plays = 300
	upload := make([]byte, 8<<20) // more than the buffers of both ends hold
	for _, streamed := range []bool{false, true} {
		s := startServer(t, resetUnframed)
		c := newClient(t, Settings{AcceptCloseDelimited: true})
		for play := range plays {
			a := newPost(s, nil, int64(len(upload)))
			a.Body = upload
			if streamed {
				a.Body, a.BodyStream = nil, bytes.NewReader(upload)
			}
			response, sendErr := c.Send(testContext(t), a)
			if sendErr != nil {
				continue
			}
			_, err := io.ReadAll(response.Body)
			require.ErrorIs(t, err, io.ErrUnexpectedEOF, "streamed %t, play %d", streamed, play)
			require.NoError(t, response.Body.Close())
		}
	}
}

// TestUnframedAnswerEndedInOrderDuringUploadIsWhole covers a server that answers without a
// length, ends its side, and resets the connection only afterwards.
func TestUnframedAnswerEndedInOrderDuringUploadIsWhole(t *testing.T) {
	s := startServer(t, func(s *scriptedServer, _ int64, c net.Conn, br *bufio.Reader) {
		if _, err := s.readHead(br); err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, br, 1000)
		_, _ = io.WriteString(c, unframedHead+"ok")
		_ = c.(*net.TCPConn).CloseWrite()
		time.Sleep(20 * time.Millisecond) // the end of the answer arrives before the reset
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	c := newClient(t, Settings{AcceptCloseDelimited: true})
	upload := make([]byte, 8<<20)
	for _, streamed := range []bool{false, true} {
		a := newPost(s, nil, int64(len(upload)))
		a.Body = upload
		if streamed {
			a.Body, a.BodyStream = nil, bytes.NewReader(upload)
		}
		response, sendErr := c.Send(testContext(t), a)
		require.Equal(t, "ok", readBody(t, response, sendErr), "streamed %t", streamed)
	}
}

// failedConn is a connection whose writes fail and whose peer seems to have ended its side.
type failedConn struct {
	net.Conn
	writeErr error
}

func (c *failedConn) Write([]byte) (int, error)        { return 0, &net.OpError{Op: "write", Err: c.writeErr} }
func (c *failedConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (c *failedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *failedConn) SetWriteDeadline(time.Time) error { return nil }

// TestWriteErrorTellsHowTheConnectionEnded guards against an end that only a write has seen.
func TestWriteErrorTellsHowTheConnectionEnded(t *testing.T) {
	for errno, aborted := range map[syscall.Errno]bool{
		syscall.ECONNRESET: true, syscall.ETIMEDOUT: true, syscall.EHOSTUNREACH: true, syscall.EPIPE: false,
	} {
		cn := newConn(&failedConn{writeErr: errno}, nil, time.Now(), time.Second)
		_, err := cn.Write([]byte("x"))
		require.ErrorIs(t, err, errno)
		_, err = cn.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		if aborted {
			require.ErrorIs(t, cn.brokenError(), errno)
		} else {
			require.NoError(t, cn.brokenError())
		}
	}
}
