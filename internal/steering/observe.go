package steering

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Observation is how an owner answered an offer.
type Observation struct {
	Service model.ServiceName
	Rank    model.Rank
	Zone    model.ZoneName
	Owner   model.InstanceID
	Outcome model.Outcome
	Cause   model.Cause
}

// Observe makes refusals hold this instance back from the owner that refused,
// for a short jittered time: for the rank alone where its queue is full or too
// long, since each rank has a floor of its own; for the rank and what is less
// urgent where the owner is overloaded; for spill where its ramp is exhausted;
// for all otherwise.
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

// holdRanks holds a rank back and every less urgent one.
func (s *ownerState) backOffRanks(from model.Rank, until model.Instant) {
	for r := from; r <= model.Background; r++ {
		s.backoffUntil[r] = max(s.backoffUntil[r], until)
	}
}

// held reports whether the owner is to be spared a request for now.
func (s *ownerState) backingOff(now model.Instant, rank model.Rank, spill bool) bool {
	return now < s.backoffUntil[rank] || (spill && now < s.spillBackoffUntil)
}
