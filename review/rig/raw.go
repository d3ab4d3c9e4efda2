//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// rawWorker is a backend server that writes its answers byte by byte as its case wants them.
// It never starts anew.
type rawWorker struct {
	rig      *rig
	id       string
	service  string
	zone     string
	slots    int
	listener net.Listener
	// answer answers one request, or reports that the connection has to end.
	answer func(c *rawConn, q *http.Request) bool

	mu   sync.Mutex
	busy int
	runs map[string]int // by identifier of the attempt
	done chan struct{}
}

// receiveBytes is the receive buffer of a connection: the links have small windows.
const receiveBytes = 64 << 10

// rawConn is a connection to a rawWorker. Its answers are written whole.
type rawConn struct {
	*net.TCPConn
	worker *rawWorker
	mu     sync.Mutex
}

func (c *rawConn) send(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = io.WriteString(c.TCPConn, text) // the peer may have closed
}

func (r *rig) addRawWorker(w *rawWorker) error {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.12.1:0", hostPart()))
	if err != nil {
		return err
	}
	w.rig, w.listener, w.runs, w.done = r, l, map[string]int{}, make(chan struct{})
	r.mu.Lock()
	r.raw = append(r.raw, w)
	r.mu.Unlock()
	go w.beat(time.Now().UnixMilli())
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conn := c.(*net.TCPConn)
			_ = conn.SetReadBuffer(receiveBytes)
			go w.serve(&rawConn{TCPConn: conn, worker: w})
		}
	}()
	return nil
}

func (w *rawWorker) stop() {
	close(w.done)
	_ = w.listener.Close()
}

func (w *rawWorker) beat(born int64) {
	for seq := 1; ; seq++ {
		w.rig.store.Put("servers", w.id, object{
			"address": w.listener.Addr().String(), "born": born,
			"info":   object{"service": w.service, "version": "v1", "zone": w.zone, "slots": w.slots},
			"status": object{"state": "ready", "seq": seq, "coldLeftMs": 0},
		})
		select {
		case <-w.done:
			return
		case <-time.After(beatInterval):
		}
	}
}

func (w *rawWorker) serve(c *rawConn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if expect := q.Header.Get("X-Primrosenotch-Expect-Instance"); expect != "" && expect != w.id {
			c.send("HTTP/1.1 421 Misdirected Request\r\nX-Primrosenotch-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if !w.answer(c, q) {
			return
		}
	}
}

// change adds to the number of requests at the worker and returns the number before.
func (w *rawWorker) change(by int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy += by
	return w.busy - by
}

// ran counts a run.
func (w *rawWorker) ran(attempt string) {
	w.mu.Lock()
	w.runs[attempt]++
	w.mu.Unlock()
	w.rig.logf("%s %s runs", w.id, attempt)
}

// attemptOf returns the identifier of an attempt, empty for a health check.
func attemptOf(q *http.Request) string { return q.Header.Get("X-Primrosenotch-Attempt-Id") }

// whole returns a complete answer to an attempt.
func (w *rawWorker) whole(attempt, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Primrosenotch-Attempt-Id: %s\r\nX-Primrosenotch-Response-Signature: s.%s\r\n"+
		"X-Primrosenotch-Server-Load: %d,0,%d\r\nContent-Length: %d\r\n\r\n%s", attempt, attempt, w.change(0), w.slots, len(body), body)
}

// totalRuns returns how often each attempt ran, at all workers.
func (r *rig) totalRuns() map[string]int {
	total := map[string]int{}
	for _, w := range r.raw {
		w.mu.Lock()
		for id, n := range w.runs {
			total[id] += n
		}
		w.mu.Unlock()
	}
	return total
}
