//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// cases holds the cases by name.
var cases = map[string]func(*rig) (verdict, error){
	"crash-popular": playCrashPopular,
	"crash-crowded": playCrashCrowded,
	"crash-restart": playCrashRestart,
	"limit-lapse":   playLimitLapse,
	"refusal-copy":  playRefusalCopy,
	"cut-unframed":  playCutUnframed,
}

type object = map[string]any

func (r *rig) putConfig(version int, routes, services []object) {
	r.store.Put("op", "config", object{
		"version": version, "routes": routes, "services": services,
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 64 << 20, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
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
// other callers read without harm. As a control, they read another page.
func playCrashPopular(r *rig) (verdict, error) {
	const path, badCaller = "/leny950/kit-17", "kit-manager-9"
	r.putConfig(1, []object{{
		"name": "catalog-read", "hostname": callersHost, "prefix": "/leny950/", "kind": "idempotent",
		"timeoutMs": 2500, "goalMs": 500, "priority": 0, "service": "katalog", "attempts": 2,
	}}, []object{service("katalog")})
	for i := range 12 {
		w := &worker{name: fmt.Sprintf("katalog%d", i), service: "katalog", zone: zones[i%len(zones)], slots: 9, queue: 27, work: 200 * time.Millisecond, down: 3 * time.Second}
		if r.trouble || r.control {
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
	popular := path
	if r.control {
		popular = path + "-other"
	}
	every(100*time.Millisecond, stop, &all, func(i int) {
		others.send(r.edges[i%len(r.edges)], http.MethodGet, popular, "", 3*time.Second)
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

// playCrashCrowded has a request that crashes workers come after crashes of other workers, with
// many requests in flight at each. As a control, no other workers crash.
func playCrashCrowded(r *rig) (verdict, error) {
	const (
		badPath = "/puje670/reserve-bad"
		workers = 29
		atOnce  = workers * 14 / 100 // a share of 0.14
		crashes = 10
	)
	r.putConfig(1, []object{{
		"name": "order-place", "hostname": callersHost, "prefix": "/puje670/", "kind": "non_idempotent",
		"timeoutMs": 3500, "goalMs": 600, "priority": 0, "service": "bestellung", "attempts": 1,
	}}, []object{service("bestellung")})
	for i := range workers {
		w := &worker{name: fmt.Sprintf("bestellung%d", i), service: "bestellung", zone: zones[i%len(zones)], slots: 8, queue: 24, work: 840 * time.Millisecond, down: 4500 * time.Millisecond}
		if r.trouble || r.control {
			w.poison = func(q *http.Request) bool { return q.URL.Path == badPath }
		}
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
	every(4200*time.Microsecond, stop, &all, func(i int) {
		others.send(r.edges[i%len(r.edges)], http.MethodPost, fmt.Sprintf("/puje670/order-%d", i), "order", 4*time.Second)
	})
	time.Sleep(4 * time.Second)
	for i := range crashes {
		if r.trouble {
			for k := range atOnce {
				r.workers[(atOnce*i+k)%workers].crash()
			}
		}
		time.Sleep(5 * time.Second)
	}
	close(stop)
	all.Wait()
	time.Sleep(stableWindow)
	bad := r.newCaller("club-9", "127.0.0.9")
	ids := map[string]bool{}
	for i := range 14 {
		a := bad.send(r.edges[i%len(r.edges)], http.MethodPost, badPath, "order", 4*time.Second)
		ids[a.id] = true
		time.Sleep(2500 * time.Millisecond)
	}
	crashed, late := r.crashRetries(ids)
	return verdict{late > 3, fmt.Sprintf("%d workers crashed beneath the request, which reached workers in %d retries later than 4 s after the third crash (at most 3 are allowed)", crashed, late)}, nil
}

// playCrashRestart has a request that crashes workers come at all instances at the same moment,
// once before and once after each of two times at which all of them were killed and started again.
// As a control, none is killed.
func playCrashRestart(r *rig) (verdict, error) {
	const badPath = "/puje670/reserve-bad"
	r.putConfig(1, []object{{
		"name": "order-place", "hostname": callersHost, "prefix": "/puje670/", "kind": "non_idempotent",
		"timeoutMs": 3500, "goalMs": 600, "priority": 0, "service": "bestellung", "attempts": 1,
	}}, []object{service("bestellung")})
	for i := range 12 {
		w := &worker{name: fmt.Sprintf("bestellung%d", i), service: "bestellung", zone: zones[i%len(zones)], slots: 8, queue: 24, work: 200 * time.Millisecond, down: 4500 * time.Millisecond}
		if r.trouble || r.control {
			w.poison = func(q *http.Request) bool { return q.URL.Path == badPath }
		}
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
	every(20*time.Millisecond, stop, &all, func(i int) {
		others.send(r.edges[i%len(r.edges)], http.MethodPost, fmt.Sprintf("/puje670/order-%d", i), "order", 4*time.Second)
	})
	bad := r.newCaller("club-9", "127.0.0.9")
	ids := map[string]bool{}
	for life := range 3 {
		if life > 0 && r.trouble {
			if err := r.restartAll(); err != nil {
				return verdict{}, err
			}
		}
		time.Sleep(5 * time.Second) // all workers are back, all instances in touch
		var round sync.WaitGroup
		sent := make([]reply, len(r.edges))
		for i, e := range r.edges {
			round.Go(func() { sent[i] = bad.send(e, http.MethodPost, badPath, "order", 4*time.Second) })
		}
		round.Wait()
		for _, a := range sent {
			ids[a.id] = true
		}
		time.Sleep(6 * time.Second)
	}
	close(stop)
	all.Wait()
	crashed, late := r.crashRetries(ids)
	return verdict{late > 3, fmt.Sprintf("%d workers crashed beneath the request, which reached workers in %d retries later than 4 s after the third crash (at most 3 are allowed)", crashed, late)}, nil
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

// playRefusalCopy has a worker that rejects health checks while it is full, and writes such a
// refusal once more a moment later. Some of its connections are reset, and more callers come at
// the same time. As a control, no refusal is written twice.
func playRefusalCopy(r *rig) (verdict, error) {
	const (
		slots, queue = 3, 3
		work         = 500 * time.Millisecond
		usual        = 45 * time.Millisecond // from one order to the next; the workers take one in 42 ms
	)
	r.putConfig(1, []object{{
		"name": "order-place", "hostname": callersHost, "prefix": "/puje670/", "kind": "non_idempotent",
		"timeoutMs": 3000, "goalMs": 1500, "priority": 0, "service": "bestellung", "attempts": 2,
	}}, []object{service("bestellung")})
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Primrosenotch-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for i := range 4 {
		faulty := i < 2
		w := &rawWorker{id: fmt.Sprintf("i-bestellung%d-1", i), service: "bestellung", zone: zones[i%len(zones)], slots: slots}
		slot := make(chan struct{}, slots)
		var answers, copies, resets atomic.Int64
		w.answer = func(c *rawConn, q *http.Request) bool {
			attempt := attemptOf(q)
			n := float64(answers.Add(1))
			full := w.change(1) >= slots+queue
			defer w.change(-1)
			if full && attempt == "" {
				c.send(refusal)
				r.logf("%s rejects a health check on the connection from %s", w.id, c.RemoteAddr())
				if faulty && r.trouble && r.inSpell() && float64(copies.Load()+1) <= 0.03*n {
					copies.Add(1)
					time.AfterFunc(150*time.Millisecond, func() {
						r.logf("%s writes that refusal once more", w.id)
						c.send(refusal)
					})
				}
				return true
			}
			if full {
				_, _ = io.Copy(io.Discard, q.Body)
				c.send("HTTP/1.1 503 Service Unavailable\r\nX-Primrosenotch-Attempt-Id: " + attempt + "\r\nX-Primrosenotch-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
				r.logf("%s %s rejected: full", w.id, attempt)
				return true
			}
			slot <- struct{}{}
			defer func() { <-slot }()
			if attempt == "" {
				c.send("HTTP/1.1 200 OK\r\nX-Primrosenotch-Instance-Id: " + w.id + "\r\nContent-Length: 0\r\n\r\n")
				return true
			}
			_, _ = io.Copy(io.Discard, q.Body)
			w.ran(attempt)
			if faulty && (r.trouble || r.control) && r.inSpell() && float64(resets.Load()+1) <= 0.05*n {
				resets.Add(1)
				time.Sleep(work / 5)
				r.logf("%s %s: its connection is reset", w.id, attempt)
				_ = c.SetLinger(0)
				_ = c.Close()
				time.Sleep(work * 4 / 5)
				return false
			}
			time.Sleep(work)
			c.send(w.whole(attempt, "ordered"))
			return true
		}
		if err := r.addRawWorker(w); err != nil {
			return verdict{}, err
		}
	}
	if err := r.startInstances("muc-a", "nue-a"); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	clubs := r.newCaller("clubs", "127.0.0.1")
	var mu sync.Mutex
	refused := map[string]int{}
	order := func(i int) {
		a := clubs.send(r.edges[i%len(r.edges)], http.MethodPost, fmt.Sprintf("/puje670/order-%d", i), "order", 4*time.Second)
		if a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests {
			mu.Lock()
			refused[a.id] = a.status
			mu.Unlock()
		}
	}
	every(usual, stop, &all, order)
	every(usual*10/7, stop, &all, func(i int) { // with these, 1.7 times the usual traffic
		if (r.trouble || r.control) && r.inSpell() {
			order(i)
		}
	})
	time.Sleep(80 * time.Second)
	close(stop)
	all.Wait()
	time.Sleep(time.Second)
	var twice, denied int
	for id, n := range r.totalRuns() {
		if n > 1 {
			twice++
			r.logf("TWICE: %s ran %d times", id, n)
		}
		if refused[id] != 0 {
			denied++
			r.logf("REFUSED: %s ran and was answered %d", id, refused[id])
		}
	}
	return verdict{denied > 0, fmt.Sprintf("%d requests that must run once ran more than once, %d ran and were answered 429 or 503", twice, denied)}, nil
}

// playCutUnframed has a worker that answers long uploads before it has read them, without a
// length, and whose connection is reset in the middle of some of these
// answers.
func playCutUnframed(r *rig) (verdict, error) {
	const bodyBytes, answerBytes = 2_000_000, 2_000
	r.putConfig(1, []object{{
		"name": "crest-upload", "hostname": callersHost, "prefix": "/nony93/", "kind": "upload",
		"timeoutMs": 3000, "goalMs": 1200, "priority": 0, "service": "wappen", "attempts": 1,
	}}, []object{service("wappen")})
	for i := range 2 {
		faulty := i == 0
		w := &rawWorker{id: fmt.Sprintf("i-wappen%d-1", i), service: "wappen", zone: zones[i%len(zones)], slots: 3}
		var answers, cuts atomic.Int64
		w.answer = func(c *rawConn, q *http.Request) bool {
			attempt := attemptOf(q)
			if attempt == "" {
				c.send("HTTP/1.1 200 OK\r\nX-Primrosenotch-Instance-Id: " + w.id + "\r\nContent-Length: 0\r\n\r\n")
				return true
			}
			n := float64(answers.Add(1))
			if !faulty || !r.trouble || !r.inSpell() || float64(cuts.Load()+1) > 0.03*n {
				_, _ = io.Copy(io.Discard, q.Body)
				w.ran(attempt)
				c.send(w.whole(attempt, strings.Repeat("x", answerBytes)))
				return true
			}
			cuts.Add(1)
			_, _ = io.CopyN(io.Discard, q.Body, 1000)
			w.ran(attempt)
			c.send("HTTP/1.1 200 OK\r\nX-Primrosenotch-Attempt-Id: " + attempt + "\r\nX-Primrosenotch-Response-Signature: s." + attempt +
				"\r\nConnection: close\r\n\r\n" + strings.Repeat("x", answerBytes/2))
			r.logf("%s %s: the connection is reset in the middle of the answer", w.id, attempt)
			_ = c.SetLinger(0)
			return false
		}
		if err := r.addRawWorker(w); err != nil {
			return verdict{}, err
		}
	}
	if err := r.startInstances("muc-a", "nue-a"); err != nil {
		return verdict{}, err
	}
	clubs := r.newCaller("clubs", "127.0.0.1")
	var cut, sent atomic.Int64
	var all sync.WaitGroup
	end := time.Now().Add(32 * time.Second)
	for k := range 6 {
		all.Go(func() {
			for i := k; time.Now().Before(end); i++ {
				sent.Add(1)
				a := clubs.send(r.edges[i%len(r.edges)], http.MethodPost, fmt.Sprintf("/nony93/crest-%d-%d", k, i), strings.Repeat("u", bodyBytes), 5*time.Second)
				if a.err == nil && a.status == http.StatusOK && a.bytes != answerBytes {
					cut.Add(1)
					r.logf("MIXED: %s got a complete success of %d bytes, the worker's answer has %d", a.id, a.bytes, answerBytes)
				}
			}
		})
	}
	all.Wait()
	return verdict{cut.Load() > 0, fmt.Sprintf("%d of %d uploads got a success that looked complete with a part of the worker's body", cut.Load(), sent.Load())}, nil
}
