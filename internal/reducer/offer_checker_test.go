package reducer

import (
	"maps"
	"slices"

	"pgregory.net/rapid"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// offerChecker tracks offers by the reducer's effects and fails the test when an
// invariant is violated.
type offerChecker struct {
	t         *rapid.T
	offered   map[model.RequestID]model.RouteName
	claiming  map[model.RequestID]bool
	claimed   map[model.RequestID]bool
	running   map[model.RequestID]model.BackendName
	uncertain map[model.RequestID]bool
	ended     map[model.RequestID]bool
}

func newOfferChecker(t *rapid.T) *offerChecker {
	return &offerChecker{
		t:         t,
		offered:   make(map[model.RequestID]model.RouteName),
		claiming:  make(map[model.RequestID]bool),
		claimed:   make(map[model.RequestID]bool),
		running:   make(map[model.RequestID]model.BackendName),
		uncertain: make(map[model.RequestID]bool),
		ended:     make(map[model.RequestID]bool),
	}
}

func (c *offerChecker) observe(effects []event.Effect) {
	for _, f := range effects {
		switch f := f.(type) {
		case *event.Claim:
			c.claiming[f.Request] = true
		case *event.Dispatch:
			c.dispatched(f)
		case *event.RefuseOffer:
			c.refused(f)
		case *event.Replay:
			c.offerEnded(f.Request)
		}
	}
}

func (c *offerChecker) dispatched(f *event.Dispatch) {
	if c.ended[f.Request] {
		c.t.Fatalf("request %d dispatched after its end", f.Request)
	}
	if c.offered[f.Request] == "order" {
		if !c.claimed[f.Request] {
			c.t.Fatalf("once request %d dispatched without a claim", f.Request)
		}
		if c.uncertain[f.Request] {
			c.t.Fatalf("once request %d dispatched again after it may have run", f.Request)
		}
	}
	for id, backend := range c.running {
		if backend == f.Backend {
			c.t.Fatalf("requests %d and %d share the one slot of %s", id, f.Request, backend)
		}
	}
	c.running[f.Request] = f.Backend
}

func (c *offerChecker) refused(f *event.RefuseOffer) {
	if _, ok := c.running[f.Request]; ok {
		c.t.Fatalf("request %d refused while it runs", f.Request)
	}
	if f.Outcome == model.NotRun && c.uncertain[f.Request] {
		c.t.Fatalf("request %d refused as not-run after it may have run", f.Request)
	}
	if f.Release && c.uncertain[f.Request] {
		c.t.Fatalf("claim of request %d released after it may have run", f.Request)
	}
	c.offerEnded(f.Request)
}

func (c *offerChecker) offerEnded(id model.RequestID) {
	if c.ended[id] {
		c.t.Fatalf("request %d ended twice", id)
	}
	c.ended[id] = true
}

// attemptEnded records the end of an attempt before the reducer is informed of it.
func (c *offerChecker) attemptEnded(id model.RequestID, result event.AttemptResult) {
	delete(c.running, id)
	switch result {
	case event.AttemptShed, event.AttemptNotSent:
	case event.AttemptComplete, event.AttemptFailed, event.AttemptTruncated:
		c.offerEnded(id)
	default:
		c.uncertain[id] = true
	}
}

func (c *offerChecker) anyRunning(t *rapid.T) (model.RequestID, model.BackendName, bool) {
	ids := slices.Sorted(maps.Keys(c.running))
	if len(ids) == 0 {
		return 0, "", false
	}
	id := rapid.SampledFrom(ids).Draw(t, "running")
	return id, c.running[id], true
}

func (c *offerChecker) anyClaiming(t *rapid.T) (model.RequestID, bool) {
	ids := slices.Sorted(maps.Keys(c.claiming))
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(t, "claiming"), true
}

func (c *offerChecker) anyOpen(t *rapid.T) (model.RequestID, bool) {
	var ids []model.RequestID
	for id := range c.offered {
		if !c.ended[id] {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "open"), true
}
