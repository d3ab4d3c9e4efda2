// Package control is the operators' API of an entry instance: its JSON types,
// its HTTP server and client, and a fan-out over every reachable instance.
package control

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Status is the answer to GET /v1/status: what one entry instance is, has and
// knows.
type Status struct {
	Instance    model.InstanceID `json:"instance"`
	Zone        model.ZoneName   `json:"zone"`
	State       string           `json:"state"`       // starting, ready, leaving or left
	Incarnation uint64           `json:"incarnation"` // start of the process, nanoseconds since the epoch
	At          time.Time        `json:"at"`          // when the status was taken

	Configuration Configuration `json:"configuration"`
	Platform      Platform      `json:"platform"`
	Peers         []Peer        `json:"peers"`
	Zones         []ZoneLoad    `json:"zones"`
	Loads         []ServiceLoad `json:"loads"`    // of the servers that this instance owns, now
	Backends      []Backend     `json:"backends"` // owned by this instance
	Stops         []Stop        `json:"stops"`
}

// Configuration is the revision that an instance has in force.
type Configuration struct {
	Revision   int64     `json:"revision"` // 0 before the first one
	Hash       string    `json:"hash"`     // content hash in hexadecimal
	AcceptedAt time.Time `json:"accepted_at,omitzero"`
	AdoptedAt  time.Time `json:"adopted_at,omitzero"` // when this instance put it in force
}

// Platform is the state of the circuit breaker around the platform's calls.
type Platform struct {
	State string    `json:"state"` // closed, open or half-open
	Since time.Time `json:"since,omitzero"`
	Why   string    `json:"why,omitempty"` // last error, empty while closed
}

// Peer is one other entry instance as this one knows it.
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

// ZoneLoad is the load of a zone as last reported to this instance.
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
	MeanRun    time.Duration     `json:"mean_run_ns"` // recent mean time that a request holds a slot
	SpillLevel float64           `json:"spill_level"` // slots that work from outside the baseline may hold now
	SpillInUse int               `json:"spill_in_use"`
}

// ByRank holds one value for each rank.
type ByRank[T any] struct {
	Urgent     T `json:"urgent"`
	Normal     T `json:"normal"`
	Background T `json:"background"`
}

// Ranked builds a ByRank from an array that is indexed by model.Rank.
func Ranked[T any](values [model.RankCount]T) ByRank[T] {
	return ByRank[T]{
		Urgent:     values[model.Urgent],
		Normal:     values[model.Normal],
		Background: values[model.Background],
	}
}

// Backend is one backend server that the instance owns.
type Backend struct {
	Backend model.BackendName `json:"backend"`
	Service model.ServiceName `json:"service"`
	Health  string            `json:"health"` // such as healthy, slow-start, ejected, draining
	Limit   int               `json:"limit"`  // slots in use at most now
	Slots   int               `json:"slots"`  // slots of the text
	InUse   int               `json:"in_use"`
	Why     string            `json:"why,omitempty"` // why the limit is below the slots
}

// Stop is one planned stop in force.
type Stop struct {
	ID     string           `json:"id"`
	Scope  config.StopScope `json:"scope"`
	Target string           `json:"target"`
	Author string           `json:"author"`
	Reason string           `json:"reason"`
	At     time.Time        `json:"at"`
	// InFlight is the number of requests that this instance still has on what is
	// stopping; DrainedAt is when it reached 0.
	InFlight  int       `json:"in_flight"`
	DrainedAt time.Time `json:"drained_at,omitzero"`
}

// StopOf converts a planned stop of a revision.
func StopOf(s config.Stop) Stop {
	return Stop{ID: s.ID, Scope: s.Scope, Target: s.Target, Author: s.Author, Reason: s.Reason, At: s.At}
}
