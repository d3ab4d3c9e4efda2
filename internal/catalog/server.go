package catalog

import (
	"net/netip"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Server is one incarnation of a backend server as it lists itself.
type Server struct {
	ID       model.BackendName
	Service  model.ServiceName
	Zone     model.ZoneName
	Address  netip.AddrPort
	Slots    int
	Draining bool
	ColdLeft time.Duration // how much longer it stays cold, when it was written
	Started  int64         // milliseconds since the epoch by its own clock; tells incarnations apart
	Sequence int64         // grows with each word of one incarnation
}

// SameIncarnation reports whether two entries are of the same start of a server.
func (s *Server) SameIncarnation(other *Server) bool {
	return s.ID == other.ID && s.Started == other.Started && s.Address == other.Address
}

// SaysMore reports whether an entry says more than an earlier one of the server
// beside that it lives.
func (s *Server) SaysMore(earlier *Server) bool {
	a, b := *s, *earlier
	turnedCold := a.ColdLeft > 0 && b.ColdLeft == 0
	a.Sequence, b.Sequence = 0, 0
	a.ColdLeft, b.ColdLeft = 0, 0
	return turnedCold || a != b
}

// Change is one thing that the platform's store says anew.
type Change interface{ change() }

// ConfigurationChange is a configuration.
type ConfigurationChange struct{ Configuration *Configuration }

// ServerChange is a server's latest entry.
type ServerChange struct{ Server Server }

// ServerGone says that a server has no entry.
type ServerGone struct{ ID model.BackendName }

// EvacuationChange says whether a zone is being evacuated.
type EvacuationChange struct {
	Zone   model.ZoneName
	Active bool
}

// InstanceChange is another entry instance's entry.
type InstanceChange struct{ Instance Instance }

// InstanceGone says that an instance has no entry.
type InstanceGone struct{ ID model.InstanceID }

// Instance is an entry instance as it lists itself for its peers.
type Instance struct {
	ID      model.InstanceID
	Zone    model.ZoneName
	Links   string // host:port of the links between instances
	Callers string // host:port for callers
	Started int64  // nanoseconds since the epoch by its own clock
}

func (*ConfigurationChange) change() {}
func (*ServerChange) change()        {}
func (*ServerGone) change()          {}
func (*EvacuationChange) change()    {}
func (*InstanceChange) change()      {}
func (*InstanceGone) change()        {}
