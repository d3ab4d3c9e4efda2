package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// cases holds the cases by name.
var cases = map[string]func(*rig) (verdict, error){
	"crash-popular": playCrashPopular,
	"crash-crowded": playCrashCrowded,
	"limit-lapse":   playLimitLapse,
}

type object = map[string]any

func (r *rig) putConfig(version int, routes, services []object) {
	r.store.Put("op", "config", object{
		"version": version, "routes": routes, "services": services,
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 8 << 20, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
	})
}

func service(name string) object {
	return object{"name": name, "healthPath": "/health", "maxConns": 360, "coldS": 3, "coldPerS": 10}
}

// every calls do once per period until stop is closed, each call in a goroutine of its own.
func every(period time.Duration, stop <-chan struct{}, all *sync.WaitGroup, do func(i int)) {
	all.Go(func() {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
				all.Go(func() { do(i) })
			}
		}
	})
}

// crashRetries returns the number of workers that the poisonous request crashed, and in how
// many of its callers' attempts it reached workers later than stableWindow after the third of
// them. All instances are in touch all the while.
func (r *rig) crashRetries(ids map[string]bool) (crashes, late int) {
	var crashed []time.Time
	var reached []arrival
	attempts := map[string]bool{}
	for _, w := range r.workers {
		for _, a := range w.seen() {
			if !ids[a.id] {
				continue
			}
			reached = append(reached, a)
			if a.bad {
				crashed = append(crashed, a.at)
			}
		}
	}
	if len(crashed) < 3 {
		return len(crashed), 0
	}
	third := nth(crashed, 2)
	for _, a := range reached {
		if a.at.Sub(third) > stableWindow {
			attempts[a.id] = true
		}
	}
	return len(crashed), len(attempts)
}

func nth(times []time.Time, n int) time.Time {
	sorted := append([]time.Time(nil), times...)
	for i := range sorted {
		for j := i + 1; j < len(sorted); j++ {
			if sorted[j].Before(sorted[i]) {
				sorted[i], sorted[j] = sorted[j], sorted[i]
			}
		}
	}
	return sorted[n]
}

// playCrashPopular has a caller whose request crashes the workers that run it, for a page that
// other callers read without harm.
func playCrashPopular(r *rig) (verdict, error) {
	const path, badCaller = "/leny950/kit-17", "kit-manager-9"
	r.putConfig(1, []object{{
		"name": "catalog-read", "hostname": callersHost, "prefix": "/leny950/", "kind": "idempotent",
		"timeoutMs": 2500, "goalMs": 500, "priority": 0, "service": "katalog", "attempts": 2,
	}}, []object{service("katalog")})
	for i := range 12 {
		w := &worker{name: fmt.Sprintf("katalog%d", i), service: "katalog", zone: zones[i%len(zones)], slots: 9, queue: 27, work: 200 * time.Millisecond, down: 3 * time.Second}
		if r.trouble {
			w.poison = func(q *http.Request) bool { return q.URL.Path == path && q.Header.Get("From") == badCaller }
		}
		if err := r.addWorker(w); err != nil {
			return verdict{}, err
		}
	}
	if err := r.startInstances("muc-a", "nue-a", "fra-a"); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	others := r.newCaller("parents", "127.0.0.1")
	every(100*time.Millisecond, stop, &all, func(i int) {
		others.send(r.edges[i%len(r.edges)], http.MethodGet, path, "", 3*time.Second)
	})
	time.Sleep(3 * time.Second)
	bad := r.newCaller(badCaller, "127.0.0.9")
	ids := map[string]bool{}
	for i := range 12 {
		a := bad.send(r.edges[i%len(r.edges)], http.MethodGet, path, "", 3*time.Second)
		ids[a.id] = true
		time.Sleep(3 * time.Second)
	}
	close(stop)
	all.Wait()
	crashes, late := r.crashRetries(ids)
	return verdict{late > 3, fmt.Sprintf("%d workers crashed; the request reached workers in %d retries later than 4 s after the third crash (at most 3 are allowed)", crashes, late)}, nil
}

