// Package control implements the operators' API of an entry instance: its JSON
// types, its HTTP server and client, and calls to all instances of the fleet.
package control

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Status is the response body of GET /v1/status: the state of one entry instance
// and its view of its peers and their load.
type Status struct {
	Instance    model.InstanceID `json:"instance"`
	Zone        model.ZoneName   `json:"zone"`
	State       string           `json:"state"`       // starting, ready, leaving or left
	Incarnation uint64           `json:"incarnation"` // start of the process in nanoseconds since the Unix epoch, raised if an earlier process of the instance had a higher value
	At          time.Time        `json:"at"`          // when the status was taken

	Configuration Configuration `json:"configuration"`
	Platform      Platform      `json:"platform"`
	Peers         []Peer        `json:"peers"`
	Zones         []ZoneLoad    `json:"zones"`
	Loads         []ServiceLoad `json:"loads"`    // current load of the backend servers that this instance owns
	Backends      []Backend     `json:"backends"` // backend servers that this instance owns
	Stops         []Stop        `json:"stops"`
	// Direct is set by an instance that sends requests to backend servers itself. Zones,
	// Loads, Backends and Stops are then empty.
	Direct *Direct `json:"direct,omitempty"`
}

// Direct is the state of an instance that sends requests to backend servers itself.
type Direct struct {
	Servers    int                `json:"servers"`    // that the instance knows
	Restricted []RestrictedServer `json:"restricted"` // those that get no requests, or few
	Tables     []TableCopy        `json:"tables"`     // copies of the platform's tables
	Retries    []RetryUse         `json:"retries"`    // by service
	// Organisations is empty unless the configuration checks keys.
	Organisations []Organisation `json:"organisations,omitempty"`
	// CrashSuspects is the number of requests that are suspected of crashing servers.
	CrashSuspects int `json:"crash_suspects"`
}

// RestrictedServer is a backend server that gets no requests, or few.
type RestrictedServer struct {
	Server   model.BackendName `json:"server"`
	Service  model.ServiceName `json:"service"`
	Zone     model.ZoneName    `json:"zone"`
	Health   string            `json:"health"` // such as ejected, draining, evacuated, cold, takes 1.6/s
	Detail   string            `json:"detail,omitempty"`
	InFlight int               `json:"in_flight"` // requests of this instance
}

// Organisation is an organisation and its use of one instance.
type Organisation struct {
	Name        model.OrganisationName `json:"name"`
	Arrived     float64                `json:"arrived_per_s"` // requests
	Sent        float64                `json:"sent_per_s"`    // requests that were sent to a backend server
	Limited     bool                   `json:"limited"`
	Rate        float64                `json:"rate_per_s"` // limit over all instances, valid if Limited is set
	Burst       float64                `json:"burst"`
	Priority    *int                   `json:"priority,omitempty"` // that of the route if it is not set
	HomeRegions []model.RegionName     `json:"home_regions,omitempty"`
}

// TableCopy is an instance's copy of a table of the platform's store.
type TableCopy struct {
	Table   string        `json:"table"`
	Age     time.Duration `json:"age_ns"` // since it was last known to be the latest; negative if it is unknown
	Reading bool          `json:"reading"`
	Failing bool          `json:"failing"` // the last read failed
}

// RetryUse counts the sends of one instance to a service in the window of the retry budget.
type RetryUse struct {
	Service    model.ServiceName `json:"service"`
	FirstSends int               `json:"first_sends"`
	Retries    int               `json:"retries"`
}

// Configuration identifies the revision that an instance currently applies.
type Configuration struct {
	Revision   int64     `json:"revision"` // 0 before the first one
	Hash       string    `json:"hash"`     // content hash in hexadecimal
	AcceptedAt time.Time `json:"accepted_at,omitzero"`
	AdoptedAt  time.Time `json:"adopted_at,omitzero"` // when this instance began to apply it
	// Lost reports that the platform's table was restored from a copy and lacks this
	// revision, which stays in force until a change is accepted.
	Lost bool `json:"lost,omitempty"`
}

// Platform is the worst state of the circuit breakers for calls to the platform's
// services.
type Platform struct {
	State  string    `json:"state"` // closed, open or half-open
	Since  time.Time `json:"since,omitzero"`
	Reason string    `json:"why,omitempty"` // which service's calls fail, empty while closed
}

// Peer describes another entry instance as seen by the reporting instance.
type Peer struct {
	Instance    model.InstanceID `json:"instance"`
	Zone        model.ZoneName   `json:"zone"`
	State       string           `json:"state"`
	Reachable   bool             `json:"reachable"`
	LastHeard   time.Time        `json:"last_heard,omitzero"`
	Incarnation uint64           `json:"incarnation"`
	Revision    int64            `json:"revision"`
	LinkAddr    string           `json:"link_addr"`
	CallerAddr  string           `json:"caller_addr"`
	ControlAddr string           `json:"control_addr"` // host:port of this API
}

// ZoneLoad is the most recent load that an availability zone reported to this
// instance.
type ZoneLoad struct {
	Zone     model.ZoneName   `json:"zone"`
	Region   model.RegionName `json:"region"`
	Services []ServiceLoad    `json:"services"`
}

// ServiceLoad is the load of one service in one zone.
type ServiceLoad struct {
	Service    model.ServiceName `json:"service"`
	Slots      int               `json:"slots"` // usable
	InUse      int               `json:"in_use"`
	Queued     ByRank[int]       `json:"queued"`
	MeanRun    time.Duration     `json:"mean_run_ns"` // recent mean time for which a request occupies a slot
	SpillLevel float64           `json:"spill_level"` // slots that requests from outside their baseline zone may currently occupy
	SpillInUse int               `json:"spill_in_use"`
}

// ByRank contains one value per rank.
type ByRank[T any] struct {
	Urgent     T `json:"urgent"`
	Normal     T `json:"normal"`
	Background T `json:"background"`
}

// ByRankOf converts an array that is indexed by model.Rank to a ByRank.
func ByRankOf[T any](values [model.RankCount]T) ByRank[T] {
	return ByRank[T]{
		Urgent:     values[model.Urgent],
		Normal:     values[model.Normal],
		Background: values[model.Background],
	}
}

// Backend is one backend server that the instance owns.
type Backend struct {
	Backend     model.BackendName `json:"backend"`
	Service     model.ServiceName `json:"service"`
	Health      string            `json:"health"` // such as healthy, slow-start, ejected, draining
	Limit       int               `json:"limit"`  // current maximum of slots in use
	Slots       int               `json:"slots"`  // configured slots
	InUse       int               `json:"in_use"`
	LimitReason string            `json:"why,omitempty"` // reason for a limit below the configured slots
}

// Stop is one planned stop of the current revision.
type Stop struct {
	ID     string           `json:"id"`
	Scope  config.StopScope `json:"scope"`
	Target string           `json:"target"`
	Author string           `json:"author"`
	Reason string           `json:"reason"`
	At     time.Time        `json:"at"`
	// InFlight is the number of requests of this instance that are still running on
	// the stop's target. DrainedAt is the time at which it reached 0.
	InFlight  int       `json:"in_flight"`
	DrainedAt time.Time `json:"drained_at,omitzero"`
}

// NewStop converts a planned stop of a revision.
func NewStop(s config.Stop) Stop {
	return Stop{ID: s.ID, Scope: s.Scope, Target: s.Target, Author: s.Author, Reason: s.Reason, At: s.At}
}
