package cli

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// serverCount returns the number of backend servers that an instance owns, or that it knows
// if it sends requests to them itself.
func serverCount(s *control.Status) int {
	if s.Direct != nil {
		return s.Direct.Servers
	}
	return len(s.Backends)
}

// direct returns the instances that send requests to backend servers themselves.
func (v *statusView) direct() []control.Status {
	return lo.Filter(v.Instances, func(s control.Status, _ int) bool { return s.Direct != nil })
}

// writeDirect writes what those instances have in common: their copies of the platform's
// tables, the servers that get no requests or few, and the retries.
func (v *statusView) writeDirect(w io.Writer) {
	instances := v.direct()
	writeTableCopies(w, instances)
	writeRestricted(w, instances)
	writeRetries(w, instances)
	writeOrganisations(w, instances)
	if suspects := lo.Max(lo.Map(instances, func(s control.Status, _ int) int { return s.Direct.CrashSuspects })); suspects > 0 {
		fmt.Fprintf(w, "\nrequests suspected of crashing backend servers: %d\n", suspects)
	}
}

// tableSummary is one table over all instances.
type tableSummary struct {
	table     string
	oldest    time.Duration
	oldestAt  model.InstanceID
	unknownAt []string
	readers   []string
	failingAt []string
}

func writeTableCopies(w io.Writer, instances []control.Status) {
	summaries := map[string]*tableSummary{}
	for _, s := range instances {
		for _, copied := range s.Direct.Tables {
			sum := summaries[copied.Table]
			if sum == nil {
				sum = &tableSummary{table: copied.Table}
				summaries[copied.Table] = sum
			}
			sum.add(s.Instance, copied)
		}
	}
	fmt.Fprintln(w)
	t := newTextTable(w, "TABLE", "OLDEST COPY", "AT", "UNKNOWN AT", "READ BY", "FAILING AT")
	for _, name := range slices.Sorted(slices.Values(lo.Keys(summaries))) {
		sum := summaries[name]
		oldest := "-"
		if sum.oldestAt != "" {
			oldest = sum.oldest.Round(time.Millisecond).String()
		}
		t.row(name, oldest, orDash(string(sum.oldestAt)),
			orDash(shorten(sum.unknownAt)), orDash(shorten(sum.readers)), orDash(shorten(sum.failingAt)))
	}
	t.flush()
}

func (s *tableSummary) add(instance model.InstanceID, c control.TableCopy) {
	switch {
	case c.Age < 0:
		s.unknownAt = append(s.unknownAt, string(instance))
	case s.oldestAt == "" || c.Age > s.oldest:
		s.oldest, s.oldestAt = c.Age, instance
	}
	if c.Reading {
		s.readers = append(s.readers, string(instance))
	}
	if c.Failing {
		s.failingAt = append(s.failingAt, string(instance))
	}
}

// restriction is a server's condition, as several instances may see it.
type restriction struct {
	server  model.BackendName
	service model.ServiceName
	zone    model.ZoneName
	health  string
}

func writeRestricted(w io.Writer, instances []control.Status) {
	seenBy := map[restriction][]string{}
	for _, s := range instances {
		for _, r := range s.Direct.Restricted {
			key := restriction{server: r.Server, service: r.Service, zone: r.Zone, health: r.Health}
			seenBy[key] = append(seenBy[key], string(s.Instance))
		}
	}
	if len(seenBy) == 0 {
		return
	}
	fmt.Fprintln(w)
	t := newTextTable(w, "BACKEND SERVER", "SERVICE", "ZONE", "HEALTH", "INSTANCES", "AT")
	keys := slices.SortedFunc(slices.Values(lo.Keys(seenBy)), func(a, b restriction) int {
		return cmp.Or(strings.Compare(string(a.server), string(b.server)), strings.Compare(a.health, b.health))
	})
	for _, key := range keys {
		at := shorten(seenBy[key])
		if len(seenBy[key]) == len(instances) {
			at = "all"
		}
		t.row(string(key.server), string(key.service), string(key.zone), key.health, fmt.Sprint(len(seenBy[key])), at)
	}
	t.flush()
}

func writeRetries(w io.Writer, instances []control.Status) {
	first, retries := map[model.ServiceName]int{}, map[model.ServiceName]int{}
	for _, s := range instances {
		for _, u := range s.Direct.Retries {
			first[u.Service] += u.FirstSends
			retries[u.Service] += u.Retries
		}
	}
	if len(first) == 0 {
		return
	}
	fmt.Fprintln(w)
	t := newTextTable(w, "SERVICE", "FIRST SENDS", "RETRIES")
	for _, name := range slices.Sorted(slices.Values(lo.Keys(first))) {
		t.row(string(name), fmt.Sprint(first[name]), fmt.Sprint(retries[name]))
	}
	t.flush()
}

// organisationSummary is one organisation over all instances.
type organisationSummary struct {
	control.Organisation // the limit is that of the last instance
	arrived, sent        float64
}

// writeOrganisations writes the requests per second of each organisation over all instances,
// and its limit.
func writeOrganisations(w io.Writer, instances []control.Status) {
	summaries := map[model.OrganisationName]*organisationSummary{}
	for _, s := range instances {
		for _, o := range s.Direct.Organisations {
			sum := summaries[o.Name]
			if sum == nil {
				sum = &organisationSummary{}
				summaries[o.Name] = sum
			}
			sum.Organisation = o
			sum.arrived += o.Arrived
			sum.sent += o.Sent
		}
	}
	if len(summaries) == 0 {
		return
	}
	fmt.Fprintln(w)
	t := newTextTable(w, "ORGANISATION", "ARRIVED/S", "SENT/S", "LIMIT/S", "BURST", "USE", "PRIORITY", "HOME REGIONS")
	for _, name := range slices.Sorted(slices.Values(lo.Keys(summaries))) {
		sum := summaries[name]
		limit, burst, use, priority := "-", "-", "-", "-"
		if sum.Limited {
			limit, burst = fmt.Sprintf("%g", sum.Rate), fmt.Sprintf("%g", sum.Burst)
			if sum.Rate > 0 {
				use = fmt.Sprintf("%.0f%%", 100*sum.sent/sum.Rate)
			}
		}
		if sum.Priority != nil {
			priority = fmt.Sprint(*sum.Priority)
		}
		regions := lo.Map(sum.HomeRegions, func(r model.RegionName, _ int) string { return string(r) })
		t.row(string(name), fmt.Sprintf("%.1f", sum.arrived), fmt.Sprintf("%.1f", sum.sent), limit, burst, use, priority, orDash(strings.Join(regions, ",")))
	}
	t.flush()
}
