package dispatch

import (
	"slices"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// split distributes a route's requests over its services in proportion to their
// weights. The service with the largest deficit is next.
type split struct {
	targets []catalog.Target
	deficit []float64 // share of the requests so far minus the requests received
	total   float64
}

func newSplit(targets []catalog.Target) *split {
	s := &split{targets: slices.Clone(targets), deficit: make([]float64, len(targets))}
	for _, t := range targets {
		s.total += t.Weight
	}
	return s
}

func (s *split) next() model.ServiceName {
	if len(s.targets) == 1 {
		return s.targets[0].Service
	}
	best := 0
	for i := range s.targets {
		s.deficit[i] += s.targets[i].Weight / s.total
		if s.deficit[i] > s.deficit[best] {
			best = i
		}
	}
	s.deficit[best]--
	return s.targets[best].Service
}

// peek returns what next would return, and changes nothing.
func (s *split) peek() model.ServiceName {
	ahead := split{targets: s.targets, deficit: slices.Clone(s.deficit), total: s.total}
	return ahead.next()
}
