package config

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/samber/lo"
)

// optional returns the value of a key, "" if the key is absent. It reports a key
// without a value.
func (p *parser) optional(s *section, key string) string {
	if !s.has(key) {
		return ""
	}
	value := s.values.Key(key).Value()
	if value == "" && !s.faulty(key) {
		p.report(s, key, "the key has no value", "set a value or remove the line")
	}
	return value
}

// required returns the value of a key. It reports a key that is absent or has no
// value.
func (p *parser) required(s *section, key, fix string) string {
	if !s.has(key) {
		p.report(s, "", fmt.Sprintf("the key %q is missing", key), fix)
		return ""
	}
	return p.optional(s, key)
}

// convert parses a value and reports a failure. For an empty value it returns the
// zero value: either the missing value has already been reported, or the key is
// optional.
func convert[T any](p *parser, s *section, key, value string, parse func(string) (T, error)) T {
	var zero T
	if value == "" {
		return zero
	}
	parsed, err := parse(value)
	if err != nil {
		p.report(s, key, fmt.Sprintf("invalid value %q", truncate(value)), err.Error())
		return zero
	}
	return parsed
}

func (p *parser) readZone(s *section) {
	region := p.required(s, keyRegion, "add region = NAME, the region that the zone lies in")
	if region != "" && !validName(region) {
		p.report(s, keyRegion, fmt.Sprintf("invalid name %q", region), "use letters, digits, '-', '_' and '.'")
	}
	zone := Zone{Name: model.ZoneName(s.name), Region: model.RegionName(region)}
	p.zones = append(p.zones, located[Zone]{zone, s})
}

func (p *parser) readService(s *section) {
	service := Service{Name: model.ServiceName(s.name)}
	for _, name := range splitList(p.optional(s, keyDependsOn)) {
		service.DependsOn = append(service.DependsOn, model.ServiceName(name))
	}
	slices.Sort(service.DependsOn)
	service.DependsOn = slices.Compact(service.DependsOn)
	service.Target = convert(p, s, keyTarget, p.optional(s, keyTarget), parseTarget)
	p.services = append(p.services, located[Service]{service, s})
}

func (p *parser) readRoute(s *section) {
	route := Route{
		Name:     model.RouteName(s.name),
		Service:  model.ServiceName(p.required(s, keyService, "add service = NAME")),
		Rank:     DefaultRank,
		Deadline: DefaultDeadline,
	}
	if match := p.required(s, keyMatch, "add match = METHOD /path"); match != "" {
		var err error
		if route.Method, route.Path, err = parseMatch(match); err != nil {
			p.report(s, keyMatch, fmt.Sprintf("invalid value %q", truncate(match)), err.Error())
		}
	}
	if rank := p.optional(s, keyRank); rank != "" {
		route.Rank = convert(p, s, keyRank, rank, parseRank)
	}
	if deadline := p.optional(s, keyDeadline); deadline != "" {
		route.Deadline = convert(p, s, keyDeadline, deadline, parseDuration)
	}
	route.Kind = p.readKind(s, route.Method)
	p.routes = append(p.routes, located[Route]{route, s})
}

// readKind reads the kind of a route. There is a default only for GET and HEAD, which
// HTTP defines as safe: for other methods, a wrong default could run a request twice.
func (p *parser) readKind(s *section, method string) model.Kind {
	if s.has(keyKind) {
		return convert(p, s, keyKind, p.optional(s, keyKind), parseKind)
	}
	if method != "" && method != "GET" && method != "HEAD" {
		p.report(s, "", `the key "kind" is missing`, "add kind = read, idempotent or once; only GET and HEAD default to read")
	}
	return model.Read
}

func parseRank(s string) (model.Rank, error) {
	var rank model.Rank
	if rank.UnmarshalText([]byte(s)) != nil {
		return 0, fmt.Errorf("use one of %s, %s, %s", model.Urgent, model.Normal, model.Background)
	}
	return rank, nil
}

func parseKind(s string) (model.Kind, error) {
	var kind model.Kind
	if kind.UnmarshalText([]byte(s)) != nil {
		return 0, fmt.Errorf("use one of %s, %s, %s", model.Read, model.Idempotent, model.Once)
	}
	return kind, nil
}

func (p *parser) readBackend(s *section) {
	backend := Backend{
		Name:    model.BackendName(s.name),
		Service: model.ServiceName(p.required(s, keyService, "add service = NAME")),
		Zone:    model.ZoneName(p.required(s, keyZone, "add zone = NAME")),
	}
	address := p.required(s, keyAddress, "add address = IP:PORT")
	backend.Address = convert(p, s, keyAddress, address, parseAddress)
	slots := p.required(s, keySlots, "add slots = N, the maximum number of concurrent requests of the server")
	backend.Slots = convert(p, s, keySlots, slots, parseSlots)
	p.backends = append(p.backends, located[Backend]{backend, s})
}