// playCrashCrowded has a request that crashes workers come after many crashes of workers that
// had other requests in flight.
func playCrashCrowded(r *rig) (verdict, error) {
	const badPath = "/puje670/reserve-bad"
	r.putConfig(1, []object{{
		"name": "order-place", "hostname": callersHost, "prefix": "/puje670/", "kind": "non_idempotent",
		"timeoutMs": 3500, "goalMs": 1000, "priority": 0, "service": "bestellung", "attempts": 1,
	}}, []object{service("bestellung")})
	for i := range 14 {
		w := &worker{name: fmt.Sprintf("bestellung%d", i), service: "bestellung", zone: zones[i%len(zones)], slots: 8, queue: 24, work: 840 * time.Millisecond, down: 4500 * time.Millisecond}
		w.poison = func(q *http.Request) bool { return q.URL.Path == badPath }
		if err := r.addWorker(w); err != nil {
			return verdict{}, err
		}
	}
	if err := r.startInstances("muc-a", "muc-b", "nue-a", "nue-b", "fra-a", "fra-b", "muc-a"); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	others := r.newCaller("clubs", "127.0.0.1")
	every(7*time.Millisecond, stop, &all, func(i int) {
		others.send(r.edges[i%len(r.edges)], http.MethodPost, fmt.Sprintf("/puje670/order-%d", i), "order", 4*time.Second)
	})
	time.Sleep(4 * time.Second)
	for i := range 16 {
		if r.trouble {
			for k := range 2 {
				r.workers[(2*i+k)%len(r.workers)].crash()
			}
		}
		time.Sleep(4 * time.Second)
	}
	bad := r.newCaller("club-9", "127.0.0.9")
	ids := map[string]bool{}
	for i := range 16 {
		a := bad.send(r.edges[i%len(r.edges)], http.MethodPost, badPath, "order", 4*time.Second)
		ids[a.id] = true
		time.Sleep(2 * time.Second)
	}
	close(stop)
	all.Wait()
	crashes, late := r.crashRetries(ids)
	return verdict{late > 3, fmt.Sprintf("%d workers crashed; the request reached workers in %d retries later than 4 s after the third crash (at most 3 are allowed)", crashes, late)}, nil
}

// playLimitLapse has a worker in need whose entry is removed for want of heartbeats and is
// written again when they go on.
func playLimitLapse(r *rig) (verdict, error) {
	const perSecond = 0.5
	r.putConfig(1, []object{{
		"name": "catalog-read", "hostname": callersHost, "prefix": "/leny950/", "kind": "idempotent",
		"timeoutMs": 2500, "goalMs": 500, "priority": 0, "service": "katalog", "attempts": 2,
	}}, []object{service("katalog")})
	for i := range 6 {
		w := &worker{name: fmt.Sprintf("katalog%d", i), service: "katalog", zone: zones[i%len(zones)], slots: 9, queue: 27, work: 640 * time.Millisecond}
		if err := r.addWorker(w); err != nil {
			return verdict{}, err
		}
	}
	if err := r.startInstances("muc-a", "nue-a", "fra-a"); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	others := r.newCaller("parents", "127.0.0.1")
	every(10*time.Millisecond, stop, &all, func(i int) {
		others.send(r.edges[i%len(r.edges)], http.MethodGet, fmt.Sprintf("/leny950/kit-%d", i%24), "", 3*time.Second)
	})
	time.Sleep(3 * time.Second)
	limit := fmt.Sprint(perSecond)
	named := time.Now()
	w := r.workers[0]
	w.limit.Store(&limit)
	r.logf("%s names Server-Limit %s", w.id, limit)
	time.Sleep(12 * time.Second)
	for range 3 {
		if r.trouble {
			w.quiet.Store(true)
			r.logf("%s sends no heartbeats", w.id)
		}
		time.Sleep(7 * time.Second)
		w.quiet.Store(false)
		r.logf("%s sends heartbeats", w.id)
		time.Sleep(7 * time.Second)
	}
	close(stop)
	all.Wait()
	most := 0
	var at time.Time
	seen := w.seen()
	for i, a := range seen {
		if a.at.Sub(named) < stableWindow {
			continue
		}
		n := 0
		for _, b := range seen[i:] {
			if b.at.Sub(a.at) < 4*time.Second {
				n++
			}
		}
		if n > most {
			most, at = n, a.at
		}
	}
	const allowed = 1.5*perSecond*4 + 5
	return verdict{float64(most) > allowed, fmt.Sprintf("%d requests reached the worker in 4 s from %.3f on (at most %g are allowed)", most, at.Sub(r.started).Seconds(), allowed)}, nil
}
