//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// The dose of answer_lost: half of the workers lose the answers of two in five requests that
	// they have run, for 4 s.
	lostShare  = 0.4
	lostFor    = 4 * time.Second
	plansRoute = orderPrefix + "plan/"
)

// escapedSlash has clients place orders for objects whose names hold a slash, which is escaped in
// their paths, while workers lose answers. Another route, whose requests may be repeated, begins
// with the same words, but not with the same bytes.
func escapedSlash(r *rig) (bool, error) {
	r.zones = map[string]string{"recife-a": "recife", "recife-b": "recife"}
	kind := &workerKind{service: "wuno96b", slots: 3, work: 30 * time.Millisecond, coldFor: coldFor}
	plans := readRoute(kind.service)
	plans.Name, plans.Prefix = "r-plans", plansRoute
	r.putConfig(7, kind.service, orderRoute(kind.service), plans)
	var workers []*worker
	for i := range 6 {
		w, err := r.startWorker(kind, []string{"recife-a", "recife-b"}[i%2], "", false)
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	if err := r.startFleet("recife-a", "recife-b"); err != nil {
		return false, err
	}
	c := r.newClients("recife")
	if err := c.awaitReady(2); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // traffic starts 8 s after the machines do
	c.load(15, http.MethodGet, plansRoute, 0, 4*time.Second)
	c.load(15, http.MethodPost, orderPrefix, 4000, 6*time.Second)
	c.loadPaths(40, http.MethodPost, 4000, 6*time.Second, func() string {
		return fmt.Sprintf("%splan%%2F%d", orderPrefix, rand.IntN(100000))
	})
	time.Sleep(10 * time.Second)
	if r.trouble {
		for _, w := range workers[:len(workers)/2] {
			w.loseAnswers(lostShare, lostFor)
		}
	}
	time.Sleep(lostFor + 6*time.Second)
	c.end()
	return r.checkTwice(), nil
}

// checkTwice checks the rule TWICE: an order is a request whose path begins with the prefix of the
// order's route, and with no longer one.
func (r *rig) checkTwice() bool {
	r.recordAll()
	r.summarize()
	r.mu.Lock()
	var doubled []answered
	for _, a := range r.answered {
		if isOrder(a.path) && r.runs[a.id] > 1 {
			doubled = append(doubled, a)
		}
	}
	r.mu.Unlock()
	for _, a := range doubled {
		r.record("the order %s for %s, sent at %.3f s, ran %d times; answer: status %d", a.id, a.path, a.sentAt.Sub(r.started).Seconds(), r.runs[a.id], a.status)
	}
	r.record("%d orders ran more than once", len(doubled))
	return len(doubled) > 0
}
