package config

import (
	"cmp"
	"slices"

	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/zeebo/xxh3"
)

// maxAncestors limits the number of ancestors that a revision carries.
const maxAncestors = 64

// Order is the place of a revision among all that instances hold. Within one history of
// the table Number grows and AcceptedAt never decreases. A restored table gives numbers out
// again; Restores is raised where the others would hide a later revision. Identity only
// makes all instances agree on one of two revisions that are otherwise equal.
type Order struct {
	Restores   int64
	AcceptedAt model.Instant
	Number     int64
	Identity   uint64
}

// Compare returns a negative number, zero or a positive number if o is before, the same
// as or after other.
func (o Order) Compare(other Order) int {
	return cmp.Or(cmp.Compare(o.Restores, other.Restores), cmp.Compare(o.AcceptedAt, other.AcceptedAt),
		cmp.Compare(o.Number, other.Number), cmp.Compare(o.Identity, other.Identity))
}

// After reports whether o is after other. Orders of instances of an earlier version have
// no time of acceptance; there the numbers decide.
func (o Order) After(other Order) bool {
	if o.AcceptedAt == 0 || other.AcceptedAt == 0 {
		return o.Number > other.Number
	}
	return o.Compare(other) > 0
}

// Order returns the place of r, the zero Order for nil.
func (r *Revision) Order() Order {
	if r == nil {
		return Order{}
	}
	return Order{
		Restores:   r.Restores,
		AcceptedAt: model.Instant(unixNano(r.AcceptedAt)),
		Number:     r.Number,
		Identity:   r.Identity(),
	}
}

// Identity returns a hash that tells revisions apart even if they have the same number.
func (r *Revision) Identity() uint64 {
	h := xxh3.New()
	hashNumber(h, uint64(r.Number))
	hashBytes(h, []byte(r.OperationID))
	hashNumber(h, uint64(unixNano(r.AcceptedAt)))
	hashNumber(h, r.Hash)
	return h.Sum64()
}

// AncestorsOfNext returns the ancestors of a successor of r, which may be nil.
func (r *Revision) AncestorsOfNext() []uint64 {
	if r == nil {
		return nil
	}
	ancestors := append([]uint64{r.Identity()}, r.Ancestors...)
	return ancestors[:min(len(ancestors), maxAncestors)]
}

// precedes reports whether r is a known ancestor of other.
func (r *Revision) precedes(other *Revision) bool {
	return slices.Contains(other.Ancestors, r.Identity())
}

// Related reports whether r and other are the same revision or one is a known ancestor of
// the other.
func (r *Revision) Related(other *Revision) bool {
	return r.Identity() == other.Identity() || r.precedes(other) || other.precedes(r)
}

// atLeast returns r with Restores of at least restores.
func (r *Revision) atLeast(restores int64) *Revision {
	if restores <= r.Restores {
		return r
	}
	raised := *r
	raised.Restores = restores
	return &raised
}

// Preferred returns the revision to run, given the one in force, which may be nil, and one
// that a peer offers. The result is active itself if nothing changes.
func Preferred(active, offered *Revision) *Revision {
	switch {
	case active == nil:
		return offered
	case offered.Identity() == active.Identity(), offered.precedes(active):
		return active.atLeast(offered.Restores)
	case active.precedes(offered):
		return offered.atLeast(active.Restores)
	case offered.Order().Compare(active.Order()) > 0:
		return offered
	}
	return active
}

// Current returns the revision to run, given the one in force, which may be nil, and the
// current one of the table. The result is active itself if nothing changes; lost reports
// that the table does not hold it, because it was restored from a copy.
func Current(active, stored *Revision) (current *Revision, lost bool) {
	switch {
	case active == nil:
		return stored, false
	case stored.Identity() == active.Identity():
		return active, false
	case active.precedes(stored):
		return stored.atLeast(active.Restores), false
	case stored.precedes(active), active.mayFollow(stored):
		return active, true
	}
	current = stored.atLeast(active.Restores)
	if current.Order().Compare(active.Order()) <= 0 {
		current = stored.atLeast(active.Restores + 1)
	}
	return current, false
}

// mayFollow reports whether stored may be an ancestor of r that r's list of ancestors does
// not reach.
func (r *Revision) mayFollow(stored *Revision) bool {
	distance := r.Number - stored.Number
	return distance > int64(len(r.Ancestors)) && !stored.AcceptedAt.After(r.AcceptedAt)
}
