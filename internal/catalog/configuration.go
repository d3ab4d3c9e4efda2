// Package catalog defines what an entry instance knows of services that are listed by
// the platform rather than by the operators' text: routes, services, backend servers and
// evacuated zones. It does no I/O and reads no clock.
package catalog

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Target is a service to which a route sends requests, with its weight.
type Target struct {
	Service model.ServiceName
	Weight  float64 // above 0
}

// Route defines where requests for a host and a path prefix are sent.
type Route struct {
	Name    model.RouteName
	Host    string
	Prefix  string // begins and ends with a slash
	Kind    model.Kind
	Targets []Target // at least one
	// Timeout is the longest time that a caller's request may take, 0 for no limit.
	Timeout time.Duration
	// Objective is the time within which a response has its full value, 0 if unknown.
	Objective time.Duration
	Attempts  int // maximum number of backend servers per request, at least 1
	Priority  int // 0 is the most urgent
	// HomeRegions lists the only regions that may serve the route; empty means any.
	HomeRegions []model.RegionName
	// Sticky reports whether a server answers a request faster if it has recently
	// served the same object, which the request's affinity key identifies.
	Sticky bool
	// Public reports whether requests need no key of an organisation.
	Public bool
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name           model.ServiceName
	HealthPath     string
	MaxConnections int           // limit per server over all instances, 0 if unknown
	ColdFor        time.Duration // how long after its start a server is cold, that is, handles only ColdRate
	ColdRate       float64       // requests per second that a cold server can handle
}

// Limits restrict callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of routes, services and limits.
type Configuration struct {
	Version  int64 // a higher version replaces a lower one
	Routes   []Route
	Services []Service
	Limits   Limits
	// Organisations is nil if the configuration does not mention any, and empty but not nil
	// if it lists none. Index removes those without a name or with the name of an earlier one.
	Organisations []Organisation
	// ChecksKeys reports whether requests on routes that are not public need the key of an
	// organisation. Otherwise organisations have no effect.
	ChecksKeys bool
	// Unknown holds the parts that were not understood and have been replaced by the
	// strictest reading.
	Unknown []error

	byHost        map[string][]*Route // longest prefix first
	services      map[model.ServiceName]*Service
	byKey         map[KeyDigest]*Organisation // nil for a key that identifies none
	organisations map[model.OrganisationName]*Organisation
}

// Index builds the lookup tables for Match, Service, Identify and Organisation. It must be called once, before
// the configuration is shared.
func (c *Configuration) Index() {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	c.services = make(map[model.ServiceName]*Service, len(c.Services))
	for i := range c.Services {
		c.services[c.Services[i].Name] = &c.Services[i]
	}
	c.indexOrganisations()
}

// Match returns the route of the host with the longest prefix of the path, or nil if
// none matches.
func (c *Configuration) Match(host, path string) *Route {
	for _, r := range c.routesForHost(host) {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// KnowsHost reports whether any route has the given host.
func (c *Configuration) KnowsHost(host string) bool { return len(c.routesForHost(host)) > 0 }

func (c *Configuration) routesForHost(host string) []*Route {
	host = strings.ToLower(host)
	if routes, ok := c.byHost[host]; ok {
		return routes
	}
	if name, _, err := net.SplitHostPort(host); err == nil {
		return c.byHost[name]
	}
	return nil
}

// Service returns the service with the given name, or nil if there is none. The
// configuration may be nil.
func (c *Configuration) Service(name model.ServiceName) *Service {
	if c == nil {
		return nil
	}
	return c.services[name]
}
