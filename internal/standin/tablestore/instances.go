package tablestore

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/platform/wire"
)

// listHistory is the time for which past versions of records are kept. The lag of the list
// cannot exceed it.
const listHistory = 5 * time.Minute

// recordVersion is the state of a record of the instance list from a point in time until the
// next version.
type recordVersion struct {
	from     time.Time
	instance wire.Instance
	expires  time.Time // zero if the record does not expire
	removed  bool
}

// listedAt reports whether the version is neither removed nor expired at the time at.
func (v recordVersion) listedAt(at time.Time) bool {
	return !v.removed && (v.expires.IsZero() || v.expires.After(at))
}

// instances is the instance list. It keeps the history of each record, so that a read can
// return an outdated list.
type instances struct {
	mu      sync.Mutex
	records map[string][]recordVersion // oldest first, never empty
}

func newInstances() *instances {
	return &instances{records: make(map[string][]recordVersion)}
}

// recordKey returns the key of a record. Entry instances and backend servers have separate
// namespaces.
func recordKey(in wire.Instance) string {
	if in.Backend != "" {
		return "backend/" + in.Backend
	}
	return "instance/" + in.ID
}

// set adds or replaces a record. With a ttl of 0 it never expires.
func (l *instances) set(in wire.Instance, ttl time.Duration, now time.Time) {
	version := recordVersion{from: now, instance: in}
	if ttl > 0 {
		version.expires = now.Add(ttl)
	}
	l.add(version)
}

// remove deletes the record with the same key as in.
func (l *instances) remove(in wire.Instance, now time.Time) {
	l.add(recordVersion{from: now, instance: in, removed: true})
}

func (l *instances) add(version recordVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := recordKey(version.instance)
	l.records[key] = trimVersions(append(l.records[key], version), version.from.Add(-listHistory))
}

// trimVersions drops the versions that were replaced before oldest.
func trimVersions(versions []recordVersion, oldest time.Time) []recordVersion {
	drop := 0
	for drop < len(versions)-1 && versions[drop+1].from.Before(oldest) {
		drop++
	}
	return slices.Delete(versions, 0, drop)
}

// list returns the records that were on the list at the time at, sorted by key. It also drops
// records that have been off the list for longer than listHistory.
func (l *instances) list(at, now time.Time) []wire.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := []wire.Instance{}
	for key, versions := range l.records {
		if version, ok := versionAt(versions, at); ok && version.listedAt(at) {
			listed = append(listed, version.instance)
		}
		l.dropIfOld(key, now.Add(-listHistory))
	}
	slices.SortFunc(listed, func(a, b wire.Instance) int { return strings.Compare(recordKey(a), recordKey(b)) })
	return listed
}

// versionAt returns the version that was valid at the time at, if any.
func versionAt(versions []recordVersion, at time.Time) (recordVersion, bool) {
	for i := len(versions) - 1; i >= 0; i-- {
		if !versions[i].from.After(at) {
			return versions[i], true
		}
	}
	return recordVersion{}, false
}

// dropIfOld drops a record that left the list before oldest.
func (l *instances) dropIfOld(key string, oldest time.Time) {
	versions := l.records[key]
	last := versions[len(versions)-1]
	if last.from.Before(oldest) && !last.listedAt(oldest) {
		delete(l.records, key)
	}
}
