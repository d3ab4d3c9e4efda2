//go:build review

package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// caller sends requests from an address of its own.
type caller struct {
	rig    *rig
	name   string
	client *http.Client
}

func (r *rig) newCaller(name, address string) *caller {
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(address)}}
	return &caller{rig: r, name: name, client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true,
	}}}
}

// reply is how an attempt ended; status is 0 without an answer.
type reply struct {
	id     string
	sent   time.Time
	status int
	bytes  int64 // of the body
	err    error
}

// send makes one attempt with a new identifier.
func (c *caller) send(e *instance, method, path, body string, deadline time.Duration) reply {
	a := reply{id: c.rig.newID(), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	q.Host = callersHost
	q.Header.Set("X-Primrosenotch-Attempt-Id", a.id)
	q.Header.Set("X-Primrosenotch-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	q.Header.Set("From", c.name)
	c.rig.logf("%s sends %s %s %s to %s", c.name, a.id, method, path, e.id)
	resp, err := c.client.Do(q)
	if err == nil {
		a.status = resp.StatusCode
		a.bytes, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	a.err = err
	c.rig.logf("%s gets %d for %s, error %v", c.name, a.status, a.id, err)
	return a
}

func (e *instance) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + e.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
