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
			s.hold(o, now.Add(p.holdBack()))
		}
	}
}

func (p *Planner) holdBack() time.Duration {
	jitter := 1 + p.settings.HoldBackShare*(2*p.random.Float64()-1)
	return time.Duration(float64(p.settings.HoldBack) * jitter)
}

func (s *ownerState) hold(o Observation, until model.Instant) {
	switch o.Cause {
	case model.CauseShiftCap:
		s.spillHeld = max(s.spillHeld, until)
	case model.CauseQueueFull, model.CauseDeadline:
		s.heldUntil[o.Rank] = max(s.heldUntil[o.Rank], until)
	case model.CauseOverload:
		s.holdRanks(o.Rank, until)
	case model.CauseNoBackend, model.CauseNotOwner, model.CauseOwnerLost, model.CauseStopping:
		s.holdRanks(model.Urgent, until)
	}
}

// holdRanks holds a rank back and every less urgent one.
func (s *ownerState) holdRanks(from model.Rank, until model.Instant) {
	for r := from; r <= model.Background; r++ {
		s.heldUntil[r] = max(s.heldUntil[r], until)
	}
}

// held reports whether the owner is to be spared a request for now.
func (s *ownerState) held(now model.Instant, rank model.Rank, spill bool) bool {
	return now < s.heldUntil[rank] || (spill && now < s.spillHeld)
}
