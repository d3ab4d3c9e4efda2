package tablestore

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/platform/wire"
)

// listHistory is the time for which past versions of entries are kept. The lag of the list
// cannot exceed it.
const listHistory = 5 * time.Minute

// entryVersion is the state of an entry of the instance list from a point in time until the
// next version.
type entryVersion struct {
	from     time.Time
	instance wire.Instance
	expires  time.Time // zero if the entry does not expire
	removed  bool
}

// listedAt reports whether the version is neither removed nor expired at the time at.
func (v entryVersion) listedAt(at time.Time) bool {
	return !v.removed && (v.expires.IsZero() || v.expires.After(at))
}

// instances is the instance list. It keeps the history of each entry, so that a read can
// return an outdated list.
type instances struct {
	mu      sync.Mutex
	entries map[string][]entryVersion // oldest first, never empty
}

func newInstances() *instances {
	return &instances{entries: make(map[string][]entryVersion)}
}

// entryKey returns the key of an entry. Entry instances and backend servers have separate
// namespaces.
func entryKey(in wire.Instance) string {
	if in.Backend != "" {
		return "backend/" + in.Backend
	}
	return "instance/" + in.ID
}

// set adds or replaces an entry. With a ttl of 0 it never expires.
func (l *instances) set(in wire.Instance, ttl time.Duration, now time.Time) {
	version := entryVersion{from: now, instance: in}
	if ttl > 0 {
		version.expires = now.Add(ttl)
	}
	l.add(version)
}

// remove deletes the entry with the same key as in.
func (l *instances) remove(in wire.Instance, now time.Time) {
	l.add(entryVersion{from: now, instance: in, removed: true})
}

func (l *instances) add(version entryVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := entryKey(version.instance)
	l.entries[key] = trimVersions(append(l.entries[key], version), version.from.Add(-listHistory))
}

// trimVersions drops the versions that were replaced before oldest.
func trimVersions(versions []entryVersion, oldest time.Time) []entryVersion {
	drop := 0
	for drop < len(versions)-1 && versions[drop+1].from.Before(oldest) {
		drop++
	}
	return slices.Delete(versions, 0, drop)
}

// list returns the entries that were on the list at the time at, sorted by key. It also drops
// entries that have been off the list for longer than listHistory.
func (l *instances) list(at, now time.Time) []wire.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := []wire.Instance{}
	for key, versions := range l.entries {
		if version, ok := versionAt(versions, at); ok && version.listedAt(at) {
			listed = append(listed, version.instance)
		}
		l.dropIfOld(key, now.Add(-listHistory))
	}
	slices.SortFunc(listed, func(a, b wire.Instance) int { return strings.Compare(entryKey(a), entryKey(b)) })
	return listed
}

// versionAt returns the version that was valid at the time at, if any.
func versionAt(versions []entryVersion, at time.Time) (entryVersion, bool) {
	for i := len(versions) - 1; i >= 0; i-- {
		if !versions[i].from.After(at) {
			return versions[i], true
		}
	}
	return entryVersion{}, false
}

// dropIfOld drops an entry that left the list before oldest.
func (l *instances) dropIfOld(key string, oldest time.Time) {
	versions := l.entries[key]
	last := versions[len(versions)-1]
	if last.from.Before(oldest) && !last.listedAt(oldest) {
		delete(l.entries, key)
	}
}
