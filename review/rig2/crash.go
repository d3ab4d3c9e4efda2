//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"
)

const poisonPath = readPrefix + "poison"

// awaitReady waits until the clients know as many machines.
func (c *clients) awaitReady(machines int) error {
	for range 100 {
		c.mu.Lock()
		n := len(c.fronts)
		c.mu.Unlock()
		if n >= machines {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the directory doesn't name all machines in time")
}

// startFleet starts one machine for each zone of the list.
func (r *rig) startFleet(zones ...string) error {
	for i, zone := range zones {
		if _, err := r.startEdge(1+i, zone); err != nil {
			return err
		}
	}
	return nil
}

// crashingRequest sends a request that crashes each worker that begins to run it, again and again.
// The worker has begun its answer when it crashes.
func crashingRequest(r *rig) (bool, error) {
	r.partialAnswer = os.Getenv("PARTIAL") != "0"
	r.zones = map[string]string{"recife-a": "recife", "recife-b": "recife"}
	kind := &workerKind{service: "huvo11a", slots: 3, work: 30 * time.Millisecond, orderWork: 300 * time.Millisecond, coldFor: coldFor, poison: poisonPath}
	r.putConfig(7, kind.service, readRoute(kind.service), orderRoute(kind.service))
	for i := range 8 {
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
	c.load(8, http.MethodGet, readPrefix, 0, 4*time.Second)
	c.load(3, http.MethodPost, orderPrefix, 4000, 6*time.Second)
	time.Sleep(6 * time.Second)
	end := time.Now().Add(50 * time.Second)
	if r.trouble {
		for time.Now().Before(end) {
			front := c.pick()
			r.record("the client sends the crashing request to %s", front)
			a := c.send(front, http.MethodGet, poisonPath, 0, 4*time.Second)
			r.record("answer to the crashing request %s: status %d", a.id, a.status)
			time.Sleep(1500 * time.Millisecond)
		}
	} else {
		time.Sleep(time.Until(end))
	}
	c.end()
	return r.checkCrashes(), nil
}

// checkCrashes checks the rule BUDGET of a request that crashes workers: more than three retries
// later than stableWindowMs after it has crashed the third.
func (r *rig) checkCrashes() bool {
	r.recordAll()
	r.summarize()
	if len(r.crashes) < 3 {
		r.record("%d crashes", len(r.crashes))
		return false
	}
	from := r.crashes[2].at.Add(stableWindow)
	sent := map[string]time.Time{}
	r.mu.Lock()
	for _, a := range r.answered {
		sent[a.id] = a.sentAt
	}
	r.mu.Unlock()
	// What the system itself sends a second time counts as one with the first.
	late := map[string]bool{}
	for _, a := range r.arrivals.all() {
		if a.path == poisonPath && sent[a.id].After(from) {
			late[a.id] = true
			r.record("later than %s after the third crash, at %.3f s: worker %s gets the crashing request %s", stableWindow, a.at.Sub(r.started).Seconds(), a.worker, a.id)
		}
	}
	r.record("%d crashes; %d client attempts with the crashing request, sent later than %s after the third, reached workers; at most 3 are allowed", len(r.crashes), len(late), stableWindow)
	return len(late) > 3
}

// summarize records how the clients' requests ended.
func (r *rig) summarize() {
	r.mu.Lock()
	counts := map[string]int{}
	lost := 0
	for _, a := range r.answered {
		kind := "read"
		if isOrder(a.path) {
			kind = "order"
		}
		if a.path == poisonPath {
			kind = "crashing"
		}
		counts[fmt.Sprintf("%s %d", kind, a.status)]++
		if kind == "order" && r.runs[a.id] > 0 && (a.status/100 != 2 || !a.whole) {
			lost++
		}
	}
	doubled := 0
	for _, a := range r.answered {
		if isOrder(a.path) && r.runs[a.id] > 1 {
			doubled++
		}
	}
	r.mu.Unlock()
	for k, n := range counts {
		r.record("clients: %s: %d", k, n)
	}
	r.record("orders that a worker had begun and that got no success: %d; that ran twice: %d", lost, doubled)
}

// recordAll records what was sent, answered and run, in the order of time.
func (r *rig) recordAll() {
	type line struct {
		at   time.Time
		text string
	}
	var lines []line
	r.mu.Lock()
	for _, a := range r.answered {
		lines = append(lines, line{a.sentAt, fmt.Sprintf("sent %s %s to %s", a.id, a.path, a.front)})
		lines = append(lines, line{a.at, fmt.Sprintf("answered %s: status %d, whole %t", a.id, a.status, a.whole)})
	}
	r.mu.Unlock()
	for _, a := range r.arrivals.all() {
		lines = append(lines, line{a.at, fmt.Sprintf("arrived %s %s at worker %s of %s, cold %t", a.id, a.path, a.worker, a.service, a.cold)})
	}
	slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	for _, l := range lines {
		r.record("  at %8.3f %s", l.at.Sub(r.started).Seconds(), l.text)
	}
}
