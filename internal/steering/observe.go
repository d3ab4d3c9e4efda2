package steering

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Observation is the outcome of a request offered to an owner.
type Observation struct {
	Service model.ServiceName
	Rank    model.Rank
	Zone    model.ZoneName
	Owner   model.InstanceID
	Outcome model.Outcome
	Cause   model.Cause
}

// Observe makes this instance back off from an owner that refused a request, for a
// short jittered time. The cause determines which requests are affected:
//   - a full queue or one too long for the deadline: only the rank, since each rank
//     has its own guaranteed minimum (floor) at the owner;
//   - overload: the rank and all less urgent ones;
//   - an exhausted shift cap: spill only;
//   - no backend server, not the owner, owner lost or stopping: all requests.
func (p *Planner) Observe(now model.Instant, o Observation) {
	if p.layout == nil || o.Outcome == model.Served {
		return
	}
	service, okService := p.layout.serviceIndex[o.Service]
	zone, okZone := p.layout.zoneIndex[o.Zone]
	if !okService || !okZone {
		return
	}
	for _, s := range p.layout.cell(service, zone).states {
		if s.instance == o.Owner {
			s.backOff(o, now.Add(p.backoff()))
		}
	}
}

func (p *Planner) backoff() time.Duration {
	jitter := 1 + p.settings.BackoffJitter*(2*p.random.Float64()-1)
	return time.Duration(float64(p.settings.Backoff) * jitter)
}

func (s *ownerState) backOff(o Observation, until model.Instant) {
	switch o.Cause {
	case model.CauseShiftCap:
		s.spillBackoffUntil = max(s.spillBackoffUntil, until)
	case model.CauseQueueFull, model.CauseDeadline:
		s.backoffUntil[o.Rank] = max(s.backoffUntil[o.Rank], until)
	case model.CauseOverload:
		s.backOffRanks(o.Rank, until)
	case model.CauseNoBackend, model.CauseNotOwner, model.CauseOwnerLost, model.CauseStopping:
		s.backOffRanks(model.Urgent, until)
	}
}

// backOffRanks backs off from the owner for a rank and all less urgent ones.
func (s *ownerState) backOffRanks(from model.Rank, until model.Instant) {
	for r := from; r <= model.Background; r++ {
		s.backoffUntil[r] = max(s.backoffUntil[r], until)
	}
}

// backingOff reports whether requests of the rank must not be sent to the owner yet.
func (s *ownerState) backingOff(now model.Instant, rank model.Rank, spill bool) bool {
	return now < s.backoffUntil[rank] || (spill && now < s.spillBackoffUntil)
}
