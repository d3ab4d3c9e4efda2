package cli

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/samber/lo"
)

type statusCommand struct{ s *session }

func (*statusCommand) examples() string {
	return `  primrosenotch status --entry 10.1.0.10:7400
  primrosenotch status --entry 10.1.0.10:7400 --entry 10.2.0.10:7400 --format json
`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	fleet, err := c.s.clients.fleet()
	if err != nil {
		return err
	}
	statuses, unreachable, err := splitAnswers(fleet.Status(c.s.ctx))
	if err != nil {
		return err
	}
	slices.SortFunc(statuses, func(a, b control.Status) int { return cmp.Compare(a.Instance, b.Instance) })
	return c.s.print(&statusView{Instances: statuses, Unreachable: orEmpty(unreachable)})
}

// statusView is the output of status.
type statusView struct {
	Instances   []control.Status      `json:"instances"`
	Unreachable []unreachableInstance `json:"silent"`
}

func (v *statusView) writeText(w io.Writer) {
	v.writeInstances(w)
	if len(v.direct()) > 0 {
		v.writeDirect(w)
	} else {
		v.writeZones(w)
	}
	v.writeBackends(w)
	v.writeStops(w)
	if len(v.Unreachable) > 0 {
		fmt.Fprintln(w)
	}
	writeUnreachable(w, v.Unreachable)
}

func (v *statusView) writeInstances(w io.Writer) {
	t := newTextTable(w, "INSTANCE", "ZONE", "STATE", "REVISION", "HASH", "PLATFORM", "PEERS", "SERVERS")
	for _, s := range v.Instances {
		reachable := lo.CountBy(s.Peers, func(p control.Peer) bool { return p.Reachable })
		t.row(string(s.Instance), string(s.Zone), s.State,
			fmt.Sprint(s.Configuration.Revision), orDash(s.Configuration.Hash), s.Platform.State,
			fmt.Sprintf("%d of %d", reachable, len(s.Peers)), fmt.Sprint(serverCount(&s)))
	}
	t.flush()
	revisions := lo.Uniq(lo.Map(v.Instances, func(s control.Status, _ int) int64 { return s.Configuration.Revision }))
	if len(revisions) > 1 {
		fmt.Fprintf(w, "the instances have different revisions in force: %v\n", slices.Sorted(slices.Values(revisions)))
	}
	lost := lo.FilterMap(v.Instances, func(s control.Status, _ int) (int64, bool) {
		return s.Configuration.Revision, s.Configuration.Lost
	})
	for _, number := range slices.Compact(slices.Sorted(slices.Values(lost))) {
		fmt.Fprintf(w, "revision %d is in force, but the platform's table was restored from a copy without it; it stays until a change is accepted\n", number)
	}
}

// zoneLoads returns the load of each zone, sorted by zone name, as reported by an
// instance of that zone, or else by the first instance that reports it.
func (v *statusView) zoneLoads() []control.ZoneLoad {
	known := map[model.ZoneName]control.ZoneLoad{}
	for _, s := range v.Instances {
		for _, zone := range s.Zones {
			if _, found := known[zone.Zone]; !found || zone.Zone == s.Zone {
				known[zone.Zone] = zone
			}
		}
	}
	return slices.SortedFunc(slices.Values(lo.Values(known)), func(a, b control.ZoneLoad) int {
		return cmp.Compare(a.Zone, b.Zone)
	})
}

func (v *statusView) writeZones(w io.Writer) {
	fmt.Fprintln(w)
	t := newTextTable(w, "ZONE", "SERVICE", "SLOTS", "IN USE", "HEADROOM", "QUEUED urgent/normal/background", "MEAN RUN", "SPILL")
	for _, zone := range v.zoneLoads() {
		for _, s := range zone.Services {
			t.row(string(zone.Zone), string(s.Service), fmt.Sprint(s.Slots), fmt.Sprint(s.InUse), formatHeadroom(s),
				fmt.Sprintf("%d/%d/%d", s.Queued.Urgent, s.Queued.Normal, s.Queued.Background),
				s.MeanRun.Round(100*time.Microsecond).String(), fmt.Sprintf("%d of %.1f", s.SpillInUse, s.SpillLevel))
		}
	}
	t.flush()
}

func formatHeadroom(s control.ServiceLoad) string {
	if s.Slots == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f%%", 100*float64(max(0, s.Slots-s.InUse))/float64(s.Slots))
}

// writeBackends lists the backend servers whose limit is below their slots.
func (v *statusView) writeBackends(w io.Writer) {
	var t *textTable
	for _, s := range v.Instances {
		for _, b := range s.Backends {
			if b.Limit >= b.Slots {
				continue
			}
			if t == nil {
				fmt.Fprintln(w)
				t = newTextTable(w, "BACKEND SERVER", "SERVICE", "HEALTH", "LIMIT", "SLOTS", "IN USE", "OWNER", "WHY")
			}
			t.row(string(b.Backend), string(b.Service), b.Health, fmt.Sprint(b.Limit), fmt.Sprint(b.Slots), fmt.Sprint(b.InUse), string(s.Instance), b.LimitReason)
		}
	}
	if t != nil {
		t.flush()
	}
}

// stopProgress aggregates one planned stop over all instances.
type stopProgress struct {
	stop     control.Stop
	inFlight int
	drained  time.Time // latest DrainedAt of the instances; valid only when inFlight is 0
}

func (v *statusView) stops() []stopProgress {
	byID := map[string]*stopProgress{}
	for _, s := range v.Instances {
		for _, stop := range s.Stops {
			p := byID[stop.ID]
			if p == nil {
				p = &stopProgress{stop: stop}
				byID[stop.ID] = p
			}
			p.inFlight += stop.InFlight
			if stop.DrainedAt.After(p.drained) {
				p.drained = stop.DrainedAt
			}
		}
	}
	return slices.SortedFunc(slices.Values(lo.Map(lo.Values(byID), func(p *stopProgress, _ int) stopProgress { return *p })),
		func(a, b stopProgress) int {
			return cmp.Or(a.stop.At.Compare(b.stop.At), cmp.Compare(a.stop.ID, b.stop.ID))
		})
}

func (v *statusView) writeStops(w io.Writer) {
	stops := v.stops()
	if len(stops) == 0 {
		return
	}
	fmt.Fprintln(w)
	t := newTextTable(w, "STOP", "OF", "SINCE", "AUTHOR", "REASON", "IN FLIGHT", "DRAINED AFTER")
	for _, p := range stops {
		drained := "-"
		if p.inFlight == 0 && !p.drained.IsZero() {
			drained = p.drained.Sub(p.stop.At).Round(time.Millisecond).String()
		}
		t.row(p.stop.ID, stopTarget(p.stop.Scope, p.stop.Target), formatTime(p.stop.At), p.stop.Author, p.stop.Reason, fmt.Sprint(p.inFlight), drained)
	}
	t.flush()
}

func stopTarget(scope config.StopScope, target string) string {
	return string(scope) + ":" + target
}
