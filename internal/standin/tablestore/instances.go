package tablestore

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/platform/wire"
)

// listHistory is how long past states of the instance list are kept; the lag
// of the list cannot exceed it.
const listHistory = 5 * time.Minute

// maxListVersions bounds the past states that are kept.
const maxListVersions = 4096

// instanceLine is one line with its expiry; expires is zero for lines that do
// not expire.
type instanceLine struct {
	instance wire.Instance
	expires  time.Time
}

// listVersion is the list as it was from a moment on.
type listVersion struct {
	from  time.Time
	lines map[string]instanceLine
}

// instances is the instance list. It keeps its past states so that a read can
// be answered as the list was some time ago.
type instances struct {
	mu       sync.Mutex
	versions []listVersion // oldest first, never empty
}

func newInstances(now time.Time) *instances {
	return &instances{versions: []listVersion{{from: now}}}
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
	line := instanceLine{instance: in}
	if ttl > 0 {
		line.expires = now.Add(ttl)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	lines := l.copyLatest()
	lines[lineKey(in)] = line
	l.append(lines, now)
}

// remove deletes a line by what names it.
func (l *instances) remove(in wire.Instance, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lines := l.copyLatest()
	delete(lines, lineKey(in))
	l.append(lines, now)
}

func (l *instances) copyLatest() map[string]instanceLine {
	latest := l.versions[len(l.versions)-1].lines
	lines := make(map[string]instanceLine, len(latest)+1)
	for key, line := range latest {
		lines[key] = line
	}
	return lines
}

// append adds a state and drops those that no read can ask for.
func (l *instances) append(lines map[string]instanceLine, now time.Time) {
	l.versions = append(l.versions, listVersion{from: now, lines: lines})
	oldest := now.Add(-listHistory)
	drop := max(0, len(l.versions)-maxListVersions)
	for drop < len(l.versions)-1 && l.versions[drop+1].from.Before(oldest) {
		drop++
	}
	l.versions = slices.Delete(l.versions, 0, drop)
}

// list returns the lines that had not expired at a moment, sorted.
func (l *instances) list(at time.Time) []wire.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := []wire.Instance{}
	for _, line := range l.linesAt(at) {
		if line.expires.IsZero() || line.expires.After(at) {
			listed = append(listed, line.instance)
		}
	}
	slices.SortFunc(listed, func(a, b wire.Instance) int { return strings.Compare(lineKey(a), lineKey(b)) })
	return listed
}

func (l *instances) linesAt(at time.Time) map[string]instanceLine {
	for i := len(l.versions) - 1; i >= 0; i-- {
		if !l.versions[i].from.After(at) {
			return l.versions[i].lines
		}
	}
	return nil
}
