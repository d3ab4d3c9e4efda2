// Package catalog holds what an entry instance knows of the services that it
// steers to where the platform, and not the operators' text, lists them: routes,
// services, backend servers and evacuated zones. It is pure.
package catalog

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Target is a service that a route sends to, and its weight among the others.
type Target struct {
	Service model.ServiceName
	Weight  float64 // above 0
}

// Route says where requests for a host and a path prefix go.
type Route struct {
	Name    model.RouteName
	Host    string
	Prefix  string // begins and ends with a slash
	Kind    model.Kind
	Targets []Target // at least one
	// Timeout is the longest time that a request may be kept waiting, 0 for none.
	Timeout time.Duration
	// Goal is the time within which an answer is of full use, 0 where unknown.
	Goal     time.Duration
	Attempts int // backend servers that one request may be sent to, at least 1
	Priority int // 0 is the most urgent
	// Homes are the only regions that may serve the route, empty for any.
	Homes []model.RegionName
	// Sticky reports that servers answer faster where they know the object.
	Sticky bool
}

// Service is a group of backend servers that answer alike.
type Service struct {
	Name           model.ServiceName
	HealthPath     string
	MaxConnections int           // that one server takes from all instances together, 0 for unknown
	ColdFor        time.Duration // how long a server is cold after its start
	ColdRate       float64       // requests a second that a cold server bears
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of routes, services and limits.
type Configuration struct {
	Version  int64 // a higher one replaces a lower one
	Routes   []Route
	Services []Service
	Limits   Limits

	byHost   map[string][]*Route // longest prefix first
	services map[model.ServiceName]*Service
}

// Index prepares a configuration for Match and Service. It must be called once,
// before the configuration is shared.
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
}

// Match returns the route of the host with the longest prefix that begins the
// path, or nil.
func (c *Configuration) Match(host, path string) *Route {
	for _, r := range c.routesForHost(host) {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

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

// Service returns a service of the configuration, or nil.
func (c *Configuration) Service(name model.ServiceName) *Service { return c.services[name] }
