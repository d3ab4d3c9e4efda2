package dispatch

import (
	"slices"
	"strings"
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

// Departure is an incarnation of a server that has left.
type Departure struct {
	Incarnation string
	Sequence    int64 // of its latest known entry
}

// Departures returns the incarnations that had left before the latest restore of the store,
// sorted, and the time since then. It returns none once the store has had the time to remove
// their entries again.
func (d *Dispatcher) Departures(now model.Instant) ([]Departure, time.Duration) {
	age := now.Sub(d.store.restoredAt)
	if d.store.restoredAt == 0 || age >= staleEntryTTL {
		return nil, 0
	}
	inUse := map[string]bool{}
	for _, s := range d.servers {
		inUse[s.entry.Incarnation()] = true
	}
	var list []Departure
	for incarnation := range d.departures.sequences.entries {
		left, known := d.departures.sequences.get(now, incarnation)
		if known && !inUse[incarnation] {
			list = append(list, Departure{Incarnation: incarnation, Sequence: left.value})
		}
	}
	slices.SortFunc(list, func(a, b Departure) int { return strings.Compare(a.Incarnation, b.Incarnation) })
	return list, age
}

// departuresLearned applies what a peer knows of servers that have left. An instance that has
// started since may already use them.
func (d *Dispatcher) departuresLearned(ev *DeparturesLearned) {
	if ev.RestoredAt > d.store.restoredAt {
		d.store.restored(ev.RestoredAt)
	}
	inUse := map[string]*server{}
	for _, s := range d.servers {
		inUse[s.entry.Incarnation()] = s
	}
	for _, left := range ev.Departed {
		s := inUse[left.Incarnation]
		if s != nil {
			d.removeServer(ev.At, s, "it had left before the store was restored")
		}
		if s != nil && s.entry.Sequence > left.Sequence {
			d.departures.held[s.entry.ID] = s.entry
			continue // the next entry shows that it lives
		}
		known, _ := d.departures.sequences.get(ev.At, left.Incarnation)
		d.departures.sequences.add(d.store.restoredAt-1, left.Incarnation, max(left.Sequence, known.value))
	}
}
