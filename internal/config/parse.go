package config

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Default values of optional keys.
const (
	DefaultRank               = model.Normal
	DefaultDeadline           = 2 * time.Second
	DefaultShiftCapFraction   = 0.10
	DefaultShiftCapWindow     = 30 * time.Second
	DefaultUrgentFloor        = 0.60
	DefaultNormalFloor        = 0.25
	DefaultBackgroundFloor    = 0.10
	DefaultLinkBytesPerSecond = 500_000_000 // 4 Gbit/s
)

// located is a parsed section together with its source section.
type located[T any] struct {
	value   T
	section *section
}

// parser collects the parsed sections of a text and the problems found in it.
type parser struct {
	file          string
	problems      *Problems
	zones         []located[Zone]
	services      []located[Service]
	routes        []located[Route]
	backends      []located[Backend]
	callers       []located[CallerGroup]
	limits        Limits
	limitsSection *section
}

// Parse reads and checks an operators' text. Problems refer to the text by name,
// usually its file name. The error is a *Problems that lists every fault found.
func Parse(name string, source []byte) (*Text, error) {
	p := &parser{file: name, problems: &Problems{}, limits: defaultLimits()}
	sections := scan(name, source, p.problems)
	if len(sections) == 0 && len(p.problems.List) == 0 {
		p.problems.add(Problem{File: name, Line: 1, What: "the text has no sections", Fix: "describe at least one zone, service, route and backend"})
	}
	for _, s := range sections {
		p.readSection(s)
	}
	p.readLinks()
	p.check()
	if len(p.problems.List) > 0 {
		p.problems.sort()
		return nil, p.problems
	}
	return p.text(), nil
}

func defaultLimits() Limits {
	return Limits{
		ShiftCap: ShiftCap{Fraction: DefaultShiftCapFraction, Window: DefaultShiftCapWindow},
		Floors: [model.RankCount]float64{
			model.Urgent:     DefaultUrgentFloor,
			model.Normal:     DefaultNormalFloor,
			model.Background: DefaultBackgroundFloor,
		},
	}
}

// text returns the parsed sections, sorted by name within each kind.
func (p *parser) text() *Text {
	t := &Text{
		Zones:    values(p.zones),
		Services: values(p.services),
		Routes:   values(p.routes),
		Backends: values(p.backends),
		Callers:  values(p.callers),
		Limits:   p.limits,
	}
	slices.SortFunc(t.Zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(t.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(t.Routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(t.Backends, func(a, b Backend) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(t.Callers, func(a, b CallerGroup) int { return cmp.Compare(a.Name, b.Name) })
	return t
}

func values[T any](list []located[T]) []T {
	var out []T
	for _, l := range list {
		out = append(out, l.value)
	}
	return out
}

// report adds a problem at the line of a key, or at the section header if key is
// empty or absent from the section.
func (p *parser) report(s *section, key, what, fix string) {
	p.problems.add(Problem{File: p.file, Line: s.lineOf(key), Section: s.title(), Key: key, What: what, Fix: fix})
}

func (p *parser) readSection(s *section) {
	if s.kind == "" {
		return // scan has reported the header
	}
	if _, known := schema[s.kind]; !known {
		p.report(s, "", fmt.Sprintf("unknown section kind %q", s.kind), suggest(string(s.kind), schemaKinds(), ""))
		return
	}
	p.checkKeys(s)
	if s.kind == kindLimits {
		p.readLimits(s)
		return
	}
	if !validName(s.name) {
		p.report(s, "", fmt.Sprintf("invalid name %q", s.name), fmt.Sprintf("write [%s NAME] with letters, digits, '-', '_' and '.'", s.kind))
		return
	}
	switch s.kind {
	case kindZone:
		p.readZone(s)
	case kindService:
		p.readService(s)
	case kindRoute:
		p.readRoute(s)
	case kindBackend:
		p.readBackend(s)
	case kindCallers:
		p.readCallers(s)
	}
}

// checkKeys reports keys that the kind of section does not define.
func (p *parser) checkKeys(s *section) {
	for _, key := range s.keys {
		if !knownKey(s.kind, key.name) {
			p.report(s, key.name, fmt.Sprintf("[%s] has no key %q", s.kind, key.name), suggest(key.name, schema[s.kind], "remove it"))
		}
	}
}
