package catalog

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Server is the entry of one incarnation of a backend server, as written to the
// platform's store by the server itself.
type Server struct {
	ID            model.BackendName
	Service       model.ServiceName
	Zone          model.ZoneName
	Address       netip.AddrPort
	Slots         int
	Draining      bool
	ColdLeft      time.Duration // remaining cold time when the entry was written
	StartedMillis int64         // milliseconds since the epoch by the server's clock; distinguishes incarnations
	Sequence      int64         // increases with each entry of one incarnation
}

// SameIncarnation reports whether two entries belong to one incarnation of a server:
// they have the same ID, start time and address.
func (s *Server) SameIncarnation(other *Server) bool {
	return s.ID == other.ID && s.StartedMillis == other.StartedMillis && s.Address == other.Address
}

// Incarnation identifies an incarnation of a server. It is the same for all entries for which
// SameIncarnation holds.
func (s *Server) Incarnation() string {
	return fmt.Sprintf("%s %d %s", s.ID, s.StartedMillis, s.Address)
}

// DiffersBeyondHeartbeat reports whether an entry differs from an earlier one of the
// server in more than its heartbeat and its remaining cold time.
func (s *Server) DiffersBeyondHeartbeat(earlier *Server) bool {
	a, b := *s, *earlier
	a.Sequence, b.Sequence = 0, 0
	a.ColdLeft, b.ColdLeft = 0, 0
	return a != b
}

// Change is a change in the platform's store.
type Change interface{ change() }

// ConfigurationChange carries a new configuration.
type ConfigurationChange struct{ Configuration *Configuration }

// ServerChange carries the latest entry of a server.
type ServerChange struct{ Server Server }

// ServerRemoved reports that a server has no entry.
type ServerRemoved struct{ ID model.BackendName }

// EvacuationChange reports whether a zone is being evacuated.
type EvacuationChange struct {
	Zone   model.ZoneName
	Active bool
}

// InstanceChange carries the latest entry of an entry instance.
type InstanceChange struct{ Instance Instance }

// InstanceRemoved reports that an entry instance has no entry.
type InstanceRemoved struct{ ID model.InstanceID }

// Instance is the entry of an entry instance, as written by the instance itself for its
// peers.
type Instance struct {
	ID           model.InstanceID
	Zone         model.ZoneName
	LinkAddr     string // host:port for links between instances
	CallerAddr   string // host:port for callers
	StartedNanos int64  // nanoseconds since the epoch by the instance's clock
	// ListedNanos is since when the instance has been listed without a gap, over restarts of
	// its process, in nanoseconds since the epoch by the instance's clock; 0 if unknown.
	ListedNanos int64 `json:",omitempty"`
	// BandwidthMbit and CPUs are the capacity of the instance's link, in Mbit/s each way, and
	// of its processor, in cores; 0 if unknown.
	BandwidthMbit float64 `json:",omitempty"`
	CPUs          float64 `json:",omitempty"`
}

func (*ConfigurationChange) change() {}
func (*ServerChange) change()        {}
func (*ServerRemoved) change()       {}
func (*EvacuationChange) change()    {}
func (*InstanceChange) change()      {}
func (*InstanceRemoved) change()     {}
