package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { cases["14"] = unaskedCase }

// unaskedAttempts is the number of client attempts.
const unaskedAttempts = 60

// unaskedCase sends client attempts whose identifiers have the form device@time#number, and without
// trouble hexadecimal ones as in the pages' example. UNASKED is broken if a worker runs a request
// whose identifier no client sent.
func unaskedCase(r *rig) error {
	orders, view := route("order", "/orders/", "non_idempotent"), route("view", "/view/", "idempotent")
	r.store.Put("op", "config", configuration(1, orders, view))
	var mu sync.Mutex
	ran := map[string]int{}
	for i := range 4 {
		if _, err := r.addWorker(fmt.Sprint("w-", i+1), "shop", "muc-a", func(w *worker, c *workerConn, q *workerRequest) bool {
			w.ran(q)
			mu.Lock()
			ran[q.id]++
			mu.Unlock()
			if _, err := io.Copy(io.Discard, q.body); err != nil {
				return false
			}
			return w.answer(c, q, "done "+q.target)
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
	sent := map[string]bool{}
	served, foreign := 0, 0
	for n := range unaskedAttempts {
		id := fmt.Sprintf("%016x", 0x9c41d07be2a35f00+uint64(n))
		if r.trouble {
			id = fmt.Sprintf("tablet-7@%s#%d", time.Now().UTC().Format("15:04:05.000"), n)
		}
		sent[id] = true
		text := orderText(fmt.Sprintf("/orders/%d", n), id)
		if n%2 == 0 {
			text = request(http.MethodGet, fmt.Sprintf("/view/%d", n), id, 4*time.Second) + "\r\n"
		}
		status, header, _, err := r.try(e, id, text)
		if err != nil {
			return fmt.Errorf("attempt %q: %w", id, err)
		}
		if status == http.StatusOK {
			served++
		}
		if got := header.Get("X-Primrosenotch-Attempt-Id"); got != id {
			foreign++
			r.logf("the answer to %s names %s", id, got)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if served == 0 {
		return fmt.Errorf("no request was served")
	}
	unasked := 0
	for id := range ran {
		if !sent[id] {
			unasked++
		}
	}
	r.logf("%d attempts sent, %d served; workers ran %d requests whose identifiers no client sent; %d answers name another identifier", len(sent), served, unasked, foreign)
	if unasked > 0 {
		r.breakRule("UNASKED: %d requests", unasked)
	}
	return nil
}
