// Package config reads, checks and compares the operators' text: the single INI
// document that defines services, their dependencies and the limits for steering
// requests. Only operators edit the text; this package never rewrites it.
package config

import (
	"net/netip"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Text is a parsed and checked operators' text. It is immutable. Its slices are
// sorted by name, so that equal texts lead to equal decisions.
type Text struct {
	Zones    []Zone
	Services []Service
	Routes   []Route
	Backends []Backend
	Callers  []CallerGroup
	Limits   Limits
}

// Zone is one [zone NAME] section.
type Zone struct {
	Name   model.ZoneName
	Region model.RegionName
}

// Service is one [service NAME] section.
type Service struct {
	Name      model.ServiceName
	DependsOn []model.ServiceName
	Target    Target
}

// Target is a service-level objective: the share of requests that must be
// served within a latency.
type Target struct {
	Ratio   float64       // 0 to 1
	Latency time.Duration // 0 if the service has no objective
}

// Route is one [route NAME] section. The most specific pattern takes precedence: a
// longer literal prefix over a shorter one, a named method over "*".
type Route struct {
	Name     model.RouteName
	Service  model.ServiceName
	Method   string // "*" matches any method
	Path     string // literal path, or a prefix followed by "*"
	Rank     model.Rank
	Kind     model.Kind
	Deadline time.Duration
}

// Backend is one [backend NAME] section.
type Backend struct {
	Name    model.BackendName
	Service model.ServiceName
	Zone    model.ZoneName
	Address netip.AddrPort
	Slots   int // maximum number of concurrent requests
}

// CallerGroup is one [callers NAME] section.
type CallerGroup struct {
	Name   model.CallerGroupName
	Blocks []netip.Prefix
	Home   []model.ZoneName // baseline zones in order of preference
}

// Limits is the [limits] section.
type Limits struct {
	ShiftCap ShiftCap
	// Floors are the shares of a service's slots that each rank keeps under overload
	// by other ranks. They sum to at most 1; the remaining slots are not reserved for
	// any rank.
	Floors [model.RankCount]float64
	Links  []Link
}

// ShiftCap limits the rate at which traffic may move into a zone away from its
// baseline.
type ShiftCap struct {
	Fraction float64 // of the receiving zone's slots for the service, 0 to 1
	Window   time.Duration
}

// Link is the bandwidth budget between two regions, in each direction.
type Link struct {
	A, B           model.RegionName
	BytesPerSecond int64
}

// StopScope is the kind of target that a planned stop covers.
type StopScope string

// The scopes of a planned stop.
const (
	StopBackend  StopScope = "backend"
	StopInstance StopScope = "instance"
	StopZone     StopScope = "zone"
	StopRegion   StopScope = "region"
)

// Stop is a planned stop that operators have announced.
type Stop struct {
	ID     string // unique, assigned by the command line
	Scope  StopScope
	Target string // backend server, instance, zone or region name
	Author string
	Reason string
	At     time.Time // when it was announced
}

// TextChange is a text and the time of its acceptance.
type TextChange struct {
	Source     []byte
	AcceptedAt time.Time
}

// Revision is an accepted configuration: a text and the planned stops in force with
// it. A revision with a higher Number always replaces one with a lower Number.
type Revision struct {
	Number      int64
	Source      []byte // the operators' text exactly as applied
	Hash        uint64 // of Source and Stops; checked when the revision is read from a peer or the store
	Stops       []Stop
	Author      string
	Reason      string
	AcceptedAt  time.Time
	OperationID string // of the change that created it; resolves changes whose reply was lost
	// Earlier are the texts from which the baseline is still moving at the rate of the
	// shift cap, oldest first; the last one is the text before Source. It is empty for
	// the first revision. An instance derives the move in progress from Earlier alone,
	// independent of the revisions that it has received before.
	Earlier []TextChange
	// TextAcceptedAt is the time when Source was accepted, which is the start of the
	// move. It is before AcceptedAt if only planned stops have changed since.
	TextAcceptedAt time.Time
}
