package config

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/samber/lo"
)

// floorTolerance absorbs the rounding error of the sum of three fractions.
const floorTolerance = 1e-9

// check reports faults that involve more than one section, and a sum of floors
// above 100%.
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

// checkUnique reports section names that are used more than once within one kind
// of section. It returns each name once, in the order of the list.
func checkUnique[T any](p *parser, list []located[T], nameOf func(T) string) []string {
	first := make(map[string]int, len(list))
	names := make([]string, 0, len(list))
	for _, l := range list {
		name := nameOf(l.value)
		if line, found := first[name]; found {
			p.report(l.section, "", fmt.Sprintf("duplicate section, first defined on line %d", line), "rename or remove one of the two")
			continue
		}
		first[name] = l.section.line
		names = append(names, name)
	}
	return names
}

// referenceChecker reports references to sections of one kind that the text does
// not define.
type referenceChecker struct {
	p     *parser
	kind  sectionKind
	names []string
	known map[string]bool
}

func newReferenceChecker(p *parser, kind sectionKind, names []string) *referenceChecker {
	r := &referenceChecker{p: p, kind: kind, names: names, known: make(map[string]bool, len(names))}
	for _, name := range names {
		r.known[name] = true
	}
	return r
}

func (r *referenceChecker) check(s *section, key, name string) {
	if name == "" || r.known[name] {
		return
	}
	fallback := fmt.Sprintf("add [%s %s]", r.kind, name)
	r.p.report(s, key, fmt.Sprintf("unknown %s %q", r.kind, name), suggest(name, r.names, fallback))
}

func (p *parser) checkReferences(zoneNames, serviceNames []string) {
	zones := newReferenceChecker(p, kindZone, zoneNames)
	services := newReferenceChecker(p, kindService, serviceNames)
	for _, s := range p.services {
		for _, dependency := range s.value.DependsOn {
			services.check(s.section, keyDependsOn, string(dependency))
		}
	}
	for _, r := range p.routes {
		services.check(r.section, keyService, string(r.value.Service))
	}
	for _, b := range p.backends {
		services.check(b.section, keyService, string(b.value.Service))
		zones.check(b.section, keyZone, string(b.value.Zone))
	}
	for _, c := range p.callers {
		for _, zone := range c.value.Home {
			zones.check(c.section, keyHome, string(zone))
		}
	}
}

// checkServices reports services without a route, which no request reaches, and
// services without a backend server, which cannot serve any.
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
			p.report(s.section, "", "the service has no route", fmt.Sprintf("add a [route NAME] with service = %s", s.value.Name))
		}
		if !served[s.value.Name] {
			p.report(s.section, "", "the service has no backend server", fmt.Sprintf("add a [backend NAME] with service = %s", s.value.Name))
		}
	}
}

// checkAddresses reports addresses that more than one backend server uses.
func (p *parser) checkAddresses() {
	first := make(map[netip.AddrPort]*section, len(p.backends))
	for _, b := range p.backends {
		if !b.value.Address.IsValid() {
			continue
		}
		if other, found := first[b.value.Address]; found {
			p.report(b.section, keyAddress, fmt.Sprintf("%s is already used by [%s] on line %d", b.value.Address, other.title(), other.line), "give each backend server a different address")
			continue
		}
		first[b.value.Address] = b.section
	}
}

// routePattern is the method and the path pattern of a route.
type routePattern struct{ method, path string }

// checkMatches reports routes with the same method and path pattern.
func (p *parser) checkMatches() {
	first := make(map[routePattern]*section, len(p.routes))
	for _, r := range p.routes {
		if r.value.Path == "" {
			continue
		}
		pattern := routePattern{r.value.Method, r.value.Path}
		if other, found := first[pattern]; found {
			p.report(r.section, keyMatch, fmt.Sprintf("[%s] on line %d matches the same requests", other.title(), other.line), "change or remove one of the two")
			continue
		}
		first[pattern] = r.section
	}
}

// locatedBlock is an address block of a caller group and the section that
// defines it.
type locatedBlock struct {
	prefix  netip.Prefix
	section *section
}

// checkBlocks reports overlapping address blocks. With the blocks sorted by
// address and prefix length, a block overlaps an earlier one if and only if it
// overlaps the latest block that is not contained in another.
func (p *parser) checkBlocks() {
	total := lo.SumBy(p.callers, func(c located[CallerGroup]) int { return len(c.value.Blocks) })
	blocks := make([]locatedBlock, 0, total)
	for _, c := range p.callers {
		for _, prefix := range c.value.Blocks {
			blocks = append(blocks, locatedBlock{prefix, c.section})
		}
	}
	slices.SortStableFunc(blocks, func(a, b locatedBlock) int {
		return cmp.Or(a.prefix.Addr().Compare(b.prefix.Addr()), cmp.Compare(a.prefix.Bits(), b.prefix.Bits()))
	})
	var outer locatedBlock
	for _, block := range blocks {
		if outer.section == nil || !outer.prefix.Overlaps(block.prefix) {
			outer = block
			continue
		}
		p.report(block.section, keyBlocks, fmt.Sprintf("%s overlaps %s of [%s] on line %d", block.prefix, outer.prefix, outer.section.title(), outer.section.lineOf(keyBlocks)), "assign each address to one caller group only")
	}
}

// checkFloors reports floors that sum to more than 100%.
func (p *parser) checkFloors() {
	sum := 0.0
	for _, floor := range p.limits.Floors {
		sum += floor
	}
	if p.limitsSection == nil || sum <= 1+floorTolerance {
		return
	}
	p.report(p.limitsSection, "", fmt.Sprintf("the floors sum to %.6g%%, which is above 100%%", sum*100), "lower a floor; an omitted floor counts with its default (60% urgent, 25% normal, 10% background)")
}
