//go:build review

package main

import (
	"strings"
	"time"
)

const (
	hostName    = "hulo84.example"
	readPrefix  = "/leny950/"
	orderPrefix = "/puka111/"
)

type configRoute struct {
	Name        string   `json:"name"`
	Host        string   `json:"hostname"`
	Prefix      string   `json:"prefix"`
	Kind        string   `json:"kind"`
	TimeoutMs   int64    `json:"timeoutMs"`
	GoalMs      int64    `json:"goalMs"`
	Priority    int      `json:"priority"`
	Service     string   `json:"service"`
	Attempts    int      `json:"attempts"`
	Sticky      bool     `json:"sticky"`
	HomeRegions []string `json:"homeRegions"`
}

type configService struct {
	Name     string  `json:"name"`
	Health   string  `json:"healthPath"`
	MaxConns int     `json:"maxConns"`
	Protocol string  `json:"protocol"`
	TLS      bool    `json:"tls"`
	ColdS    float64 `json:"coldS"`
	ColdPerS float64 `json:"coldPerS"`
}

type configLimits struct {
	HeaderBytes     int   `json:"maxHeaderBytes"`
	BodyBytes       int   `json:"maxBodyBytes"`
	HeaderTimeoutMs int64 `json:"headerTimeoutMs"`
	IdleTimeoutMs   int64 `json:"idleTimeoutMs"`
}

type configuration struct {
	Version  int64           `json:"version"`
	Routes   []configRoute   `json:"routes"`
	Services []configService `json:"services"`
	Limits   configLimits    `json:"limits"`
}

func readRoute(service string) configRoute {
	return configRoute{
		Name: "r-read", Host: hostName, Prefix: readPrefix, Kind: "idempotent", TimeoutMs: 2500, GoalMs: 500,
		Service: service, Attempts: 2, HomeRegions: []string{},
	}
}

func orderRoute(service string) configRoute {
	return configRoute{
		Name: "r-order", Host: hostName, Prefix: orderPrefix, Kind: "non_idempotent", TimeoutMs: 3000, GoalMs: 800,
		Priority: 1, Service: service, Attempts: 2, HomeRegions: []string{},
	}
}

// coldPerS and coldFor are those of the services of the site anrf-balanco.
const (
	coldPerS = 2.6
	coldFor  = 3 * time.Second
)

// putConfig writes the configuration as the operator does.
func (r *rig) putConfig(version int64, service string, routes ...configRoute) {
	r.putConfigOf(version, []string{service}, routes...)
}

func (r *rig) putConfigOf(version int64, services []string, routes ...configRoute) {
	c := configuration{
		Version: version, Routes: routes,
		Limits: configLimits{HeaderBytes: 16384, BodyBytes: 67108864, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
	for _, name := range services {
		c.Services = append(c.Services, configService{Name: name, Health: healthPath, MaxConns: 330, Protocol: "h1", ColdS: coldFor.Seconds(), ColdPerS: coldPerS})
	}
	r.store.put("op", "config", c)
	r.record("configuration %d acknowledged", version)
}

// isOrder reports whether the route of a path is that of orders: the one with the longest prefix that
// begins the path.
func isOrder(path string) bool {
	return strings.HasPrefix(path, orderPrefix) && !strings.HasPrefix(path, plansRoute)
}
