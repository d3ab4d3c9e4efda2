//go:build review

package main

import (
	"net/http"
	"os"
	"syscall"
	"time"
)

// checkCold checks the rule FAILBACK: the requests that a cold worker gets in one second.
func (r *rig) checkCold() bool {
	r.recordAll()
	r.summarize()
	limit := coldPerS*coldOver + coldSlack
	list := r.arrivals.all()
	sent := map[string]time.Time{}
	r.mu.Lock()
	for _, a := range r.answered {
		sent[a.id] = a.sentAt
	}
	r.mu.Unlock()
	worst, broken := 0, 0
	for i, last := range list {
		if !last.cold {
			continue
		}
		n := 0
		for j := i; j >= 0 && last.at.Sub(list[j].at) < time.Second; j-- {
			a := list[j]
			if a.worker == last.worker && a.cold && last.at.Sub(sent[a.id]) < time.Second {
				n++
			}
		}
		if float64(n) > limit {
			broken++
			if n > worst {
				r.record("in the second up to %.3f s the cold worker %s got %d requests, at most %.1f are allowed", last.at.Sub(r.started).Seconds(), last.worker, n, limit)
			}
		}
		worst = max(worst, n)
	}
	r.record("most requests at a cold worker in one second: %d; at most %.1f are allowed", worst, limit)
	return broken > 0
}

// coldAgain starts a worker, which is cold then, and has it turn cold again before that has ended.
func coldAgain(r *rig) (bool, error) {
	r.zones = map[string]string{"recife-a": "recife", "recife-b": "recife"}
	kind := &workerKind{service: "huvo11a", slots: 9, work: 40 * time.Millisecond, orderWork: 400 * time.Millisecond, coldFor: coldFor, crashPer: 18}
	r.putConfig(7, kind.service, readRoute(kind.service), orderRoute(kind.service))
	for i := range 2 {
		if _, err := r.startWorker(kind, []string{"recife-a", "recife-b"}[i%2], "", false); err != nil {
			return false, err
		}
	}
	if err := r.startFleet("recife-a", "recife-a", "recife-b"); err != nil {
		return false, err
	}
	c := r.newClients("recife")
	if err := c.awaitReady(3); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // traffic starts 8 s after the machines do
	c.load(50, http.MethodGet, readPrefix, 0, 4*time.Second)
	c.load(30, http.MethodPost, orderPrefix, 4000, 6*time.Second)
	time.Sleep(8 * time.Second)
	w, err := r.startWorker(kind, "recife-b", "", true)
	if err != nil {
		return false, err
	}
	for range 5 {
		time.Sleep(2 * time.Second)
		if r.trouble {
			w.turnCold()
		}
	}
	time.Sleep(5 * time.Second)
	c.end()
	return r.checkCold(), nil
}

// newcomers removes two of three machines and adds two others later, as the workers of a zone come
// back cold. With TROUBLE=control the workers do so while the machines stay as they are.
func newcomers(r *rig) (bool, error) {
	r.zones = map[string]string{"recife-a": "recife", "recife-b": "recife"}
	kind := &workerKind{service: "huvo11a", slots: 9, work: 40 * time.Millisecond, orderWork: 400 * time.Millisecond, coldFor: coldFor, crashPer: 16}
	r.putConfig(7, kind.service, readRoute(kind.service), orderRoute(kind.service))
	var old []*worker
	for range 2 {
		w, err := r.startWorker(kind, "recife-b", "", false)
		if err != nil {
			return false, err
		}
		old = append(old, w)
	}
	if err := r.startFleet("recife-a", "recife-a", "recife-b"); err != nil {
		return false, err
	}
	c := r.newClients("recife")
	if err := c.awaitReady(3); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // traffic starts 8 s after the machines do
	c.load(50, http.MethodGet, readPrefix, 0, 4*time.Second)
	c.load(30, http.MethodPost, orderPrefix, 4000, 6*time.Second)
	time.Sleep(3 * time.Second)
	changes := r.trouble && os.Getenv("TROUBLE") != "control"
	if changes {
		r.edges[1].signal(syscall.SIGTERM)
		r.edges[2].signal(syscall.SIGTERM)
	}
	time.Sleep(20 * time.Second)
	if r.trouble {
		r.store.awaitRead("instances")
		for _, w := range old {
			w.crash("its zone's workers go down", zoneDown)
		}
		r.store.awaitRead("instances") // the next one, 3 s later or sooner
	}
	if changes {
		for i, zone := range []string{"recife-a", "recife-b"} {
			if _, err := r.startEdge(4+i, zone); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(10 * time.Second)
	c.end()
	return r.checkCold(), nil
}

// zoneDown is how long the workers of a zone are down: cold_return has 4.5 s at most. It is a little
// longer than the time between two reads of the list of instances.
const zoneDown = 3300 * time.Millisecond
