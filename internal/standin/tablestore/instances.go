package tablestore

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/platform/wire"
)

// listHistory is how long past lines are kept; the lag of the list cannot
// exceed it.
const listHistory = 5 * time.Minute

// lineVersion is a line as it was from a moment on.
type lineVersion struct {
	from     time.Time
	instance wire.Instance
	expires  time.Time // zero where the line does not expire
	removed  bool
}

// listedAt reports whether the line is on the list at a moment.
func (v lineVersion) listedAt(at time.Time) bool {
	return !v.removed && (v.expires.IsZero() || v.expires.After(at))
}

// instances is the instance list. It keeps the history of each line, so that a
// read can be answered as the list was some time ago.
type instances struct {
	mu    sync.Mutex
	lines map[string][]lineVersion // oldest first, never empty
}

func newInstances() *instances {
	return &instances{lines: make(map[string][]lineVersion)}
}

// lineKey identifies a line: entry instances and backend servers have
// separate names.
func lineKey(in wire.Instance) string {
	if in.Backend != "" {
		return "backend/" + in.Backend
	}
	return "instance/" + in.ID
}

// set adds or replaces a line. A ttl of 0 keeps it until it is removed.
func (l *instances) set(in wire.Instance, ttl time.Duration, now time.Time) {
	version := lineVersion{from: now, instance: in}
	if ttl > 0 {
		version.expires = now.Add(ttl)
	}
	l.add(version)
}

// remove deletes a line by what names it.
func (l *instances) remove(in wire.Instance, now time.Time) {
	l.add(lineVersion{from: now, instance: in, removed: true})
}

func (l *instances) add(version lineVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := lineKey(version.instance)
	l.lines[key] = trimLine(append(l.lines[key], version), version.from.Add(-listHistory))
}

// trimLine drops the versions that were replaced before oldest.
func trimLine(versions []lineVersion, oldest time.Time) []lineVersion {
	drop := 0
	for drop < len(versions)-1 && versions[drop+1].from.Before(oldest) {
		drop++
	}
	return slices.Delete(versions, 0, drop)
}

// list returns the lines that were listed at a moment, sorted by key.
func (l *instances) list(at, now time.Time) []wire.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := []wire.Instance{}
	for key, versions := range l.lines {
		if version, ok := versionAt(versions, at); ok && version.listedAt(at) {
			listed = append(listed, version.instance)
		}
		l.forgetIfOld(key, now.Add(-listHistory))
	}
	slices.SortFunc(listed, func(a, b wire.Instance) int { return strings.Compare(lineKey(a), lineKey(b)) })
	return listed
}

func versionAt(versions []lineVersion, at time.Time) (lineVersion, bool) {
	for i := len(versions) - 1; i >= 0; i-- {
		if !versions[i].from.After(at) {
			return versions[i], true
		}
	}
	return lineVersion{}, false
}

// forgetIfOld drops a line that left the list before oldest.
func (l *instances) forgetIfOld(key string, oldest time.Time) {
	versions := l.lines[key]
	last := versions[len(versions)-1]
	if last.from.Before(oldest) && !last.listedAt(oldest) {
		delete(l.lines, key)
	}
}