func parseAddress(s string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(s)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		return netip.AddrPort{}, errors.New("write IP:PORT with a specified IP address and a port above 0, such as 10.1.0.13:8080")
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), nil
}

func (p *parser) readCallers(s *section) {
	group := CallerGroup{Name: model.CallerGroupName(s.name)}
	items := splitList(p.required(s, keyBlocks, "add blocks = PREFIX, PREFIX"))
	group.Blocks = make([]netip.Prefix, 0, len(items))
	for _, item := range items {
		prefix, err := parseBlock(item)
		if err != nil {
			p.report(s, keyBlocks, fmt.Sprintf("invalid address block %q", item), err.Error())
			continue
		}
		group.Blocks = append(group.Blocks, prefix)
	}
	slices.SortFunc(group.Blocks, netip.Prefix.Compare)
	for _, zone := range splitList(p.required(s, keyHome, "add home = ZONE, ZONE, the first choice first")) {
		group.Home = append(group.Home, model.ZoneName(zone))
	}
	p.callers = append(p.callers, located[CallerGroup]{group, s})
}

func parseBlock(s string) (netip.Prefix, error) {
	prefix, err := netip.ParsePrefix(s)
	if err != nil {
		return prefix, errors.New("write it as a CIDR prefix, such as 10.64.0.0/12")
	}
	if prefix.Addr().Is4In6() {
		return prefix, errors.New("write it as an IPv4 block")
	}
	if prefix != prefix.Masked() {
		return prefix, fmt.Errorf("write it as %s", prefix.Masked())
	}
	return prefix, nil
}

func (p *parser) readLimits(s *section) {
	if s.name != "" {
		p.report(s, "", "[limits] does not take a name", "write [limits]")
	}
	if p.limitsSection != nil {
		p.report(s, "", fmt.Sprintf("duplicate section, first defined on line %d", p.limitsSection.line), "merge the two sections")
		return
	}
	p.limitsSection = s
	if value := p.optional(s, keyShiftCap); value != "" {
		p.limits.ShiftCap = convert(p, s, keyShiftCap, value, parseShiftCap)
	}
	for rank, key := range floorKeys {
		if value := p.optional(s, key); value != "" {
			p.limits.Floors[rank] = convert(p, s, key, value, parsePercent)
		}
	}
}

// readLinks reads the link keys and adds the default budget for every other pair of
// regions. It needs the zones, since they define the regions.
func (p *parser) readLinks() {
	regions := lo.Uniq(lo.Map(p.zones, func(z located[Zone], _ int) model.RegionName { return z.value.Region }))
	regions = lo.Without(regions, "")
	slices.Sort(regions)
	lines := map[Link]int{} // line number by pair of regions
	if p.limitsSection != nil {
		for _, key := range p.limitsSection.keys {
			if strings.HasPrefix(key.name, linkPrefix) {
				p.readLink(key, regions, lines)
			}
		}
	}
	for i, a := range regions {
		for _, b := range regions[i+1:] {
			if _, found := lines[Link{A: a, B: b}]; !found {
				p.limits.Links = append(p.limits.Links, Link{A: a, B: b, BytesPerSecond: DefaultLinkBytesPerSecond})
			}
		}
	}
	slices.SortFunc(p.limits.Links, compareLinks)
}

// readLink reads one link key and records its line in lines.
func (p *parser) readLink(key sourceKey, regions []model.RegionName, lines map[Link]int) {
	s := p.limitsSection
	pairs := linkPairs(strings.TrimPrefix(key.name, linkPrefix), regions)
	if len(pairs) != 1 {
		names := lo.Map(regions, func(r model.RegionName, _ int) string { return string(r) })
		p.report(s, key.name, "the key does not name exactly one pair of regions", "write link REGION-REGION with two of "+strings.Join(names, ", "))
		return
	}
	link := pairs[0]
	if line, found := lines[link]; found {
		p.report(s, key.name, fmt.Sprintf("duplicate link, first set on line %d", line), "remove one of the two; a link covers both directions")
		return
	}
	lines[link] = key.line
	link.BytesPerSecond = convert(p, s, key.name, p.optional(s, key.name), parseBandwidth)
	p.limits.Links = append(p.limits.Links, link)
}

// linkPairs returns every way to split "A-B" into two distinct known regions, with A
// before B in alphabetical order. Since region names may contain "-", there may be
// more than one.
func linkPairs(name string, regions []model.RegionName) []Link {
	var pairs []Link
	for i := range len(name) {
		if name[i] != '-' {
			continue
		}
		a, b := model.RegionName(strings.TrimSpace(name[:i])), model.RegionName(strings.TrimSpace(name[i+1:]))
		if a == b || !slices.Contains(regions, a) || !slices.Contains(regions, b) {
			continue
		}
		pairs = append(pairs, Link{A: min(a, b), B: max(a, b)})
	}
	return pairs
}

func compareLinks(x, y Link) int {
	if x.A != y.A {
		return strings.Compare(string(x.A), string(y.A))
	}
	return strings.Compare(string(x.B), string(y.B))
}
