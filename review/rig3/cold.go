//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["13"] = coldCase }

const (
	coldEdges   = 7
	coldWorkers = 7
	// coldClients send an order each every coldPeriod: 30 a second for each worker, of which it can
	// run 180.
	coldClients = 42
	coldPeriod  = time.Second / 5
	coldWork    = 50 * time.Millisecond
	// coldFor is how long a worker is cold. It then tolerates coldAllowed requests within a second
	// from all machines: coldPerS 2.6 x coldOver 1.5 + coldSlack 5.
	coldFor     = 3 * time.Second
	coldAllowed = 8.9
	// coldCrash is the number of requests within a second at which a cold worker crashes: seven
	// times coldPerS.
	coldCrash = 18
	// coldObjects is the number of objects that orders are about.
	coldObjects = 280
	// coldTurns is the number of workers that become cold, one after the other.
	coldTurns = 5
	coldGap   = 7300 * time.Millisecond
)

// coldWorker is a worker that can become cold, and crashes for its load while it is.
type coldWorker struct {
	rig     *rig
	id      string
	address string
	clients *coldTraffic

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	seq      int
	born     int64
	coldAt   time.Time
	coldTo   time.Time
	arrivals []arrival // of requests that were sent while it was cold
	crashed  bool      // for its load
}

// arrival is a request that began to run.
type arrival struct{ sent, at time.Time }

// coldTraffic is what the clients have sent and got.
type coldTraffic struct {
	mu    sync.Mutex
	sent  map[string]time.Time
	codes map[int]int
	lost  int // orders that workers had begun to run when they crashed for their load
	most  int // requests that a cold worker got in a second
}

// coldCase has workers become cold while orders come. A worker writes that into its entry at once.
// FAILBACK is broken if a cold worker gets more than coldAllowed requests in a second. It crashes at
// twice as many, and the orders that it runs are lost.
func coldCase(r *rig) error {
	orders := route("order", "/orders/", "non_idempotent")
	orders["sticky"] = true // objects spread over the workers
	r.store.Put("op", "config", configuration(1, orders))
	t := &coldTraffic{sent: map[string]time.Time{}, codes: map[int]int{}}
	var workers []*coldWorker
	for i := range coldWorkers {
		w := &coldWorker{rig: r, id: fmt.Sprint("w-", i+1), clients: t, conns: map[net.Conn]bool{}}
		if err := w.start(); err != nil {
			return err
		}
		workers = append(workers, w)
		r.cleanup(w.stop)
	}
	for i := range coldEdges {
		if _, err := r.addEdge(edgeOptions{zone: []string{"muc-a", "muc-b"}[i%2]}); err != nil {
			return err
		}
	}
	if err := r.waitReady(); err != nil {
		return err
	}
	end := time.Now().Add(10*time.Second + coldTurns*coldGap)
	var clients sync.WaitGroup
	for k := range coldClients {
		clients.Go(func() { t.client(r, r.edges[k%coldEdges], k, end) })
	}
	time.Sleep(10 * time.Second) // in touch, and the routes' run times are known
	for i := range coldTurns {
		if r.trouble {
			workers[i].turnCold()
		}
		time.Sleep(coldGap)
	}
	clients.Wait()
	for _, w := range workers {
		w.report()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r.logf("answers by status, 0 for none: %v; most requests of a cold worker in a second: %d; accepted orders lost as cold workers crashed: %d", t.codes, t.most, t.lost)
	if t.codes[http.StatusOK] == 0 {
		return fmt.Errorf("no request was served")
	}
	if float64(t.most) > coldAllowed {
		r.breakRule("FAILBACK: %d requests in a second, %g allowed; %d accepted orders lost", t.most, coldAllowed, t.lost)
	}
	return nil
}

// start lets the worker listen, and lists it.
func (w *coldWorker) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.listener, w.address, w.born = l, l.Addr().String(), time.Now().UnixMilli()
	w.list()
	go func() {
		for w.list() {
			time.Sleep(beatPeriod)
		}
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	return nil
}

// turnCold makes the worker cold from now on, which it writes into its entry first.
func (w *coldWorker) turnCold() {
	w.mu.Lock()
	w.coldAt = time.Now()
	w.coldTo = w.coldAt.Add(coldFor)
	w.mu.Unlock()
	w.list()
	w.rig.logf("worker %s is cold for %s, and its entry says so", w.id, coldFor)
}

// list writes the worker's entry. It reports false for a worker that has ended.
func (w *coldWorker) list() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listener == nil {
		return false
	}
	w.seq++
	w.rig.store.Put("servers", w.id, map[string]any{
		"address": w.address, "born": w.born,
		"info":   map[string]any{"service": "shop", "version": "v1", "zone": "muc-a", "slots": 9},
		"status": map[string]any{"state": "ready", "seq": w.seq, "coldLeftMs": max(0, time.Until(w.coldTo).Milliseconds())},
	})
	return true
}

