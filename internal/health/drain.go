package health

import (
	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Source identifies who announced that a server is draining.
type Source uint8

// The sources. An announcement by any of them takes effect immediately.
const (
	SourcePlannedStop Source = iota // a planned stop set by the operators
	SourceServer                    // the server itself, in a response or a report
	SourcePlatform                  // the platform's list of instances

	sourceCount = 3
)

var sourceReasons = [sourceCount]Reason{ReasonPlannedStop, ReasonServerDraining, ReasonPlatform}

// drainSet is the set of sources that currently announce a server as draining.
type drainSet uint8

func (d drainSet) has(source Source) bool { return d&(1<<source) != 0 }
func (d *drainSet) add(source Source)     { *d |= 1 << source }
func (d *drainSet) remove(source Source)  { *d &^= 1 << source }

// reason returns the reason of the first source in the set, in the order of the
// Source constants.
func (d drainSet) reason() (first Reason) {
	for source, reason := range sourceReasons {
		if d.has(Source(source)) {
			return reason
		}
	}
	return ReasonNone
}

// MarkDraining records that the source announces the server as draining. The server
// gets no new requests until every source has withdrawn its announcement.
func (t *Tracker) MarkDraining(now model.Instant, name model.BackendName, source Source) {
	s := t.byName[name]
	if s == nil || s.drains.has(source) {
		return
	}
	s.drains.add(source)
	t.recordChange(now, s, source.reason())
}

// ClearDraining records that the source has withdrawn its announcement. When no other
// source announces the server as draining, it returns through a slow start, unless
// it is ejected or probing.
func (t *Tracker) ClearDraining(now model.Instant, name model.BackendName, source Source) {
	s := t.byName[name]
	if s == nil || !s.drains.has(source) {
		return
	}
	s.drains.remove(source)
	if s.drains != 0 {
		return
	}
	if s.outOfService() {
		t.recordChange(now, s, s.reason)
		return
	}
	t.beginSlowStart(now, s, ReasonDrainWithdrawn, 0)
}

func (source Source) reason() Reason { return sourceReasons[source] }

// applyStops updates SourcePlannedStop on every server to match the planned stops.
func (t *Tracker) applyStops(now model.Instant, stops []config.Stop, regionOf RegionOf) {
	for _, s := range t.servers {
		if coveredByStop(s, stops, regionOf) {
			t.MarkDraining(now, s.Name, SourcePlannedStop)
		} else {
			t.ClearDraining(now, s.Name, SourcePlannedStop)
		}
	}
}

func coveredByStop(s *server, stops []config.Stop, regionOf RegionOf) bool {
	for _, stop := range stops {
		if stopCovers(stop, s, regionOf) {
			return true
		}
	}
	return false
}

func stopCovers(stop config.Stop, s *server, regionOf RegionOf) bool {
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
