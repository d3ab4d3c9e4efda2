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

// Limits and path of lookups.
const (
	lookupTimeout     = 500 * time.Millisecond
	minLookupInterval = 100 * time.Millisecond
	lookupPath        = "/v1/entries"
)

// entryList is the JSON answer to a lookup.
type entryList struct {
	Entries []struct {
		Instance string `json:"instance"`
		Zone     string `json:"zone"`
		Address  string `json:"address"`
	} `json:"entries"`
	TTLSeconds int `json:"ttl_seconds"`
}

// directory holds the list of entry instances for the callers of one source
// address. It repeats the lookup when the list expires or is invalidated.
type directory struct {
	source    netip.Addr
	bootstrap []string
	clients   *clients
	entries   atomic.Pointer[[]string] // in order of preference
	stale     chan struct{}            // requests a refresh
	lookups   atomic.Int64
	failures  atomic.Int64
}

func newDirectory(source netip.Addr, bootstrap []string, c *clients) *directory {
	d := &directory{source: source, bootstrap: bootstrap, clients: c, stale: make(chan struct{}, 1)}
	d.entries.Store(&bootstrap)
	return d
}

// list returns the addresses of the entry instances in order of preference.
func (d *directory) list() []string { return *d.entries.Load() }

// invalidate requests a refresh. It is called when an entry instance is
// unreachable or closes its connections because it is shutting down.
func (d *directory) invalidate() {
	select {
	case d.stale <- struct{}{}:
	default:
	}
}

// run refreshes the list when it expires or is invalidated, until ctx ends.
func (d *directory) run(ctx context.Context, ttl time.Duration) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(ttl):
		case <-d.stale:
		}
		ttl = max(d.refresh(), minLookupInterval)
	}
}

// refresh queries the known entry instances in turn, then the bootstrap addresses,
// until one returns a list. It returns how long the list is valid, or
// minLookupInterval if none did.
func (d *directory) refresh() time.Duration {
	d.lookups.Add(1)
	queried := make(map[string]bool)
	for _, address := range append(append([]string(nil), d.list()...), d.bootstrap...) {
		if queried[address] {
			continue
		}
		queried[address] = true
		list, ttl, err := d.lookup(address)
		if err == nil && len(list) > 0 {
			d.entries.Store(&list)
			return ttl
		}
	}
	d.failures.Add(1)
	return minLookupInterval
}

func (d *directory) lookup(address string) ([]string, time.Duration, error) {
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
