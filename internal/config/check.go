package config

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/samber/lo"
)

const floorTolerance = 1e-9 // rounding of the sum of three fractions

// check reports faults that lie between sections.
func (p *parser) check() {
	zones := checkUnique(p, p.zones, func(z Zone) string { return string(z.Name) })
	services := checkUnique(p, p.services, func(s Service) string { return string(s.Name) })
	checkUnique(p, p.routes, func(r Route) string { return string(r.Name) })
	checkUnique(p, p.backends, func(b Backend) string { return string(b.Name) })
	checkUnique(p, p.callers, func(c CallerGroup) string { return string(c.Name) })
	p.checkReferences(zones, services)
	p.checkServices()
	p.checkCycles()
	p.checkAddresses()
	p.checkMatches()
	p.checkBlocks()
	p.checkFloors()
}

// checkUnique reports names that are used twice within one kind of section and
// returns all names.
func checkUnique[T any](p *parser, list []located[T], nameOf func(T) string) []string {
	first := make(map[string]int, len(list))
	names := make([]string, 0, len(list))
	for _, l := range list {
		name := nameOf(l.value)
		if line, found := first[name]; found {
			p.report(l.at, "", fmt.Sprintf("the section was given before on line %d", line), "rename one of the two or remove it")
			continue
		}
		first[name] = l.at.line
		names = append(names, name)
	}
	return names
}

// references reports names that no section defines.
type references struct {
	p     *parser
	kind  sectionKind
	names []string
	known map[string]bool
}

func newReferences(p *parser, kind sectionKind, names []string) *references {
	r := &references{p: p, kind: kind, names: names, known: make(map[string]bool, len(names))}
	for _, name := range names {
		r.known[name] = true
	}
	return r
}

func (r *references) check(s *section, key, name string) {
	if name == "" || r.known[name] {
		return
	}
	otherwise := fmt.Sprintf("add [%s %s]", r.kind, name)
	r.p.report(s, key, fmt.Sprintf("there is no %s %q", r.kind, name), suggest(name, r.names, otherwise))
}

func (p *parser) checkReferences(zoneNames, serviceNames []string) {
	zones := newReferences(p, kindZone, zoneNames)
	services := newReferences(p, kindService, serviceNames)
	for _, s := range p.services {
		for _, dependency := range s.value.DependsOn {
			services.check(s.at, keyDependsOn, string(dependency))
		}
	}
	for _, r := range p.routes {
		services.check(r.at, keyService, string(r.value.Service))
	}
	for _, b := range p.backends {
		services.check(b.at, keyService, string(b.value.Service))
		zones.check(b.at, keyZone, string(b.value.Zone))
	}
	for _, c := range p.callers {
		for _, zone := range c.value.Home {
			zones.check(c.at, keyHome, string(zone))
		}
	}
}

// checkServices reports services that no request reaches or none can serve.
func (p *parser) checkServices() {
	routed := map[model.ServiceName]bool{}
	for _, r := range p.routes {
		routed[r.value.Service] = true
	}
	served := map[model.ServiceName]bool{}
	for _, b := range p.backends {
		served[b.value.Service] = true
	}
	for _, s := range p.services {
		if !routed[s.value.Name] {
			p.report(s.at, "", "the service has no route", fmt.Sprintf("add a [route NAME] with service = %s", s.value.Name))
		}
		if !served[s.value.Name] {
			p.report(s.at, "", "the service has no backend server", fmt.Sprintf("add a [backend NAME] with service = %s", s.value.Name))
		}
	}
}

func (p *parser) checkAddresses() {
	first := make(map[netip.AddrPort]*section, len(p.backends))
	for _, b := range p.backends {
		if !b.value.Address.IsValid() {
			continue
		}
		if at, found := first[b.value.Address]; found {
			p.report(b.at, keyAddress, fmt.Sprintf("%s is the address of [%s] on line %d too", b.value.Address, at.title(), at.line), "give each backend server an address of its own")
			continue
		}
		first[b.value.Address] = b.at
	}
}

// routePattern is what a route matches.
type routePattern struct{ method, path string }

func (p *parser) checkMatches() {
	first := make(map[routePattern]*section, len(p.routes))
	for _, r := range p.routes {
		if r.value.Path == "" {
			continue
		}
		pattern := routePattern{r.value.Method, r.value.Path}
		if at, found := first[pattern]; found {
			p.report(r.at, keyMatch, fmt.Sprintf("[%s] on line %d matches the same requests", at.title(), at.line), "change one of the two or remove it")
			continue
		}
		first[pattern] = r.at
	}
}

// locatedBlock is one block of a caller group.
type locatedBlock struct {
	prefix netip.Prefix
	at     *section
}

// checkBlocks reports blocks that overlap. Sorted by address and length, a block
// overlaps an earlier one exactly if it overlaps the last one that was not itself
// contained in another.
func (p *parser) checkBlocks() {
	total := lo.SumBy(p.callers, func(c located[CallerGroup]) int { return len(c.value.Blocks) })
	blocks := make([]locatedBlock, 0, total)
	for _, c := range p.callers {
		for _, prefix := range c.value.Blocks {
			blocks = append(blocks, locatedBlock{prefix, c.at})
		}
	}
	slices.SortStableFunc(blocks, func(a, b locatedBlock) int {
		return cmp.Or(a.prefix.Addr().Compare(b.prefix.Addr()), cmp.Compare(a.prefix.Bits(), b.prefix.Bits()))
	})
	var outer locatedBlock
	for _, block := range blocks {
		if outer.at == nil || !outer.prefix.Overlaps(block.prefix) {
			outer = block
			continue
		}
		p.report(block.at, keyBlocks, fmt.Sprintf("%s overlaps %s of [%s] on line %d", block.prefix, outer.prefix, outer.at.title(), outer.at.lineOf(keyBlocks)), "give each address to one caller group")
	}
}

func (p *parser) checkFloors() {
	sum := 0.0
	for _, floor := range p.limits.Floors {
		sum += floor
	}
	if p.limitsAt == nil || sum <= 1+floorTolerance {
		return
	}
	p.report(p.limitsAt, "", fmt.Sprintf("the floors sum to %.6g%%, which is above 100%%", sum*100), "lower a floor; one that is left out counts with its default (60%, 25%, 10%)")
}
