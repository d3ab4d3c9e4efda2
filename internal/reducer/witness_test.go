package reducer

import (
	"maps"
	"slices"

	"pgregory.net/rapid"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// witness follows offers from the outside and fails on a broken promise.
type witness struct {
	t         *rapid.T
	offered   map[model.RequestID]model.RouteName
	claiming  map[model.RequestID]bool
	claimed   map[model.RequestID]bool
	running   map[model.RequestID]model.BackendName
	uncertain map[model.RequestID]bool
	closed    map[model.RequestID]bool
}

func newWitness(t *rapid.T) *witness {
	return &witness{
		t:         t,
		offered:   make(map[model.RequestID]model.RouteName),
		claiming:  make(map[model.RequestID]bool),
		claimed:   make(map[model.RequestID]bool),
		running:   make(map[model.RequestID]model.BackendName),
		uncertain: make(map[model.RequestID]bool),
		closed:    make(map[model.RequestID]bool),
	}
}

func (w *witness) see(effects []event.Effect) {
	for _, f := range effects {
		switch f := f.(type) {
		case *event.Claim:
			w.claiming[f.Request] = true
		case *event.Dispatch:
			w.dispatched(f)
		case *event.RefuseOffer:
			w.refused(f)
		case *event.Replay:
			w.end(f.Request)
		}
	}
}

func (w *witness) dispatched(f *event.Dispatch) {
	if w.closed[f.Request] {
		w.t.Fatalf("request %d dispatched after its end", f.Request)
	}
	if w.offered[f.Request] == "order" {
		if !w.claimed[f.Request] {
			w.t.Fatalf("once request %d dispatched without a claim", f.Request)
		}
		if w.uncertain[f.Request] {
			w.t.Fatalf("once request %d dispatched again after it may have run", f.Request)
		}
	}
	for id, backend := range w.running {
		if backend == f.Backend {
			w.t.Fatalf("requests %d and %d share the one slot of %s", id, f.Request, backend)
		}
	}
	w.running[f.Request] = f.Backend
}

func (w *witness) refused(f *event.RefuseOffer) {
	if _, ok := w.running[f.Request]; ok {
		w.t.Fatalf("request %d refused while it runs", f.Request)
	}
	if f.Outcome == model.NotRun && w.uncertain[f.Request] {
		w.t.Fatalf("request %d refused as not-run after it may have run", f.Request)
	}
	if f.Release && w.uncertain[f.Request] {
		w.t.Fatalf("claim of request %d released after it may have run", f.Request)
	}
	w.end(f.Request)
}

func (w *witness) end(id model.RequestID) {
	if w.closed[id] {
		w.t.Fatalf("request %d ended twice", id)
	}
	w.closed[id] = true
}

// ended notes the end of an attempt before the reducer learns of it.
func (w *witness) ended(id model.RequestID, result event.AttemptResult) {
	delete(w.running, id)
	switch result {
	case event.AttemptShed, event.AttemptNotSent:
	case event.AttemptComplete, event.AttemptFailed, event.AttemptCut:
		w.end(id)
	default:
		w.uncertain[id] = true
	}
}

func (w *witness) anyRunning(t *rapid.T) (model.RequestID, model.BackendName, bool) {
	ids := slices.Sorted(maps.Keys(w.running))
	if len(ids) == 0 {
		return 0, "", false
	}
	id := rapid.SampledFrom(ids).Draw(t, "running")
	return id, w.running[id], true
}

func (w *witness) anyClaiming(t *rapid.T) (model.RequestID, bool) {
	ids := slices.Sorted(maps.Keys(w.claiming))
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(t, "claiming"), true
}

func (w *witness) anyOpen(t *rapid.T) (model.RequestID, bool) {
	var ids []model.RequestID
	for id := range w.offered {
		if !w.closed[id] {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "open"), true
}
