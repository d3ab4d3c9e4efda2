//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	beatInterval = 1500 * time.Millisecond
	// lapseAfter is the silence after which the store removes a worker's entry.
	lapseAfter = 3 * beatInterval
	// queuePerSlot is how many requests wait at a worker for each of its slots.
	queuePerSlot = 3
)

// The headers that clients, workers and the system exchange.
const (
	headerAttempt   = "X-Primrosenotch-Attempt-Id"
	headerDeadline  = "X-Primrosenotch-Deadline-Ms"
	headerExpect    = "X-Primrosenotch-Expect-Instance"
	headerNotRun    = "X-Primrosenotch-Not-Run"
	headerInstance  = "X-Primrosenotch-Instance-Id"
	headerLoad      = "X-Primrosenotch-Server-Load"
	headerCold      = "X-Primrosenotch-Cold-Ms"
	headerSignature = "X-Primrosenotch-Response-Signature"
)

// arrival is a request at a worker, other than a health check and one that got 421.
type arrival struct {
	at      time.Time
	worker  string // its id
	service string
	id      string // of the client's attempt
	path    string // as received
	cold    bool
}

// arrivals holds what has reached the workers.
type arrivals struct {
	mu   sync.Mutex
	list []arrival
}

func (a *arrivals) add(v arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, v)
}

func (a *arrivals) all() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.list)
}

// workerKind is what the workers of a service have in common.
type workerKind struct {
	service   string
	slots     int
	work      time.Duration
	orderWork time.Duration // of orders, 0 for work
	coldFor   time.Duration
	crashPer  int // requests in one second that crash a cold worker, 0 for none
	// poison crashes the worker that begins to run a request with this path, in the middle of
	// its answer.
	poison string
}

// worker is a stand-in of a backend server: one incarnation of it.
type worker struct {
	*workerKind
	id, zone string
	address  string
	born     time.Time
	rig      *rig
	server   *http.Server
	slot     chan struct{}
	stopped  chan struct{}
	stopOnce sync.Once

	mu        sync.Mutex
	seq       int64
	coldUntil time.Time
	loseUntil time.Time
	loseShare float64 // of the answers until loseUntil
	waiting   int
	recent    []time.Time // arrivals while cold
}

// startWorker starts a worker at an address, or at a free port of the host if it is empty. It is
// cold if it starts during traffic.
func (r *rig) startWorker(k *workerKind, zone, address string, cold bool) (*worker, error) {
	if address == "" {
		address = r.host(200) + ":0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &worker{
		workerKind: k, id: fmt.Sprintf("i-%08x", rand.Uint32()), zone: zone, address: l.Addr().String(), born: time.Now(),
		rig: r, slot: make(chan struct{}, k.slots), stopped: make(chan struct{}),
	}
	if cold {
		w.coldUntil = time.Now().Add(k.coldFor)
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), IdleTimeout: 10 * time.Second, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(l) }()
	r.record("worker %s of %s starts at %s in %s, cold for %d ms", w.id, k.service, w.address, zone, w.coldLeft().Milliseconds())
	w.beat()
	go w.keepBeating()
	r.onClose(w.end)
	return w, nil
}

func (w *worker) coldLeft() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(0, time.Until(w.coldUntil))
}

// loseAnswers has the worker lose the answers of a share of the requests that it has run: their
// connections are closed.
func (w *worker) loseAnswers(share float64, during time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loseShare, w.loseUntil = share, time.Now().Add(during)
	w.rig.record("worker %s loses %g of its answers for %s", w.id, share, during)
}

func (w *worker) losesAnswer() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.loseUntil) && rand.Float64() < w.loseShare
}

// turnCold makes the worker cold for as long as after its start, which it tells the store at once.
func (w *worker) turnCold() {
	select {
	case <-w.stopped:
		return
	default:
	}
	w.mu.Lock()
	w.coldUntil = time.Now().Add(w.coldFor)
	w.mu.Unlock()
	w.beat()
	w.rig.record("worker %s turns cold again, and says so in its entry", w.id)
}

type entryInfo struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
}

type entryStatus struct {
	State    string `json:"state"`
	Seq      int64  `json:"seq"`
	ColdLeft int64  `json:"coldLeftMs"`
}

type entry struct {
	Address string      `json:"address"`
	Born    int64       `json:"born"`
	Info    entryInfo   `json:"info"`
	Status  entryStatus `json:"status"`
}

// beat writes the worker's entry.
func (w *worker) beat() {
	select {
	case <-w.stopped:
		return
	default:
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	w.rig.store.put("servers", w.id, entry{
		Address: w.address, Born: w.born.UnixMilli(),
		Info:   entryInfo{Service: w.service, Version: "v1", Zone: w.zone, Slots: w.slots},
		Status: entryStatus{State: "ready", Seq: w.seq, ColdLeft: max(0, time.Until(w.coldUntil).Milliseconds())},
	})
}

func (w *worker) keepBeating() {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stopped:
			return
		case <-ticker.C:
			w.beat()
		}
	}
}

