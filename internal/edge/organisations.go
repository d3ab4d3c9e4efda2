package edge

import (
	"fmt"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/dispatch"
	"github.com/primrosenotch/primrosenotch/internal/httpheader"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// keyDigest returns the digest of the key that a request carries, and false if it carries
// none. Two Authorization fields are ambiguous and carry none.
func keyDigest(header httpheader.List) (catalog.KeyDigest, bool) {
	credentials, found := "", false
	for i := range header {
		if !strings.EqualFold(header[i].Name, "Authorization") {
			continue
		}
		if found {
			return catalog.KeyDigest{}, false
		}
		credentials, found = header[i].Value, true
	}
	scheme, key, _ := strings.Cut(credentials, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return catalog.KeyDigest{}, false
	}
	return catalog.DigestKey(strings.Trim(key, " \t"))
}

const (
	// maxOrganisationLabels bounds the values of the organisation label, otherOrganisations
	// included.
	maxOrganisationLabels = 100
	// otherOrganisations is the label of the organisations beyond that.
	otherOrganisations = "other"
)

// outcomeClass is a coarse outcome of an organisation's request. It is a metric label.
type outcomeClass uint8

const (
	classServed outcomeClass = iota
	classOverQuota
	classNoCapacity
	classOther

	classCount
)

var classNames = [classCount]string{"served", "over-quota", "no-capacity", "other"}

// classOf returns the class of a request's outcome.
func classOf(outcome model.Outcome, cause model.Cause) outcomeClass {
	if outcome == model.Served || outcome == model.Late {
		return classServed
	}
	if outcome != model.NotRun {
		return classOther
	}
	switch cause {
	case model.CauseOverQuota:
		return classOverQuota
	case model.CauseQueueFull, model.CauseNoBackend, model.CauseShed, model.CauseOverload, model.CauseRetryBudget:
		return classNoCapacity
	default:
		return classOther
	}
}

// organisationMetrics counts requests by organisation and class of outcome.
type organisationMetrics struct {
	vec *prometheus.CounterVec
	// refusals counts refusals by services that are short of room.
	refusals *prometheus.CounterVec
	// counters holds the counters of the organisations that have a label of their own. The map
	// is replaced, not changed.
	counters atomic.Pointer[map[model.OrganisationName]*[classCount]prometheus.Counter]
}

func newOrganisationMetrics() *organisationMetrics {
	m := &organisationMetrics{vec: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "primrosenotch_edge_organisation_requests_total", Help: "Requests of organisations by organisation and class of outcome.",
	}, []string{"organisation", "class"})}
	m.refusals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "primrosenotch_edge_contended_refusals_total", Help: "Requests refused by services short of room, by organisation and standing.",
	}, []string{"organisation", "standing"})
	m.counters.Store(&map[model.OrganisationName]*[classCount]prometheus.Counter{})
	return m
}

func (m *organisationMetrics) countersOf(label string) *[classCount]prometheus.Counter {
	var counters [classCount]prometheus.Counter
	for class, name := range classNames {
		counters[class] = m.vec.WithLabelValues(label, name)
	}
	return &counters
}

// setOrganisations gives the organisations of a configuration labels of their own, up to the
// limit. Those that have one keep it, and the labels of removed ones are deleted. The caller
// must hold Edge.mu.
func (m *organisationMetrics) setOrganisations(list []catalog.Organisation) {
	old := *m.counters.Load()
	next := make(map[model.OrganisationName]*[classCount]prometheus.Counter, len(list))
	for i := range list {
		if counters := old[list[i].Name]; counters != nil {
			next[list[i].Name] = counters
		}
	}
	for i := range list {
		name := list[i].Name
		if len(next) < maxOrganisationLabels-1 && next[name] == nil && name != otherOrganisations {
			next[name] = m.countersOf(string(name))
		}
	}
	m.counters.Store(&next)
	for name := range old {
		if next[name] == nil {
			m.vec.DeletePartialMatch(prometheus.Labels{"organisation": string(name)})
			m.refusals.DeletePartialMatch(prometheus.Labels{"organisation": string(name)})
		}
	}
}

// requestEnded counts a request of an organisation.
func (m *organisationMetrics) requestEnded(name model.OrganisationName, outcome model.Outcome, cause model.Cause) {
	if name == "" {
		return
	}
	class := classOf(outcome, cause)
	if counters := (*m.counters.Load())[name]; counters != nil {
		counters[class].Inc()
		return
	}
	m.vec.WithLabelValues(otherOrganisations, classNames[class]).Inc()
}

// noOrganisation is the label of requests without an organisation.
const noOrganisation = "none"

// refused counts a refusal if the service was short of room.
func (m *organisationMetrics) refused(f *dispatch.Refuse) {
	if f.Inputs == nil || f.Inputs.Standing == nil || f.Cause != model.CauseQueueFull {
		return
	}
	label := otherOrganisations
	if f.Organisation == "" {
		label = noOrganisation
	} else if (*m.counters.Load())[f.Organisation] != nil {
		label = string(f.Organisation)
	}
	m.refusals.WithLabelValues(label, standingLabel(f.Inputs.Standing)).Inc()
}

// standingLabel returns the metric label for what a refused request might claim.
func standingLabel(st *dispatch.Standing) string {
	switch {
	case st.ComesBackEarly:
		return "early"
	case st.OverShare:
		return "over-share"
	case st.Urgency > 0:
		return "less-urgent"
	default:
		return "within-share"
	}
}

// requestEnded counts a request of an organisation, empty if it has none.
func (e *Edge) requestEnded(organisation model.OrganisationName, outcome model.Outcome, cause model.Cause) {
	e.metrics.requestEnded(outcome, cause)
	e.metrics.organisations.requestEnded(organisation, outcome, cause)
}

// unknownHomeRegions returns an error for each home region of an organisation that is not in
// the settings, and so admits no server.
func (e *Edge) unknownHomeRegions(c *catalog.Configuration) []error {
	if len(c.Organisations) == 0 {
		return nil
	}
	known := lo.Values(e.options.Regions)
	var errs []error
	for i := range c.Organisations {
		for _, region := range c.Organisations[i].HomeRegions {
			if !slices.Contains(known, region) {
				errs = append(errs, fmt.Errorf("organisation %q: home region %q is not in the settings and admits no server", c.Organisations[i].Name, region))
			}
		}
	}
	return errs
}

// organisationStatus describes an organisation and its use of this instance for operators.
func organisationStatus(u dispatch.OrganisationUse, _ int) control.Organisation {
	o := control.Organisation{
		Name: u.Name, Arrived: u.Arrived, Sent: u.Sent, Limited: u.HasLimit, Rate: u.Rate, Burst: u.Burst, HomeRegions: u.HomeRegions,
	}
	if u.HasPriority {
		o.Priority = &u.Priority
	}
	return o
}
