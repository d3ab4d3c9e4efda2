package dispatch

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// staleEntryTTL is how long after a restore the store may list servers that had left before:
// until the store removes the entries whose servers are silent.
const staleEntryTTL = 8 * time.Second

// departures remembers servers that have left, so that older entries of them in a restored
// store are not mistaken for servers to use.
type departures struct {
	// sequences holds the latest known sequence numbers of incarnations that were removed.
	// An instance that relied on peers does not know every heartbeat.
	sequences recent[string, int64]
	// held holds entries that may be older than the removal of their servers. They count
	// once the server writes a later one, or if they are still listed after staleEntryTTL.
	held map[model.BackendName]catalog.Server
}

func newDepartures() departures {
	return departures{sequences: newRecent[string, int64](), held: map[model.BackendName]catalog.Server{}}
}

// HasLeft reports whether an entry is not newer than the last known one of an incarnation
// that was removed.
func (d *Dispatcher) HasLeft(now model.Instant, entry *catalog.Server) bool {
	left, ok := d.departures.sequences.get(now, entry.Incarnation())
	return ok && entry.Sequence <= left.value
}

// reasonToIgnore returns why an entry of an incarnation that is not in use does not make it
// usable, or "" if it does. The incarnation of the server that is in use is nil if there is none.
func (d *Dispatcher) reasonToIgnore(now model.Instant, inUse *server, entry *catalog.Server) string {
	left, ok := d.departures.sequences.get(now, entry.Incarnation())
	switch {
	case !ok && inUse != nil && entry.StartedMillis < inUse.entry.StartedMillis && d.store.settling(now):
		return "a later incarnation is in use"
	case !ok:
		return ""
	case entry.Sequence <= left.value:
		return "its entry is older than its removal"
	case left.at < d.store.restoredAt && now.Sub(d.store.restoredAt) < staleEntryTTL:
		d.departures.sequences.add(now, entry.Incarnation(), entry.Sequence)
		d.departures.held[entry.ID] = *entry
		return "it had left before the store was restored"
	default:
		delete(d.departures.held, entry.ID)
		return ""
	}
}

// releaseHeld uses the servers whose entries are still listed after staleEntryTTL, unless
// another incarnation is in use: the held one was replaced by it.
func (d *Dispatcher) releaseHeld(now model.Instant) {
	if len(d.departures.held) == 0 || now.Sub(d.store.restoredAt) < staleEntryTTL {
		return
	}
	ids := lo.Keys(d.departures.held)
	slices.Sort(ids)
	for _, id := range ids {
		entry := d.departures.held[id]
		delete(d.departures.held, id)
		if d.servers[id] != nil {
			continue
		}
		d.departures.sequences.remove(entry.Incarnation())
		d.serverListed(now, &entry)
	}
}