// end ends the worker: its address refuses connections, and the open ones are closed.
func (w *worker) end() {
	w.stopOnce.Do(func() {
		close(w.stopped)
		_ = w.server.Close()
	})
}

// crash ends the worker, which says nothing more; its entry lapses. It is back at its address after
// some seconds, as a new incarnation.
func (w *worker) crash(why string, backAfter time.Duration) {
	first := false
	w.stopOnce.Do(func() {
		first = true
		close(w.stopped)
		_ = w.server.Close()
	})
	if !first {
		return
	}
	w.rig.record("worker %s crashes: %s", w.id, why)
	w.rig.crashed(w.id)
	time.AfterFunc(lapseAfter, func() { w.rig.store.remove("servers", w.id) })
	time.AfterFunc(backAfter, func() {
		if w.rig.closing() {
			return
		}
		if _, err := w.rig.startWorker(w.workerKind, w.zone, w.address, true); err != nil {
			w.rig.record("worker at %s isn't back: %v", w.address, err)
		}
	})
}

const crashedFor = 3 * time.Second

func (w *worker) reject(rw http.ResponseWriter, status int) {
	rw.Header().Set(headerNotRun, "1")
	rw.WriteHeader(status)
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	health := r.URL.Path == healthPath
	id := r.Header.Get(headerAttempt)
	if expect := r.Header.Get(headerExpect); expect != "" && expect != w.id {
		h.Set(headerInstance, w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !health {
		if id == "" {
			w.reject(rw, http.StatusBadRequest)
			return
		}
		h.Set(headerAttempt, id)
		cold := w.coldLeft() > 0
		w.rig.arrivals.add(arrival{at: time.Now(), worker: w.id, service: w.service, id: id, path: r.URL.EscapedPath(), cold: cold})
		if cold && w.crashPer > 0 && w.arrivedWhileCold() >= w.crashPer {
			w.crash(fmt.Sprintf("%d requests in one second while it is cold", w.crashPer), crashedFor)
			panic(http.ErrAbortHandler)
		}
	}
	if !w.takeSlot(r) {
		w.reject(rw, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-w.slot }()
	h.Set(headerLoad, w.load())
	if health {
		h.Set(headerInstance, w.id)
		h.Set(headerCold, strconv.FormatInt(w.coldLeft().Milliseconds(), 10))
		return
	}
	w.run(rw, r, id)
}

// arrivedWhileCold counts a request and returns how many have come within a second.
func (w *worker) arrivedWhileCold() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.recent = slices.DeleteFunc(w.recent, func(t time.Time) bool { return now.Sub(t) >= time.Second })
	w.recent = append(w.recent, now)
	return len(w.recent)
}

// takeSlot waits for a slot, and returns false if the queue is full or the caller has gone.
func (w *worker) takeSlot(r *http.Request) bool {
	select {
	case w.slot <- struct{}{}:
		return true
	default:
	}
	w.mu.Lock()
	if w.waiting >= queuePerSlot*w.slots {
		w.mu.Unlock()
		return false
	}
	w.waiting++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.waiting--
		w.mu.Unlock()
	}()
	select {
	case w.slot <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (w *worker) load() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(w.slot), w.waiting, w.slots)
}

// run runs a request.
func (w *worker) run(rw http.ResponseWriter, r *http.Request, id string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.rig.ran(id)
	if w.poison != "" && r.URL.Path == w.poison {
		w.runPoison(rw, id)
		return
	}
	select {
	case <-time.After(w.workTime(r.URL.Path)):
	case <-r.Context().Done():
		return
	}
	if w.losesAnswer() {
		w.rig.record("worker %s has run %s, and its answer is lost", w.id, id)
		panic(http.ErrAbortHandler) // closes the connection
	}
	rw.Header().Set(headerSignature, signature(id))
	text := answerBody(id, len(body))
	rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = rw.Write(text)
}

func (w *worker) workTime(path string) time.Duration {
	if w.orderWork > 0 && strings.HasPrefix(path, orderPrefix) {
		return w.orderWork
	}
	return w.work
}

// runPoison begins to answer, as workers do that send what they have while they go on, and crashes.
func (w *worker) runPoison(rw http.ResponseWriter, id string) {
	if w.rig.partialAnswer {
		rw.Header().Set(headerSignature, signature(id))
		rw.Header().Set("Content-Length", "600")
		_, _ = rw.Write(answerBody(id, 0)[:200])
		_ = http.NewResponseController(rw).Flush()
	}
	time.Sleep(20 * time.Millisecond)
	w.crash("it has begun to run "+w.poison, crashedFor)
	panic(http.ErrAbortHandler)
}

func signature(id string) string { return "3e1b." + id + ".600" }

func answerBody(id string, received int) []byte {
	body := make([]byte, 600)
	for i := range body {
		body[i] = '.'
	}
	copy(body, fmt.Sprintf("%s %d\n", id, received))
	return body
}
