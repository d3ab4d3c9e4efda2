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
	"sync/atomic"
	"time"
)

func init() { cases["12"] = pipelineCase }

const (
	// pipelineClients is the number of clients, each with one kept connection.
	pipelineClients = 48
	// pipelineGap is the time between the starts of two clients.
	pipelineGap = time.Second
	// keepAlive is how long a worker of downloads keeps an idle connection, in seconds.
	keepAlive = 1
	// pipelineBehind is the number of requests that a client sends behind the first one.
	pipelineBehind = 6
	// downloadBytes is the length of a large answer.
	downloadBytes = 500_000
	// usualWork is how long a worker works on a request, slowFactor how much longer a slow one.
	usualWork  = 1200 * time.Millisecond
	slowFactor = 4
	// unreadLimit is how long a worker leaves an answer unread before it cuts it off.
	unreadLimit = 3 * time.Second
	// workerSendBuffer is the send buffer of a worker's connection, in bytes.
	workerSendBuffer = 32 << 10
)

// pipelineCase has clients with kept connections send further idempotent requests for downloads
// behind a request at a worker that is slow. All workers are sound. LOST is broken if the instance
// passes more than three requests on and closes their connections without an answer. Only the first
// of these on each connection counts: those behind it may be taken for not read.
func pipelineCase(r *rig) error {
	download := route("download", "/files/", "download")
	download["timeoutMs"], download["goalMs"] = 10000, 2500
	read := route("read", "/read/", "idempotent")
	read["timeoutMs"], read["goalMs"], read["service"] = 10000, 2500, "desk"
	read["sticky"] = true // objects spread over the workers
	row := configuration(1, download, read)
	row["services"] = append(row["services"].([]map[string]any), map[string]any{"name": "desk", "healthPath": "/health", "maxConns": 330, "coldS": 3, "coldPerS": 2.6})
	r.store.Put("op", "config", row)

	var slow atomic.Bool
	var passedOn sync.Map // identifiers of the requests that workers run
	body := strings.Repeat("d", downloadBytes)
	for _, id := range []string{"f-1", "f-2", "f-3", "f-4"} {
		if _, err := r.addWorker(id, "shop", "muc-a", func(w *worker, c *workerConn, q *workerRequest) bool {
			w.ran(q)
			passedOn.Store(q.id, true)
			if tcp, ok := c.Conn.(*net.TCPConn); ok {
				_ = tcp.SetWriteBuffer(workerSendBuffer)
			}
			time.Sleep(100 * time.Millisecond)
			return sendDownload(w, c, q, body)
		}); err != nil {
			return err
		}
	}
	for _, id := range []string{"d-1", "d-2", "d-3", "d-4", "d-5", "d-6", "d-7"} {
		if _, err := r.addWorker(id, "desk", "muc-a", func(w *worker, c *workerConn, q *workerRequest) bool {
			w.ran(q)
			passedOn.Store(q.id, true)
			work := usualWork
			if slow.Load() && w.id == "d-1" {
				work *= slowFactor
			}
			time.Sleep(work)
			return w.answer(c, q, "level 17")
		}); err != nil {
			return err
		}
	}
	e, err := r.addEdge(edgeOptions{zone: "muc-a"})
	if err != nil {
		return err
	}
	if err := r.waitReady(); err != nil {
		return err
	}
	time.Sleep(trafficDelay)
	slow.Store(r.trouble)
	r.logf("worker d-1 is slow: %v", r.trouble)
	lost, behind := 0, 0
	var mu sync.Mutex
	var clients sync.WaitGroup
	for k := range pipelineClients {
		time.Sleep(pipelineGap)
		clients.Go(func() {
			n := r.pipelineClient(e, k, &passedOn)
			mu.Lock()
			defer mu.Unlock()
			if n > 0 {
				lost++
				behind += n - 1
			}
		})
	}
	clients.Wait()
	r.logf("%d requests were passed on, and their connection was closed without a whole answer; %d more were passed on behind them", lost, behind)
	if lost > 3 {
		r.breakRule("LOST: %d requests, and %d behind them", lost, behind)
	}
	return nil
}

// sendDownload sends a large answer and cuts it off if it remains unread.
func sendDownload(w *worker, c *workerConn, q *workerRequest, body string) bool {
	head := strings.Replace(w.head(q, http.StatusOK, len(body)), "\r\n", fmt.Sprintf("\r\nKeep-Alive: timeout=%d\r\n", keepAlive), 1)
	rest := []byte(head + body)
	for len(rest) > 0 {
		if c.SetWriteDeadline(time.Now().Add(unreadLimit)) != nil {
			return false
		}
		n, err := c.Write(rest[:min(len(rest), 16<<10)])
		rest = rest[n:]
		if err != nil {
			w.rig.logf("worker %s cuts %s off with %d bytes unread: %v", w.id, q.id, len(rest), err)
			return false
		}
	}
	return c.SetWriteDeadline(time.Time{}) == nil && c.SetReadDeadline(time.Now().Add(keepAlive*time.Second)) == nil
}

// pipelineClient sends one request, waits for its answer, and sends one request with others behind
// it. It returns how many of these were passed on and got no answer.
func (r *rig) pipelineClient(e *edgeProcess, k int, passedOn *sync.Map) (lost int) {
	c, err := dialEdge(e)
	if err != nil {
		r.logf("client %d: %v", k, err)
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(40 * time.Second)) // an error shows with the first read
	answers := bufio.NewReader(c)
	ids := []string{fmt.Sprintf("client-%d-first", k)}
	if _, err := io.WriteString(c, request("GET", "/files/0", ids[0], 10*time.Second)+"\r\n"); err != nil {
		return 0
	}
	if !r.readAnswer(answers, ids[0]) {
		return 0
	}
	ids = []string{fmt.Sprintf("client-%d-read", k)}
	// Each client reads an object of its own.
	text := strings.Replace(request("GET", fmt.Sprint("/read/", k), ids[0], 10*time.Second), "Affinity-Key: 17", fmt.Sprint("Affinity-Key: ", 100+k), 1) + "\r\n"
	for i := range pipelineBehind {
		id := fmt.Sprintf("client-%d-file-%d", k, i)
		ids = append(ids, id)
		text += request("GET", fmt.Sprintf("/files/%d", i+1), id, 10*time.Second) + "\r\n"
	}
	r.logf("client %d sends %s, and %d requests behind it", k, ids[0], pipelineBehind)
	if _, err := io.WriteString(c, text); err != nil {
		return 0
	}
	for i, id := range ids {
		if r.readAnswer(answers, id) {
			continue
		}
		if _, ok := passedOn.Load(id); !ok {
			return 0
		}
		for _, unanswered := range ids[i:] {
			if _, ok := passedOn.Load(unanswered); ok {
				r.logf("client %d: no answer to %s, which was passed on", k, unanswered)
				lost++
			}
		}
		return lost
	}
	return 0
}

// readAnswer reads a whole answer.
func (r *rig) readAnswer(answers *bufio.Reader, id string) bool {
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		r.logf("client: no answer to %s: %v", id, err)
		return false
	}
	n, err := io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	r.logf("client: answer %d to %s, %d bytes: %v", resp.StatusCode, id, n, err)
	return err == nil
}
