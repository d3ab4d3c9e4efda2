// Package config reads, checks and compares the operators' text: the one INI
// document that lists services, what they depend on, and the limits under which
// requests are steered. The text is the operators'; nothing here rewrites it.
package config

import (
	"net/netip"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Text is a parsed and checked operators' text. It is immutable once built;
// slices are sorted by name so that equal texts give equal decisions.
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
	Latency time.Duration // 0 where the service has no objective
}

// Route is one [route NAME] section. The most specific pattern wins: a longer
// literal prefix before a shorter one, a named method before any method.
type Route struct {
	Name     model.RouteName
	Service  model.ServiceName
	Method   string // "*" matches any method
	Path     string // literal path, or a prefix that ends in "*"
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
	Slots   int // requests that the server runs at the same time
}

// CallerGroup is one [callers NAME] section.
type CallerGroup struct {
	Name   model.CallerBlock
	Blocks []netip.Prefix
	Home   []model.ZoneName // baseline zones, first choice first
}

// Limits is the [limits] section.
type Limits struct {
	ShiftCap ShiftCap
	// Floors are the shares of a service's slots that each rank keeps while other
	// ranks flood in; they sum to at most 1. What is left over belongs to nobody.
	Floors [model.RankCount]float64
	Links  []Link
}

// ShiftCap bounds how fast traffic may move into a zone away from its baseline.
type ShiftCap struct {
	Fraction float64 // of the receiving zone's slots for the service, 0 to 1
	Window   time.Duration
}

// Link is the budget between two regions, each way.
type Link struct {
	A, B           model.RegionName
	BytesPerSecond int64
}

// StopScope says what a planned stop covers.
type StopScope string

// The scopes of a planned stop.
const (
	StopBackend  StopScope = "backend"
	StopInstance StopScope = "instance"
	StopZone     StopScope = "zone"
	StopRegion   StopScope = "region"
)

// Stop is one planned stop that operators have announced.
type Stop struct {
	ID     string // unique, given by the command line
	Scope  StopScope
	Target string // backend server, instance, zone or region name
	Author string
	Reason string
	At     time.Time // when it was announced
}

// TextChange is a text and when it was accepted.
type TextChange struct {
	Source     []byte
	AcceptedAt time.Time
}

// Revision is one accepted configuration: a text and the planned stops in
// force with it. A higher Number always replaces a lower one.
type Revision struct {
	Number      int64
	Source      []byte // the operators' text exactly as applied
	Hash        uint64 // of Source and Stops; checked by whoever receives it from a peer
	Stops       []Stop
	Author      string
	Reason      string
	AcceptedAt  time.Time
	OperationID string // of the change that made it, to settle lost replies
	// Earlier are the texts from which the baseline still moves at the shift cap's
	// rate, oldest first: the last one is the text before Source. Empty for the
	// first revision. From it alone an instance works out the move that is under
	// way, whatever it has seen before.
	Earlier []TextChange
	// TextAcceptedAt is when Source was accepted: the start of that move. It is
	// before AcceptedAt where only planned stops have changed since.
	TextAcceptedAt time.Time
}
