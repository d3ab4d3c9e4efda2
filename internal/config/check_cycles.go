package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// visitState is the state of a service in the depth-first search.
type visitState uint8

const (
	unvisited visitState = iota
	onPath
	visited
)

// cycleSearch is a depth-first search over the dependencies of the services.
type cycleSearch struct {
	p        *parser
	services map[model.ServiceName]located[Service]
	state    map[model.ServiceName]visitState
	path     []model.ServiceName
}

// checkCycles reports a cycle for each dependency that leads back to a service on
// the path of the search.
func (p *parser) checkCycles() {
	search := &cycleSearch{
		p:        p,
		services: make(map[model.ServiceName]located[Service], len(p.services)),
		state:    make(map[model.ServiceName]visitState, len(p.services)),
	}
	for _, s := range p.services {
		if _, found := search.services[s.value.Name]; !found {
			search.services[s.value.Name] = s
		}
	}
	for _, s := range p.services {
		search.visit(s.value.Name)
	}
}

func (c *cycleSearch) visit(name model.ServiceName) {
	service, found := c.services[name]
	if !found || c.state[name] == visited {
		return
	}
	c.state[name] = onPath
	c.path = append(c.path, name)
	for _, dependency := range service.value.DependsOn {
		if c.state[dependency] == onPath {
			c.report(service.section, dependency)
			continue
		}
		c.visit(dependency)
	}
	c.path = c.path[:len(c.path)-1]
	c.state[name] = visited
}

// report adds the problem for the cycle that closes at cycleStart, a service on the
// path. The section is that of the last service on the path.
func (c *cycleSearch) report(s *section, cycleStart model.ServiceName) {
	start := slices.Index(c.path, cycleStart)
	var names []string
	for _, name := range c.path[start:] {
		names = append(names, string(name))
	}
	names = append(names, string(cycleStart))
	c.p.report(s, keyDependsOn, fmt.Sprintf("the dependencies form a cycle: %s", strings.Join(names, " -> ")), "remove one of these dependencies")
}
