package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// limitDescriptors starts the process with so many file descriptors.
func limitDescriptors(limit int) func(*exec.Cmd) {
	return func(c *exec.Cmd) {
		c.Args = append([]string{"sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, limit), c.Path}, c.Args[1:]...)
		c.Path = "/bin/sh"
	}
}

// TestIdleConnectionsToOtherPortsEndNoService guards against an instance whose file descriptors
// are used up by connections that send nothing, or half a head, to its ports for operators and
// links.
func TestIdleConnectionsToOtherPortsEndNoService(t *testing.T) {
	const connections = 600
	f := startFleet(t)
	_, i := f.startProcess(buildEntry(t), "entry-3", "north-a", limitDescriptors(connections))
	require.Eventually(t, func() bool { return f.isReady(i) }, waitTimeout, 50*time.Millisecond, "not ready")
	for _, address := range []string{f.controls[i], f.links[i]} {
		for k := range connections {
			c, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				break // the accept queue is full
			}
			defer func() { _ = c.Close() }()
			if k%2 == 0 {
				_, _ = io.WriteString(c, "GET /") // the instance may have closed the connection
			}
		}
		a := f.send(i, http.MethodGet, "/shop/shirts", nil)
		require.NoError(t, a.err)
		require.Equal(t, http.StatusOK, a.status, a.header.Get("X-Cause"))
		require.Eventually(t, func() bool { return f.isReady(i) }, waitTimeout, 50*time.Millisecond, "the operators' API does not answer")
	}
}

// TestCallersBeyondDescriptorsLoseNothing guards against requests that run and get no answer in
// an instance that has fewer file descriptors than its callers open connections, or few at all.
func TestCallersBeyondDescriptorsLoseNothing(t *testing.T) {
	const (
		callers  = 200
		requests = 4 // of each on its connection
	)
	f := startFleet(t)
	binary := buildEntry(t)
	for _, limit := range []int{64, 400} {
		_, i := f.startProcess(binary, fmt.Sprint("entry-", limit), "north-a", limitDescriptors(limit))
		require.Eventually(t, func() bool { return f.isReady(i) }, waitTimeout, 50*time.Millisecond, "not ready")
		var mu sync.Mutex
		codes, unanswered := map[int]int{}, []string{}
		var sending sync.WaitGroup
		for k := range callers {
			sending.Go(func() {
				client := http.Client{Timeout: waitTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
				defer client.CloseIdleConnections()
				for r := range requests {
					id := fmt.Sprintf("read-%d-%d-%d", limit, k, r)
					req, err := http.NewRequest(http.MethodGet, "http://"+f.callers[i]+"/shop/shirts", nil)
					if err != nil {
						return
					}
					req.Header.Set("X-Request-Id", id)
					code := 0
					if resp, err := client.Do(req); err == nil {
						if _, err := io.Copy(io.Discard, resp.Body); err == nil {
							code = resp.StatusCode
						}
						_ = resp.Body.Close()
					}
					mu.Lock()
					codes[code]++
					if code == 0 {
						unanswered = append(unanswered, id)
					}
					mu.Unlock()
				}
			})
		}
		sending.Wait()
		t.Logf("%d descriptors: answers by status %v", limit, codes)
		for _, id := range unanswered {
			require.Zero(t, f.runsOf(id), "%d descriptors: %s", limit, id)
		}
		require.Eventually(t, func() bool {
			return f.send(i, http.MethodGet, "/shop/shirts", nil).status == http.StatusOK
		}, waitTimeout, 50*time.Millisecond, "%d descriptors", limit)
	}
}
