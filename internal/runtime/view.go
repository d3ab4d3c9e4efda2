package runtime

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/ingress"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/reducer"
)

// view is the state that lookups and new requests read without taking a lock. It
// is immutable; publishView and setIndex replace it.
type view struct {
	index    *config.Index
	byHome   map[string]*candidates
	fallback *candidates
	ttl      time.Duration
}

// candidates are the entry instances for callers with the same home zones, best
// first.
type candidates struct {
	entries   []ingress.Entry
	homeCount int // number of leading entries in the best zone, which are equally good
}

func (v *view) backend(name model.BackendName) (*config.Backend, bool) {
	if v.index == nil {
		return nil, false
	}
	return v.index.Backend(name)
}

func homeKey(home []model.ZoneName) string {
	parts := make([]string, 0, len(home))
	for _, z := range home {
		parts = append(parts, string(z))
	}
	return strings.Join(parts, "\x00")
}

// setIndex publishes a new index and leaves the lookup answers unchanged.
func (r *Runtime) setIndex(index *config.Index) {
	next := *r.view.Load()
	next.index = index
	r.view.Store(&next)
}

// publishView rebuilds the lookup answers from the reducer's state. The caller
// holds r.mu.
func (r *Runtime) publishView() {
	old := r.view.Load()
	next := &view{
		index:  old.index,
		byHome: make(map[string]*candidates),
		ttl:    r.options.Reducer.LookupTTL,
	}
	next.fallback = newCandidates(r.reducer.Entries([]model.ZoneName{r.options.Reducer.Self.Zone}))
	if next.index != nil {
		for _, group := range next.index.Text().Callers {
			key := homeKey(group.Home)
			if next.byHome[key] == nil {
				next.byHome[key] = newCandidates(r.reducer.Entries(group.Home))
			}
		}
	}
	r.view.Store(next)
}

func newCandidates(entries []reducer.Entry) *candidates {
	c := &candidates{entries: make([]ingress.Entry, 0, len(entries))}
	for _, e := range entries {
		if e.InBestZone {
			c.homeCount++
		}
		c.entries = append(c.entries, ingress.Entry{Instance: e.Instance, Zone: e.Zone, Address: e.Address})
	}
	return c
}

// Entries implements ingress.Directory. It appends to dst the entry instances that
// a caller at the remote address should use, best first, and returns the TTL of
// the answer. A hash of the address selects the first of the equally good
// instances, which spreads the load and keeps a caller on the same instance.
func (r *Runtime) Entries(remote netip.Addr, dst []ingress.Entry) ([]ingress.Entry, time.Duration) {
	v := r.view.Load()
	c := v.candidatesFor(remote)
	if c == nil {
		return dst, v.ttl
	}
	if c.homeCount < 2 {
		return append(dst, c.entries...), v.ttl
	}
	address := remote.As16()
	first := int(xxh3.Hash(address[:]) % uint64(c.homeCount))
	dst = append(dst, c.entries[first:c.homeCount]...)
	dst = append(dst, c.entries[:first]...)
	return append(dst, c.entries[c.homeCount:]...), v.ttl
}

func (v *view) candidatesFor(remote netip.Addr) *candidates {
	if v.index == nil {
		return v.fallback
	}
	group, ok := v.index.CallerGroup(remote)
	if !ok {
		return v.fallback
	}
	if c := v.byHome[homeKey(group.Home)]; c != nil {
		return c
	}
	return v.fallback
}

// zones returns the zones of the active configuration.
func (v *view) zones() []config.Zone {
	if v.index == nil {
		return nil
	}
	return slices.Clone(v.index.Text().Zones)
}
