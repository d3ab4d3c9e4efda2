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

// scripted is a server that runs one function for each accepted connection.
type scripted struct {
	addr     netip.AddrPort
	accepted atomic.Int64
	requests atomic.Int64
	wg       sync.WaitGroup
	mu       sync.Mutex
	conns    []net.Conn
}

// serve starts a server; n counts its connections from 1.
func serve(t *testing.T, script func(s *scripted, n int64, c net.Conn, br *bufio.Reader)) *scripted {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scripted{addr: netip.MustParseAddrPort(ln.Addr().String())}
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
func (s *scripted) readHead(br *bufio.Reader) (string, error) {
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

// always answers every request on every connection with the same bytes.
func always(answer string) func(*scripted, int64, net.Conn, *bufio.Reader) {
	return func(s *scripted, _ int64, c net.Conn, br *bufio.Reader) {
		for {
			if _, err := s.readHead(br); err != nil {
				return
			}
			if _, err := io.WriteString(c, answer); err != nil {
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

func get(s *scripted) *Attempt {
	return &Attempt{Backend: "b", Address: s.addr, Method: "GET", URI: []byte("/x?y=1"), Trace: "t-1"}
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func readAll(t *testing.T, a *Answer, e *SendError) string {
	t.Helper()
	if e != nil {
		require.NoError(t, e)
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	require.NoError(t, err)
	return string(text)
}
