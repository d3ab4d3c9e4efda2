//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a backend server as the platform's pages describe it.
type worker struct {
	rig     *rig
	name    string // of the place, the same for all starts
	service string
	zone    string
	slots   int
	queue   int
	work    time.Duration
	// poison reports whether a request crashes the worker that begins to run it.
	poison func(q *http.Request) bool
	// down is how long the worker is away after a crash.
	down  time.Duration
	limit atomic.Pointer[string] // Server-Limit of all answers, nil for none
	quiet atomic.Bool            // sends no heartbeats

	mu       sync.Mutex
	address  string
	id       string
	starts   int
	server   *http.Server
	conns    map[net.Conn]struct{}
	up       bool
	busy     int
	crashes  int
	arrivals []arrival
	slot     chan struct{}
}

// arrival is a request, not a health check, that reached a worker.
type arrival struct {
	at   time.Time
	id   string
	ran  bool
	bad  bool // it crashed the worker
	from string
}

func (r *rig) addWorker(w *worker) error {
	w.rig = r
	if err := freeAddresses(fmt.Sprintf("127.%d.12.1", hostPart()), &w.address); err != nil {
		return err
	}
	r.mu.Lock()
	r.workers = append(r.workers, w)
	r.mu.Unlock()
	return w.start()
}

// start begins a new incarnation, with a new identifier, at the address.
func (w *worker) start() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.starts++
	w.id = fmt.Sprintf("i-%s-%d", w.name, w.starts)
	id := w.id
	w.conns = map[net.Conn]struct{}{}
	w.slot = make(chan struct{}, w.slots)
	w.busy, w.up = 0, true
	server := &http.Server{Handler: w.handler(id, w.slot), ConnState: w.connState}
	w.server = server
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go w.beat(id, time.Now().UnixMilli())
	w.rig.logf("%s started", id)
	return nil
}

func (w *worker) connState(c net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(w.conns, c)
	} else {
		w.conns[c] = struct{}{}
	}
}

func (w *worker) current(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up && w.id == id
}

// beat writes the entry of a start until its end. The store removes the entry of a silent
// worker after silentBeats intervals.
func (w *worker) beat(id string, born int64) {
	listed, last := false, time.Time{}
	for seq := 1; ; seq++ {
		alive := w.current(id)
		if alive && !w.quiet.Load() {
			w.rig.store.Put("servers", id, map[string]any{
				"address": w.address, "born": born,
				"info":   map[string]any{"service": w.service, "version": "v1", "zone": w.zone, "slots": w.slots},
				"status": map[string]any{"state": "ready", "seq": seq, "coldLeftMs": 0},
			})
			listed, last = true, time.Now()
		}
		if listed && time.Since(last) >= silentBeats*beatInterval {
			w.rig.store.Remove("servers", id)
			w.rig.logf("entry of %s removed: silent", id)
			listed = false
		}
		if !alive && !listed {
			return
		}
		time.Sleep(beatInterval)
	}
}

// end ends the present incarnation: connections are reset and new ones refused.
func (w *worker) end() {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up = false
	server := w.server
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	w.mu.Unlock()
	_ = server.Close()
}

func (w *worker) stop() { w.end() }

// crash ends the worker and starts it again after w.down.
func (w *worker) crash() {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.crashes++
	id := w.id
	w.mu.Unlock()
	w.end()
	w.rig.logf("%s crashed", id)
	time.AfterFunc(w.down, func() {
		if err := w.start(); err != nil {
			w.rig.logf("%s not started again: %v", w.name, err)
		}
	})
}

func (w *worker) handler(id string, slot chan struct{}) http.HandlerFunc {
	return func(rw http.ResponseWriter, q *http.Request) {
		h := rw.Header()
		if limit := w.limit.Load(); limit != nil {
			h.Set("Server-Limit", *limit)
		}
		if q.URL.Path == "/health" {
			h.Set("X-Primrosenotch-Instance-Id", id)
			return
		}
		attempt := q.Header.Get("X-Primrosenotch-Attempt-Id")
		h.Set("X-Primrosenotch-Attempt-Id", attempt)
		if expect := q.Header.Get("X-Primrosenotch-Expect-Instance"); expect != "" && expect != id {
			h.Set("X-Primrosenotch-Not-Run", "1")
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		n := w.arrive(arrival{at: time.Now(), id: attempt, from: q.RemoteAddr})
		if w.enter() {
			h.Set("X-Primrosenotch-Not-Run", "1")
			h.Set("X-Primrosenotch-Server-Load", w.load(slot))
			rw.WriteHeader(http.StatusServiceUnavailable)
			w.rig.logf("%s %s rejected: full", id, attempt)
			return
		}
		defer w.leave()
		select {
		case slot <- struct{}{}:
		case <-q.Context().Done():
			return
		}
		defer func() { <-slot }()
		bad := w.poison != nil && w.poison(q)
		w.ran(n, bad)
		w.rig.logf("%s %s runs %s %s, %d bytes", id, attempt, q.Method, q.URL.RequestURI(), len(body))
		if bad {
			w.crash()
			return
		}
		select {
		case <-time.After(w.work):
		case <-q.Context().Done():
			w.rig.logf("%s %s dropped: connection closed", id, attempt)
			return
		}
		h.Set("X-Primrosenotch-Response-Signature", "s."+attempt)
		h.Set("X-Primrosenotch-Server-Load", w.load(slot))
		_, _ = io.WriteString(rw, "answer of "+id+" to "+attempt)
	}
}

func (w *worker) arrive(a arrival) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, a)
	return len(w.arrivals) - 1
}

func (w *worker) ran(n int, bad bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals[n].ran, w.arrivals[n].bad = true, bad
}

// enter counts a request and reports whether the worker is full.
func (w *worker) enter() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy >= w.slots+w.queue {
		return true
	}
	w.busy++
	return false
}

func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy = max(0, w.busy-1)
}

func (w *worker) load(slot chan struct{}) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	running := len(slot)
	return strconv.Itoa(running) + "," + strconv.Itoa(max(0, w.busy-running)) + "," + strconv.Itoa(w.slots)
}

func (w *worker) seen() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrivals...)
}
