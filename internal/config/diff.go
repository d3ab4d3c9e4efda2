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

// ChangeKind classifies the difference of a section or key between two texts.
type ChangeKind string

// The kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two texts. For a changed key, Old and New are values
// in the syntax of the text; a default that applies appears like an explicit value. For
// an added or removed section, New or Old lists its keys as "key = value; ...". For
// blocks, Old lists the removed and New the added ones, at most maxListedBlocks each.
type Change struct {
	Kind    ChangeKind `json:"kind"`
	Section string     `json:"section"`       // such as "backend checkout-03"
	Key     string     `json:"key,omitempty"` // empty if the whole section was added or removed
	Old     string     `json:"old,omitempty"`
	New     string     `json:"new,omitempty"`
}

// field is a key of a section and its value in the syntax of the text.
type field struct{ key, value string }

// sectionDescription is a section in the form that Diff compares.
type sectionDescription struct {
	title  string
	fields []field
	blocks []netip.Prefix // compared as sets, since a group may have a very large number of blocks
}

// Diff returns the changes from old to new: first those of the sections of new, then
// the removed sections, each ordered by kind of section and name. A nil text counts
// as empty.
func Diff(old, new *Text) []Change {
	before, after := describe(old), describe(new)
	byTitle := lo.KeyBy(before, func(d sectionDescription) string { return d.title })
	inNew := make(map[string]bool, len(after))
	var changes []Change
	for _, d := range after {
		inNew[d.title] = true
		previous, found := byTitle[d.title]
		if !found {
			changes = append(changes, Change{Kind: Added, Section: d.title, New: d.summary()})
			continue
		}
		changes = append(changes, compareSections(previous, d)...)
	}
	for _, d := range before {
		if !inNew[d.title] {
			changes = append(changes, Change{Kind: Removed, Section: d.title, Old: d.summary()})
		}
	}
	return changes
}

// compareSections returns the changes between two versions of one section. An empty
// value counts as an absent key.
func compareSections(old, new sectionDescription) []Change {
	var changes []Change
	values := lo.SliceToMap(old.fields, func(f field) (string, string) { return f.key, f.value })
	for _, f := range new.fields {
		oldValue := values[f.key]
		delete(values, f.key)
		if oldValue != f.value {
			changes = append(changes, Change{Kind: Changed, Section: new.title, Key: f.key, Old: oldValue, New: f.value})
		}
	}
	for _, f := range old.fields {
		if oldValue, remaining := values[f.key]; remaining && oldValue != "" {
			changes = append(changes, Change{Kind: Changed, Section: new.title, Key: f.key, Old: oldValue})
		}
	}
	return append(changes, compareBlocks(old, new)...)
}

// compareBlocks returns one change that lists the removed and the added blocks, or
// nil if the blocks are the same.
func compareBlocks(old, new sectionDescription) []Change {
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

// maxListedBlocks is the number of blocks that a change or summary lists; the rest
// appear as a count.
const maxListedBlocks = 4

func listBlocks(blocks []netip.Prefix) string {
	shown := blocks[:min(len(blocks), maxListedBlocks)]
	names := lo.Map(shown, func(b netip.Prefix, _ int) string { return b.String() })
	if hidden := len(blocks) - len(shown); hidden > 0 {
		names = append(names, fmt.Sprintf("%d more", hidden))
	}
	return strings.Join(names, ", ")
}

// summary returns the keys that have a value, in the syntax of the text.
func (d sectionDescription) summary() string {
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

// describe returns all sections of a text, nil for a nil text.
func describe(t *Text) []sectionDescription {
	if t == nil {
		return nil
	}
	var out []sectionDescription
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

func describeSection[N ~string](kind sectionKind, name N, fields ...field) sectionDescription {
	return sectionDescription{title: string(kind) + " " + string(name), fields: fields}
}

func describeLimits(l Limits) sectionDescription {
	d := sectionDescription{title: string(kindLimits), fields: []field{{keyShiftCap, l.ShiftCap.String()}}}
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
