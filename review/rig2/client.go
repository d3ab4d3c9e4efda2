//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// answered is a client's request that has ended.
type answered struct {
	id         string
	path       string
	front      string // the machine that was asked
	sentAt     time.Time
	at         time.Time
	status     int // 0 if the connection ended without a whole answer
	retryAfter string
	whole      bool
}

// clients sends requests to the machines that the directory names.
type clients struct {
	rig    *rig
	region string
	http   *http.Client
	lookup *http.Client
	wait   sync.WaitGroup
	stop   chan struct{}

	mu     sync.Mutex
	fronts []string
}

func (r *rig) newClients(region string) *clients {
	c := &clients{
		rig: r, region: region, stop: make(chan struct{}),
		http:   &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
		lookup: &http.Client{Timeout: time.Second},
	}
	c.wait.Go(c.keepLookingUp)
	return c
}

// lookupEvery is how long clients keep an answer of the directory, which is less than its ttlS.
const lookupEvery = 250 * time.Millisecond

func (c *clients) keepLookingUp() {
	for {
		c.lookUp()
		select {
		case <-c.stop:
			return
		case <-time.After(lookupEvery):
		}
	}
}

// lookUp asks up to three machines, as the page says.
func (c *clients) lookUp() {
	c.rig.mu.Lock()
	edges := slices.Clone(c.rig.edges)
	c.rig.mu.Unlock()
	asked := 0
	for _, e := range edges {
		if !e.running() || asked == 3 {
			continue
		}
		asked++
		resp, err := c.lookup.Get(fmt.Sprintf("http://%s:%d/resolve?name=%s&region=%s&zone=%s", e.ip, c.rig.ports.directory, hostName, c.region, e.zone))
		if err != nil {
			continue
		}
		var found struct {
			Addrs []string `json:"addrs"`
		}
		err = json.NewDecoder(resp.Body).Decode(&found)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK && len(found.Addrs) > 0 {
			c.mu.Lock()
			if !slices.Equal(c.fronts, found.Addrs) {
				c.rig.record("directory names %v", found.Addrs)
			}
			c.fronts = found.Addrs
			c.mu.Unlock()
			return
		}
	}
}

// pick returns one of the named machines, empty if none is known.
func (c *clients) pick() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.fronts) == 0 {
		return ""
	}
	return c.fronts[rand.IntN(len(c.fronts))]
}

// load sends requests of one kind at a rate until the clients stop.
func (c *clients) load(perSecond float64, method, path string, body int, deadline time.Duration) {
	c.loadPaths(perSecond, method, body, deadline, func() string { return fmt.Sprintf("%s%x", path, rand.Uint32()) })
}

// loadPaths is load with paths of their own.
func (c *clients) loadPaths(perSecond float64, method string, body int, deadline time.Duration, path func() string) {
	c.wait.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-c.stop:
				return
			case <-ticker.C:
			}
			front := c.pick()
			if front == "" {
				continue
			}
			target := path()
			c.wait.Go(func() { c.send(front, method, target, body, deadline) })
		}
	})
}

// send makes one client attempt and waits for its answer.
func (c *clients) send(front, method, path string, body int, deadline time.Duration) answered {
	return c.sendAs(fmt.Sprintf("%016x", rand.Uint64()), front, method, path, body, deadline)
}

// sendAs makes one client attempt with an id.
func (c *clients) sendAs(id, front, method, path string, body int, deadline time.Duration) answered {
	a := answered{id: id, path: path, front: front, sentAt: time.Now()}
	var content io.Reader
	if body > 0 {
		content = bytes.NewReader(bytes.Repeat([]byte{'b'}, body))
	}
	req, err := http.NewRequest(method, "http://"+front+path, content)
	if err != nil {
		panic(err) // the case has passed a malformed request
	}
	req.Host = hostName
	req.Header.Set(headerAttempt, a.id)
	req.Header.Set(headerDeadline, fmt.Sprint(deadline.Milliseconds()))
	client := *c.http
	client.Timeout = deadline + 200*time.Millisecond
	resp, err := client.Do(req)
	if err == nil {
		text, rerr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status, a.retryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
		a.whole = rerr == nil && (resp.StatusCode/100 != 2 || resp.Header.Get(headerSignature) == signature(a.id) && len(text) == 600)
	}
	a.at = time.Now()
	c.rig.mu.Lock()
	c.rig.answered = append(c.rig.answered, a)
	c.rig.mu.Unlock()
	return a
}

// end stops sending and waits for the answers.
func (c *clients) end() {
	close(c.stop)
	c.wait.Wait()
	c.http.CloseIdleConnections()
}
