package edge

import (
	"context"
	"slices"
	"strings"

	"github.com/samber/lo"

	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/dispatch"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Status returns the state of this instance for operators.
func (e *Edge) Status(context.Context) control.Status {
	now := e.clock.now()
	status := control.Status{
		Instance:    e.options.Self.ID,
		Zone:        e.options.Self.Zone,
		State:       e.stateName(),
		Incarnation: uint64(e.options.Self.StartedNanos),
		At:          now.Time(),
		Direct:      &control.Direct{},
	}
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	status.Peers = lo.Map(e.group.Peers(), func(p membership.Peer, _ int) control.Peer { return control.NewPeer(now, &p) })
	status.Direct.Tables = e.tableCopies(now)
	status.Platform = platformStatus(status.Direct.Tables)
	e.mu.Lock()
	defer e.mu.Unlock()
	if c := e.dispatcher.Configuration(); c != nil {
		status.Configuration.Revision = c.Version
	}
	status.Direct.Servers = e.dispatcher.Servers()
	status.Direct.CrashSuspects = lo.CountBy(e.dispatcher.Suspects(now), func(s membership.Suspect) bool { return !s.Cleared() })
	status.Direct.Restricted = lo.Map(e.dispatcher.RestrictedServers(now), func(s dispatch.ServerStatus, _ int) control.RestrictedServer {
		return control.RestrictedServer{Server: s.ID, Service: s.Service, Zone: s.Zone, Health: s.Condition, Detail: s.Detail, InFlight: s.InFlight}
	})
	status.Direct.Retries = lo.Map(e.dispatcher.RetryUses(now), func(u dispatch.RetryUse, _ int) control.RetryUse {
		return control.RetryUse{Service: u.Service, FirstSends: u.FirstSends, Retries: u.Retries}
	})
	status.Direct.Organisations = lo.Map(e.dispatcher.OrganisationUses(now), organisationStatus)
	return status
}

// Route returns where this instance would send a request now, without sending it.
func (e *Edge) Route(_ context.Context, q control.RouteQuery) control.RouteAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return control.RouteAnswer{
		Instance: e.options.Self.ID,
		Zone:     e.options.Self.Zone,
		Region:   e.options.Region,
		Method:   q.Method,
		Host:     q.Host,
		Path:     q.Path,
		Object:   q.Affinity,
		Plan:     *e.dispatcher.Plan(e.clock.now(), &q.Question),
	}
}

// stateName returns the state that this instance announces, and starting until it can serve.
func (e *Edge) stateName() string {
	switch {
	case e.stopping.Load():
		return membership.Leaving.String()
	case e.Ready():
		return membership.Ready.String()
	default:
		return membership.Starting.String()
	}
}

// tableCopies describes the copies of the platform's tables. The caller must hold fleetMu.
func (e *Edge) tableCopies(now model.Instant) []control.TableCopy {
	results := e.published.Load()
	reading := results != nil && results.readerRank < readersPerRegion
	return lo.Map(e.options.tableNames(), func(table string, _ int) control.TableCopy {
		c := control.TableCopy{Table: table, Age: -1, Reading: reading, Failing: e.readFailed[table]}
		if at := e.replica.FreshAt(table); at != 0 {
			c.Age = now.Sub(at)
		}
		return c
	})
}

// platformStatus summarizes the reads of the platform's tables.
func platformStatus(tables []control.TableCopy) control.Platform {
	failing := lo.FilterMap(tables, func(t control.TableCopy, _ int) (string, bool) { return t.Table, t.Failing })
	if len(failing) == 0 {
		return control.Platform{State: "closed"}
	}
	slices.Sort(failing)
	return control.Platform{State: "open", Reason: "the last read failed: " + strings.Join(failing, ", ")}
}
