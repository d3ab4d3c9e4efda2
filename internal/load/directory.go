package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Bounds of look-ups.
const (
	lookupTimeout = 500 * time.Millisecond
	minLookupGap  = 100 * time.Millisecond
	lookupPath    = "/v1/entries"
)

// entryList is the JSON answer of a look-up.
type entryList struct {
	Entries []struct {
		Instance string `json:"instance"`
		Zone     string `json:"zone"`
		Address  string `json:"address"`
	} `json:"entries"`
	TTLSeconds int `json:"ttl_seconds"`
}

// directory is what the callers of one source address know of the entry
// instances. It asks again when its answer has expired or failed.
type directory struct {
	source    netip.Addr
	bootstrap []string
	clients   *clients
	entries   atomic.Pointer[[]string] // best first
	stale     chan struct{}            // asks for a refresh
	lookups   atomic.Int64
	failures  atomic.Int64
}

func newDirectory(source netip.Addr, bootstrap []string, c *clients) *directory {
	d := &directory{source: source, bootstrap: bootstrap, clients: c, stale: make(chan struct{}, 1)}
	d.entries.Store(&bootstrap)
	return d
}

// list returns the entry instances' addresses, best first.
func (d *directory) list() []string { return *d.entries.Load() }

// invalidate asks for a refresh: an entry instance was unreachable or leaves.
func (d *directory) invalidate() {
	select {
	case d.stale <- struct{}{}:
	default:
	}
}

// run keeps the list fresh until the context ends.
func (d *directory) run(ctx context.Context, ttl time.Duration) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(ttl):
		case <-d.stale:
		}
		ttl = max(d.refresh(), minLookupGap)
	}
}

// refresh asks the known entry instances in turn, then the first ones, and
// returns how long the answer holds.
func (d *directory) refresh() time.Duration {
	d.lookups.Add(1)
	asked := make(map[string]bool)
	for _, address := range append(append([]string(nil), d.list()...), d.bootstrap...) {
		if asked[address] {
			continue
		}
		asked[address] = true
		list, ttl, err := d.ask(address)
		if err == nil && len(list) > 0 {
			d.entries.Store(&list)
			return ttl
		}
	}
	d.failures.Add(1)
	return minLookupGap
}

func (d *directory) ask(address string) ([]string, time.Duration, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetHost(address)
	req.SetRequestURI(lookupPath)
	client := d.clients.get(route{source: d.source, entry: address})
	if err := client.DoTimeout(req, resp, lookupTimeout); err != nil {
		return nil, 0, fmt.Errorf("look up entry instances at %s: %w", address, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, 0, fmt.Errorf("look up entry instances at %s: status code %d", address, resp.StatusCode())
	}
	var answer entryList
	if err := json.Unmarshal(resp.Body(), &answer); err != nil {
		return nil, 0, fmt.Errorf("look up entry instances at %s: %w", address, err)
	}
	list := make([]string, 0, len(answer.Entries))
	for _, e := range answer.Entries {
		list = append(list, e.Address)
	}
	return list, time.Duration(answer.TTLSeconds) * time.Second, nil
}
