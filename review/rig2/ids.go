//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	// The dose of burst: 1.7 times the traffic for 3 s.
	burstFactor = 1.7
	burstFor    = 3 * time.Second
	usualPerS   = 30.0
	orderTime   = 6 * time.Second // for which the client waits
)

// numberedAttempts has many users come at once, so that some orders are refused and come again. The
// id of a second attempt is that of the first one, a tilde and a 2.
func numberedAttempts(r *rig) (bool, error) {
	r.zones = map[string]string{"recife-a": "recife", "recife-b": "recife"}
	kind := &workerKind{service: "wuno96b", slots: 3, work: 150 * time.Millisecond, coldFor: coldFor}
	r.putConfig(7, kind.service, orderRoute(kind.service))
	for i := range 2 {
		if _, err := r.startWorker(kind, []string{"recife-a", "recife-b"}[i%2], "", false); err != nil {
			return false, err
		}
	}
	if err := r.startFleet("recife-a", "recife-b"); err != nil {
		return false, err
	}
	c := r.newClients("recife")
	if err := c.awaitReady(2); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // traffic starts 8 s after the machines do
	began := time.Now()
	for time.Since(began) < 20*time.Second {
		rate := usualPerS
		if since := time.Since(began) - 8*time.Second; r.trouble && since >= 0 && since < burstFor {
			rate *= burstFactor
		}
		if front := c.pick(); front != "" {
			c.wait.Go(func() { c.order(front) })
		}
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	c.end()
	return r.checkUnasked(), nil
}

// order places an order. If it is refused with the promise that it hasn't run, it comes once more, as
// told by Retry-After and within a third of the time that is left.
func (c *clients) order(front string) {
	id, path := fmt.Sprintf("%016x", rand.Uint64()), fmt.Sprintf("%s%x", orderPrefix, rand.Uint32())
	began := time.Now()
	a := c.sendAs(id, front, http.MethodPost, path, 4000, orderTime)
	if a.status != http.StatusTooManyRequests && a.status != http.StatusServiceUnavailable {
		return
	}
	left := orderTime - time.Since(began)
	after, _ := strconv.ParseFloat(a.retryAfter, 64) // 0 if there is none
	time.Sleep(min(time.Duration(after*float64(time.Second)), left/3))
	if again := c.pick(); again != "" {
		c.sendAs(id+"~2", again, http.MethodPost, path, 4000, orderTime-time.Since(began))
	}
}

// checkUnasked checks the rule UNASKED: a worker runs a request whose id no client sent.
func (r *rig) checkUnasked() bool {
	r.recordAll()
	r.summarize()
	sent := map[string]bool{}
	r.mu.Lock()
	for _, a := range r.answered {
		sent[a.id] = true
	}
	var unasked []string
	for id := range r.runs {
		if !sent[id] {
			unasked = append(unasked, id)
		}
	}
	r.mu.Unlock()
	for _, id := range unasked {
		r.record("a worker ran the request %s, which no client sent", id)
	}
	r.record("workers ran %d requests; the ids of %d of them no client sent", len(r.runs), len(unasked))
	return len(unasked) > 0
}
