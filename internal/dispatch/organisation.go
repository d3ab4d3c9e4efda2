package dispatch

import (
	"fmt"
	"math"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/pacing"
)

// useWindow is the time over which the requests of an organisation are counted for operators.
const useWindow = 5 * time.Second

// nothingAllowedRetryAfter is the Retry-After value for organisations that may send nothing,
// which only another configuration can change.
const nothingAllowedRetryAfter = 10 * time.Second

// organisationUse counts the requests of an organisation at this instance.
type organisationUse struct {
	arrived *pacing.Counter
	sent    *pacing.Counter // to a backend server for the first time
}

// OrganisationUse is the use that an organisation makes of this instance.
type OrganisationUse struct {
	*catalog.Organisation
	Arrived float64 // requests per second
	Sent    float64 // requests per second that were sent to a backend server
}

// adoptOrganisations decides whether keys are checked and begins to count the requests of
// added organisations. An empty list means that keys are not checked, unless it replaces a
// list that is not: then all organisations have been removed, and admitting every caller would
// admit those whose keys were withdrawn.
func (d *Dispatcher) adoptOrganisations(c *catalog.Configuration) {
	d.checksKeys = c.ChecksKeys || (d.checksKeys && c.Organisations != nil)
	uses := make(map[model.OrganisationName]*organisationUse, len(c.Organisations))
	for i := range c.Organisations {
		name := c.Organisations[i].Name
		uses[name] = d.organisationUses[name]
		if uses[name] == nil {
			uses[name] = &organisationUse{arrived: pacing.NewCounter(useWindow), sent: pacing.NewCounter(useWindow)}
		}
	}
	d.organisationUses = uses
}

// identify returns the organisation that sends a request, nil if there is none, and whether
// the key admits the request. If keys are not checked, every request is admitted and has no
// organisation.
func (d *Dispatcher) identify(r *catalog.Route, key catalog.KeyDigest, hasKey bool) (*catalog.Organisation, bool) {
	if !d.checksKeys {
		return nil, true
	}
	var organisation *catalog.Organisation
	if hasKey {
		organisation = d.config.Identify(key)
	}
	return organisation, organisation != nil || r.Public
}

// stillAdmitted reports whether the configuration in force admits a request that arrived
// earlier, and applies it to the request. The key may have been withdrawn meanwhile, or belong
// to another organisation.
func (d *Dispatcher) stillAdmitted(q *request) bool {
	if q.identifiedBy == d.config {
		return true
	}
	organisation, admitted := d.identify(q.route, q.key, q.hasKey)
	if admitted {
		d.setOrganisation(q, organisation)
	}
	return admitted
}

// setOrganisation sets the sender of a request as the configuration in force names it.
func (d *Dispatcher) setOrganisation(q *request, o *catalog.Organisation) {
	q.organisation, q.identifiedBy = o, d.config
	q.keyChecked = q.keyChecked || d.checksKeys
	q.lessUrgent = q.priority() > d.service(q.service).mostUrgent
}

// priority returns the priority of a request, 0 for the most urgent: that of its
// organisation, or else of its route.
func (q *request) priority() int {
	if q.organisation != nil && q.organisation.HasPriority {
		return q.organisation.Priority
	}
	return q.route.Priority
}

// mayRunIn reports whether the home regions of both the route and the organisation of a
// request include a region.
func (q *request) mayRunIn(region model.RegionName) bool {
	return catalog.InHomeRegions(q.route.HomeRegions, region) &&
		(q.organisation == nil || catalog.InHomeRegions(q.organisation.HomeRegions, region))
}

// nameOf returns the name of an organisation, empty for nil.
func nameOf(o *catalog.Organisation) model.OrganisationName {
	if o == nil {
		return ""
	}
	return o.Name
}

// mostUrgentOf returns a function that returns the priority of the most urgent requests of a
// route.
func (d *Dispatcher) mostUrgentOf(c *catalog.Configuration) func(r *catalog.Route) int {
	if !d.checksKeys {
		return func(r *catalog.Route) int { return r.Priority }
	}
	mostUrgent, routesApply := math.MaxInt, len(c.Organisations) == 0
	for i := range c.Organisations {
		if o := &c.Organisations[i]; o.HasPriority {
			mostUrgent = min(mostUrgent, o.Priority)
		} else {
			routesApply = true
		}
	}
	return func(r *catalog.Route) int {
		if r.Public || routesApply {
			return min(mostUrgent, r.Priority)
		}
		return mostUrgent
	}
}

func (d *Dispatcher) countArrived(now model.Instant, o *catalog.Organisation) {
	if o == nil {
		return
	}
	if use := d.organisationUses[o.Name]; use != nil {
		use.arrived.Add(now, 1)
	}
}

func (d *Dispatcher) countSent(now model.Instant, o *catalog.Organisation) {
	if o == nil {
		return
	}
	// A configuration may have removed the organisation of a request that is hedged.
	if use := d.organisationUses[o.Name]; use != nil {
		use.sent.Add(now, 1)
	}
}

// OrganisationUses returns the organisations in the order of the configuration, with their
// use of this instance.
func (d *Dispatcher) OrganisationUses(now model.Instant) []OrganisationUse {
	if d.config == nil || !d.checksKeys {
		return nil
	}
	list := make([]OrganisationUse, 0, len(d.config.Organisations))
	for i := range d.config.Organisations {
		o := &d.config.Organisations[i]
		use := d.organisationUses[o.Name]
		list = append(list, OrganisationUse{
			Organisation: o,
			Arrived:      float64(use.arrived.Count(now)) / useWindow.Seconds(),
			Sent:         float64(use.sent.Count(now)) / useWindow.Seconds(),
		})
	}
	return list
}

// ChecksKeys reports whether requests on routes that are not public need the key of an
// organisation.
func (d *Dispatcher) ChecksKeys() bool { return d.checksKeys }

// describeOrganisations describes the organisations of a configuration for its log line.
func (d *Dispatcher) describeOrganisations(c *catalog.Configuration) string {
	if !d.checksKeys {
		return ""
	}
	return fmt.Sprintf("; keys of %d organisations are checked", len(c.Organisations))
}
