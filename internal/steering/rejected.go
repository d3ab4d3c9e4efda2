package steering

import (
	"slices"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// reject records that the current Choose skipped a zone, or an owner in it.
func (p *Planner) reject(c *cell, owner model.InstanceID, spill bool, cause model.Cause) {
	p.rejected = append(p.rejected, model.Rejected{Zone: c.zone, Owner: owner, Spill: spill, Cause: cause})
}

func (p *Planner) rejectOwner(r *request, c *cell, i int, spill bool, cause model.Cause) {
	owner := c.owners[i].Instance
	p.reject(c, owner, spill, cause)
	p.rejected[len(p.rejected)-1].AlreadyTried = slices.Contains(r.tried, owner)
}

// Rejected returns the zones and owners that the last Choose skipped, with causes,
// in the order in which they were considered. The slice is valid until the next
// call of Choose.
func (p *Planner) Rejected() []model.Rejected { return p.rejected }

// candidatesOf returns the zones of a plan, for explanations of its choices.
func candidatesOf(built *plan) *model.Candidates {
	list := &model.Candidates{Baseline: built.baseline.zones}
	for _, tier := range built.tiers {
		for i := range tier {
			list.Spill = append(list.Spill, tier[i].cell.zone)
		}
	}
	return list
}
