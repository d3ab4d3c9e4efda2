package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scriptedServer runs a function for each accepted connection.
type scriptedServer struct {
	addr     netip.AddrPort
	accepted atomic.Int64
	requests atomic.Int64
	wg       sync.WaitGroup
	mu       sync.Mutex
	conns    []net.Conn
}

// startServer starts a server for the duration of the test. script gets the number of its
// connection in n, starting at 1.
func startServer(t testing.TB, script func(s *scriptedServer, n int64, c net.Conn, br *bufio.Reader)) *scriptedServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptedServer{addr: netip.MustParseAddrPort(ln.Addr().String())}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			n := s.accepted.Add(1)
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			s.wg.Add(1)
			go func() {
				defer s.wg.Done()
				defer c.Close()
				script(s, n, c, bufio.NewReader(c))
			}()
		}
	}()
	t.Cleanup(func() {
		ln.Close()
		s.mu.Lock()
		for _, c := range s.conns {
			c.Close()
		}
		s.mu.Unlock()
		s.wg.Wait()
	})
	return s
}

// readHead reads a request's header and counts the request.
func (s *scriptedServer) readHead(br *bufio.Reader) (string, error) {
	var head strings.Builder
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			return "", err
		}
		if line == "\r\n" {
			s.requests.Add(1)
			return head.String(), nil
		}
		head.WriteString(line)
	}
}

// respondAlways sends the same bytes in response to every request on every connection.
func respondAlways(response string) func(*scriptedServer, int64, net.Conn, *bufio.Reader) {
	return func(s *scriptedServer, _ int64, c net.Conn, br *bufio.Reader) {
		for {
			if _, err := s.readHead(br); err != nil {
				return
			}
			if _, err := io.WriteString(c, response); err != nil {
				return
			}
		}
	}
}

func newClient(t *testing.T, s Settings) *Client {
	t.Helper()
	c := New(s)
	t.Cleanup(func() { require.NoError(t, c.Shutdown()) })
	return c
}

func newGet(s *scriptedServer) *Attempt {
	return &Attempt{Backend: "b", Address: s.addr, Method: "GET", URI: []byte("/x?y=1"), TraceID: "t-1"}
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func readBody(t *testing.T, a *Response, e *SendError) string {
	t.Helper()
	if e != nil {
		require.NoError(t, e)
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	require.NoError(t, err)
	return string(text)
}