// stop ends the worker at once, with its connections.
func (w *coldWorker) stop() {
	w.report()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listener != nil {
		_ = w.listener.Close()
	}
	w.listener = nil
	for c := range w.conns {
		_ = c.Close()
	}
	w.conns = map[net.Conn]bool{}
}

// serve answers the requests of a connection.
func (w *coldWorker) serve(c net.Conn) {
	w.mu.Lock()
	if w.listener == nil {
		w.mu.Unlock()
		_ = c.Close()
		return
	}
	w.conns[c] = true
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
		_ = c.Close()
	}()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("X-Primrosenotch-Attempt-Id")
		w.mu.Lock()
		cold := max(0, time.Until(w.coldTo).Milliseconds())
		w.mu.Unlock()
		load := fmt.Sprintf("X-Primrosenotch-Instance-Id: %s\r\nX-Primrosenotch-Server-Load: 1,0,9\r\n", w.id)
		if req.URL.Path == "/health" {
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sX-Primrosenotch-Cold-Ms: %d\r\nContent-Length: 0\r\n\r\n", load, cold); err != nil {
				return
			}
			continue
		}
		if !w.run(id) {
			w.clients.noteLost(w.rig, w.id, id)
			return
		}
		time.Sleep(coldWork)
		if w.hasCrashed() {
			w.clients.noteLost(w.rig, w.id, id)
			return
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sX-Primrosenotch-Attempt-Id: %s\r\nX-Primrosenotch-Response-Signature: sig-%s\r\nContent-Length: 4\r\n\r\ndone", load, id, id); err != nil {
			return
		}
	}
}

func (w *coldWorker) hasCrashed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashed
}

// run begins to run a request. It reports false if the worker crashes for its load.
func (w *coldWorker) run(id string) bool {
	now := time.Now()
	w.clients.mu.Lock()
	sent := w.clients.sent[id]
	w.clients.mu.Unlock()
	w.mu.Lock()
	cold := now.Before(w.coldTo)
	if cold && sent.After(w.coldAt) {
		w.arrivals = append(w.arrivals, arrival{sent, now})
	}
	crashes := cold && !w.crashed && mostInSecond(w.arrivals) >= coldCrash
	w.crashed = w.crashed || crashes
	w.mu.Unlock()
	if cold {
		w.rig.logf("cold worker %s runs %s", w.id, id)
	}
	if crashes {
		w.rig.logf("cold worker %s crashes for its load", w.id)
		w.stop()
	}
	return !crashes
}

// report notes the most requests that the worker got in a second while it was cold.
func (w *coldWorker) report() {
	w.mu.Lock()
	most := mostInSecond(w.arrivals)
	w.mu.Unlock()
	w.clients.mu.Lock()
	defer w.clients.mu.Unlock()
	w.clients.most = max(w.clients.most, most)
}

// mostInSecond returns the most requests that were sent and arrived inside one second.
func mostInSecond(list []arrival) int {
	most := 0
	for i := range list {
		from := list[i].sent
		n := 0
		for _, a := range list {
			if !a.sent.Before(from) && a.at.Sub(from) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func (t *coldTraffic) noteLost(r *rig, worker, id string) {
	r.logf("worker %s crashed, and %s with it", worker, id)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lost++
}

// client sends orders on a kept connection.
func (t *coldTraffic) client(r *rig, e *edgeProcess, k int, end time.Time) {
	client := http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	next := time.Now().Add(time.Duration(k) * coldPeriod / coldClients)
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Until(next))
		next = next.Add(coldPeriod)
		id := fmt.Sprintf("c%d-%d", k, n)
		req, err := http.NewRequest(http.MethodPost, "http://"+e.callers+fmt.Sprintf("/orders/%d", n), strings.NewReader("order"))
		if err != nil {
			return
		}
		req.Host = host
		req.Header.Set("X-Primrosenotch-Attempt-Id", id)
		req.Header.Set("X-Primrosenotch-Affinity-Key", fmt.Sprint((n*coldClients+k)%coldObjects))
		req.Header.Set("X-Primrosenotch-Deadline-Ms", "4000")
		t.mu.Lock()
		t.sent[id] = time.Now()
		t.mu.Unlock()
		status := 0
		if resp, err := client.Do(req); err == nil {
			status = resp.StatusCode
			_, _ = io.Copy(io.Discard, resp.Body) // the answer is short
			_ = resp.Body.Close()
		}
		t.mu.Lock()
		t.codes[status]++
		t.mu.Unlock()
	}
}
