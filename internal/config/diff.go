package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/samber/lo"
)

// ChangeKind says what happened to a section or key between two texts.
type ChangeKind string

// The kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two texts. Old and New are worded as the
// text writes them; a default that took effect shows like a written value.
type Change struct {
	Kind    ChangeKind `json:"kind"`
	Section string     `json:"section"`       // such as "backend checkout-03"
	Key     string     `json:"key,omitempty"` // empty where the whole section was added or removed
	Old     string     `json:"old,omitempty"`
	New     string     `json:"new,omitempty"`
}

// field is one key of a section with its value as text.
type field struct{ key, value string }

// described is a section reduced to what Diff compares.
type described struct {
	title  string
	fields []field
	blocks []netip.Prefix // compared as sets, since there may be very many
}

// Diff returns what changed from old to new, by kind of section and name. A nil
// text counts as empty.
func Diff(old, new *Text) []Change {
	before, after := describe(old), describe(new)
	byTitle := lo.KeyBy(before, func(d described) string { return d.title })
	kept := make(map[string]bool, len(after))
	var changes []Change
	for _, d := range after {
		kept[d.title] = true
		previous, found := byTitle[d.title]
		if !found {
			changes = append(changes, Change{Kind: Added, Section: d.title, New: d.summary()})
			continue
		}
		changes = append(changes, compareSections(previous, d)...)
	}
	for _, d := range before {
		if !kept[d.title] {
			changes = append(changes, Change{Kind: Removed, Section: d.title, Old: d.summary()})
		}
	}
	return changes
}

func compareSections(old, new described) []Change {
	var changes []Change
	values := lo.SliceToMap(old.fields, func(f field) (string, string) { return f.key, f.value })
	for _, f := range new.fields {
		was := values[f.key]
		delete(values, f.key)
		if was != f.value {
			changes = append(changes, Change{Kind: Changed, Section: new.title, Key: f.key, Old: was, New: f.value})
		}
	}
	for _, f := range old.fields {
		if was, left := values[f.key]; left && was != "" {
			changes = append(changes, Change{Kind: Changed, Section: new.title, Key: f.key, Old: was})
		}
	}
	return append(changes, compareBlocks(old, new)...)
}

func compareBlocks(old, new described) []Change {
	if slices.Equal(old.blocks, new.blocks) {
		return nil
	}
	known := lo.Keyify(old.blocks)
	var added []netip.Prefix
	for _, block := range new.blocks {
		if _, found := known[block]; !found {
			added = append(added, block)
		}
		delete(known, block)
	}
	removed := lo.Filter(old.blocks, func(b netip.Prefix, _ int) bool { return lo.HasKey(known, b) })
	return []Change{{Kind: Changed, Section: new.title, Key: keyBlocks, Old: listBlocks(removed), New: listBlocks(added)}}
}

const maxListedBlocks = 4

func listBlocks(blocks []netip.Prefix) string {
	shown := blocks[:min(len(blocks), maxListedBlocks)]
	names := lo.Map(shown, func(b netip.Prefix, _ int) string { return b.String() })
	if more := len(blocks) - len(shown); more > 0 {
		names = append(names, fmt.Sprintf("%d more", more))
	}
	return strings.Join(names, ", ")
}

func (d described) summary() string {
	var parts []string
	for _, f := range d.fields {
		if f.value != "" {
			parts = append(parts, f.key+" = "+f.value)
		}
	}
	if len(d.blocks) > 0 {
		parts = append(parts, keyBlocks+" = "+listBlocks(d.blocks))
	}
	return strings.Join(parts, "; ")
}

func describe(t *Text) []described {
	if t == nil {
		return nil
	}
	var out []described
	for _, z := range t.Zones {
		out = append(out, describeSection(kindZone, z.Name, field{keyRegion, string(z.Region)}))
	}
	for _, s := range t.Services {
		out = append(out, describeSection(kindService, s.Name, field{keyDependsOn, joinNames(s.DependsOn)}, field{keyTarget, s.Target.String()}))
	}
	for _, r := range t.Routes {
		out = append(out, describeSection(kindRoute, r.Name,
			field{keyService, string(r.Service)},
			field{keyMatch, r.Method + " " + r.Path},
			field{keyRank, r.Rank.String()},
			field{keyKind, r.Kind.String()},
			field{keyDeadline, r.Deadline.String()},
		))
	}
	for _, b := range t.Backends {
		out = append(out, describeSection(kindBackend, b.Name,
			field{keyService, string(b.Service)},
			field{keyZone, string(b.Zone)},
			field{keyAddress, b.Address.String()},
			field{keySlots, strconv.Itoa(b.Slots)},
		))
	}
	for _, c := range t.Callers {
		d := describeSection(kindCallers, c.Name, field{keyHome, joinNames(c.Home)})
		d.blocks = c.Blocks
		out = append(out, d)
	}
	return append(out, describeLimits(t.Limits))
}

func describeSection[N ~string](kind sectionKind, name N, fields ...field) described {
	return described{title: string(kind) + " " + string(name), fields: fields}
}

func describeLimits(l Limits) described {
	d := described{title: string(kindLimits), fields: []field{{keyShiftCap, l.ShiftCap.String()}}}
	for rank := range model.Rank(model.RankCount) {
		d.fields = append(d.fields, field{floorKeys[rank], formatPercent(l.Floors[rank])})
	}
	for _, link := range l.Links {
		d.fields = append(d.fields, field{fmt.Sprintf("%s%s-%s", linkPrefix, link.A, link.B), formatBandwidth(link.BytesPerSecond)})
	}
	return d
}

func joinNames[N ~string](names []N) string {
	return strings.Join(lo.Map(names, func(n N, _ int) string { return string(n) }), ", ")
}
