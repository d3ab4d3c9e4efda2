package reducer

import (
	"maps"
	"slices"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/pacing"
)

// serverRate is the number of requests per second that a backend server said it takes. Its
// owner sends all of them, so that the rate is not shared.
type serverRate struct {
	perSecond float64
	sends     pacing.Window // since the server named a rate
}

// left returns how many requests may be sent at once.
func (s *serverRate) left(now model.Instant) int {
	units, _ := pacing.RateUnits(s.perSecond, 1)
	return max(0, units-s.sends.Count(now))
}

// rateNamed applies what a server says in an answer. Without a rate in it, the rate ends if the
// answer is a complete one: refusals need not name it.
func (r *Reducer) rateNamed(ev *event.AttemptFinished) {
	known := r.rates[ev.Backend]
	switch {
	case ev.RateNamed && known == nil:
		known = &serverRate{}
		r.rates[ev.Backend] = known
		fallthrough
	case ev.RateNamed:
		known.perSecond = ev.Rate
		_, known.sends.Span = pacing.RateUnits(ev.Rate, 1)
	case known != nil && ev.Result == event.AttemptComplete:
		delete(r.rates, ev.Backend)
		r.admission.SetLimit(ev.At, ev.Backend, r.health.Limit(ev.At, ev.Backend))
	}
}

// countRate counts a request that is sent to a server.
func (r *Reducer) countRate(now model.Instant, backend model.BackendName) {
	if s := r.rates[backend]; s != nil {
		s.sends.Add(now)
	}
}

// applyRates bounds the requests that servers with a rate may be running by those that run and
// those that may be started. The load pattern is a server in need that has free slots.
func (r *Reducer) applyRates(now model.Instant) {
	if len(r.rates) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(r.rates)) {
		if !r.owned[name] {
			delete(r.rates, name)
			continue
		}
		allowed := r.admission.InUse(name) + r.rates[name].left(now)
		r.admission.SetLimit(now, name, min(r.health.Limit(now, name), allowed))
	}
}
