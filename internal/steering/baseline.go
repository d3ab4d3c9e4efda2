package steering

import (
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Weight is a zone's share of a service's baseline traffic for one list of home
// zones. The shares of a baseline sum to 1.
type Weight struct {
	Zone  model.ZoneName
	Share float64
}

// baselineOf returns the baseline weights of a service for a list of home zones, in
// proportion to the configured slots. The baseline consists of the home zones that
// have servers of the service and are in the region of the first such zone. If no
// home zone has servers, it consists of the zones with servers that are nearest to
// the first home zone. If home is empty, since the text has none of the home zones,
// it consists of all zones with servers.
func (l *layout) baselineOf(service int, home []int) []Weight {
	if len(home) == 0 {
		return l.byCapacity(service, l.allZones())
	}
	homes := l.withServers(service, home)
	if len(homes) > 0 {
		region := l.zones[homes[0]].region
		near := lo.Filter(homes, func(z, _ int) bool { return l.zones[z].region == region })
		return l.byCapacity(service, near)
	}
	for tier := sameZone; tier <= otherRegion; tier++ {
		zones := lo.Filter(l.allZones(), func(z, _ int) bool { return l.distance(home[0], z) == tier })
		if list := l.withServers(service, zones); len(list) > 0 {
			return l.byCapacity(service, list)
		}
	}
	return nil
}

func (l *layout) allZones() []int { return lo.Range(len(l.zones)) }

func (l *layout) withServers(service int, zones []int) []int {
	return lo.Filter(zones, func(z, _ int) bool { return l.cell(service, z).slots > 0 })
}

func (l *layout) byCapacity(service int, zones []int) []Weight {
	total := lo.SumBy(zones, func(z int) int { return l.cell(service, z).slots })
	if total == 0 {
		return nil
	}
	var list []Weight
	for _, z := range zones {
		slots := l.cell(service, z).slots
		if slots > 0 {
			list = append(list, Weight{l.zones[z].name, float64(slots) / float64(total)})
		}
	}
	slices.SortFunc(list, func(a, b Weight) int { return compareZones(a.Zone, b.Zone) })
	return list
}

// move is a gradual change of a baseline from one set of weights to another.
type move struct {
	zones    []model.ZoneName // sorted
	from, to []float64        // indexed like zones
	since    model.Instant
	duration time.Duration
}

// newMove plans a move at the rate of the shift cap: within a window, no zone's
// share grows by more than the cap's fraction of its new share. New shares are
// proportional to slots, so traffic fills at most that fraction of a zone's slots
// per window.
func newMove(from, to []Weight, limit config.ShiftCap, since model.Instant) move {
	m := move{since: since}
	if len(from) == 0 {
		from = to
	}
	names := append(lo.Map(from, zoneOf), lo.Map(to, zoneOf)...)
	slices.SortFunc(names, compareZones)
	m.zones = slices.Compact(names)
	for _, zone := range m.zones {
		m.from = append(m.from, shareOf(from, zone))
		m.to = append(m.to, shareOf(to, zone))
	}
	windows := 0.0
	for i := range m.zones {
		if growth := m.to[i] - m.from[i]; growth > 0 && limit.Fraction > 0 {
			windows = max(windows, growth/(limit.Fraction*m.to[i]))
		}
	}
	m.duration = time.Duration(math.Ceil(windows * float64(limit.Window)))
	return m
}

func zoneOf(w Weight, _ int) model.ZoneName { return w.Zone }

func shareOf(list []Weight, zone model.ZoneName) float64 {
	for _, w := range list {
		if w.Zone == zone {
			return w.Share
		}
	}
	return 0
}

// progress returns the completed fraction of the move, 0 to 1.
func (m *move) progress(now model.Instant) float64 {
	if m.duration <= 0 || now.Sub(m.since) >= m.duration {
		return 1
	}
	return max(0, float64(now.Sub(m.since))/float64(m.duration))
}

func (m *move) share(i int, progress float64) float64 {
	if progress >= 1 {
		return m.to[i]
	}
	return m.from[i] + (m.to[i]-m.from[i])*progress
}

func (m *move) weights(now model.Instant) []Weight {
	progress := m.progress(now)
	list := lo.Map(m.zones, func(zone model.ZoneName, i int) Weight { return Weight{zone, m.share(i, progress)} })
	return lo.Filter(list, func(w Weight, _ int) bool { return w.Share > 0 })
}
