package health

import (
	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Source says who announced that a server is leaving.
type Source uint8

// The sources, any of which is honoured at once.
const (
	SourceText     Source = iota // a planned stop of the operators
	SourceServer                 // the server's own word
	SourcePlatform               // the platform's list of instances

	sourceCount = 3
)

var sourceReasons = [sourceCount]Reason{ReasonStop, ReasonServerWord, ReasonPlatform}

// drainSet is the set of sources that say that a server is leaving.
type drainSet uint8

func (d drainSet) has(source Source) bool { return d&(1<<source) != 0 }
func (d *drainSet) add(source Source)     { *d |= 1 << source }
func (d *drainSet) remove(source Source)  { *d &^= 1 << source }
func (d drainSet) reason() (first Reason) {
	for source, reason := range sourceReasons {
		if d.has(Source(source)) {
			return reason
		}
	}
	return ReasonNone
}

// Leaving records that a source says that the server is leaving. It takes
// nothing new until every source has withdrawn that.
func (t *Tracker) Leaving(now model.Instant, name model.BackendName, source Source) {
	s := t.byName[name]
	if s == nil || s.drains.has(source) {
		return
	}
	s.drains.add(source)
	t.note(now, s, source.reason())
}

// Staying records that a source no longer says that the server is leaving. When
// it was the last one the server comes back by a slow start.
func (t *Tracker) Staying(now model.Instant, name model.BackendName, source Source) {
	s := t.byName[name]
	if s == nil || !s.drains.has(source) {
		return
	}
	s.drains.remove(source)
	if s.drains != 0 {
		return
	}
	if s.out() {
		t.note(now, s, s.why)
		return
	}
	t.startSlowly(now, s, ReasonReturned, 0)
}

func (source Source) reason() Reason { return sourceReasons[source] }

// applyStops brings SourceText in line with the planned stops.
func (t *Tracker) applyStops(now model.Instant, stops []config.Stop, regionOf RegionOf) {
	for _, s := range t.servers {
		if covered(s, stops, regionOf) {
			t.Leaving(now, s.Name, SourceText)
		} else {
			t.Staying(now, s.Name, SourceText)
		}
	}
}

func covered(s *server, stops []config.Stop, regionOf RegionOf) bool {
	for _, stop := range stops {
		if covers(stop, s, regionOf) {
			return true
		}
	}
	return false
}

func covers(stop config.Stop, s *server, regionOf RegionOf) bool {
	switch stop.Scope {
	case config.StopBackend:
		return stop.Target == string(s.Name)
	case config.StopZone:
		return stop.Target == string(s.Zone)
	case config.StopRegion:
		return regionOf != nil && stop.Target == string(regionOf(s.Zone))
	}
	return false
}
