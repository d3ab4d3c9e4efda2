package config

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// render returns a source that Parse converts back to t.
func render(t *Text) string {
	var b strings.Builder
	for _, d := range describe(t) {
		fmt.Fprintf(&b, "[%s]\n", strings.TrimSpace(d.title))
		for _, f := range d.fields {
			if f.value != "" {
				fmt.Fprintf(&b, "%s = %s\n", f.key, f.value)
			}
		}
		if len(d.blocks) > 0 {
			fmt.Fprintf(&b, "%s = %s\n", keyBlocks, joinBlocks(d.blocks))
		}
	}
	return b.String()
}

func joinBlocks(blocks []netip.Prefix) string {
	var parts []string
	for _, block := range blocks {
		parts = append(parts, block.String())
	}
	return strings.Join(parts, ", ")
}

// drawText generates a valid text with the sections in the order that Parse returns.
func drawText(t *rapid.T) *Text {
	percent := func(label string, low, high int) float64 {
		fraction, err := parsePercent(fmt.Sprintf("%d.%d%%", rapid.IntRange(low, high-1).Draw(t, label), rapid.IntRange(0, 9).Draw(t, label)))
		require.NoError(t, err)
		return fraction
	}
	duration := func(label string) time.Duration {
		return time.Duration(rapid.Int64Range(1, int64(maxDuration)).Draw(t, label))
	}
	text := &Text{Limits: defaultLimits()}
	text.Limits.ShiftCap = ShiftCap{Fraction: percent("cap", 1, 100), Window: duration("window")}
	for i := range text.Limits.Floors {
		text.Limits.Floors[i] = percent("floor", 0, 33)
	}
	regions := rapid.IntRange(1, 4).Draw(t, "regions")
	for i := range regions {
		name := model.RegionName(fmt.Sprintf("r%d", i))
		for z := range rapid.IntRange(1, 2).Draw(t, "zones") {
			text.Zones = append(text.Zones, Zone{Name: model.ZoneName(fmt.Sprintf("%s-%d", name, z)), Region: name})
		}
		for j := i + 1; j < regions; j++ {
			link := Link{A: name, B: model.RegionName(fmt.Sprintf("r%d", j)), BytesPerSecond: rapid.Int64Range(1, 1e9).Draw(t, "link")}
			text.Limits.Links = append(text.Limits.Links, link)
		}
	}
	zone := rapid.SampledFrom(text.Zones)
	for i := range rapid.IntRange(1, 5).Draw(t, "services") {
		service := Service{Name: model.ServiceName(fmt.Sprintf("s%d", i))}
		for j := range i { // only earlier services, to avoid cycles
			if rapid.Bool().Draw(t, "depends") {
				service.DependsOn = append(service.DependsOn, model.ServiceName(fmt.Sprintf("s%d", j)))
			}
		}
		if rapid.Bool().Draw(t, "target") {
			service.Target = Target{Ratio: percent("ratio", 1, 100), Latency: duration("latency")}
		}
		text.Services = append(text.Services, service)
		text.Routes = append(text.Routes, Route{
			Name: model.RouteName("route-" + service.Name), Service: service.Name,
			Method:   rapid.SampledFrom([]string{"GET", "POST", anyMethod}).Draw(t, "method"),
			Path:     fmt.Sprintf("/%s/%s", service.Name, rapid.SampledFrom([]string{"", "*", "a"}).Draw(t, "path")),
			Rank:     model.Rank(rapid.IntRange(0, model.RankCount-1).Draw(t, "rank")),
			Kind:     rapid.SampledFrom([]model.Kind{model.Read, model.Idempotent, model.Once}).Draw(t, "kind"),
			Deadline: duration("deadline"),
		})
		text.Backends = append(text.Backends, Backend{
			Name: model.BackendName("backend-" + service.Name), Service: service.Name, Zone: zone.Draw(t, "zone").Name,
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i)), Slots: rapid.IntRange(1, maxSlots).Draw(t, "slots"),
		})
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "callers") {
		block := netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(10 + i)}), rapid.IntRange(8, 32).Draw(t, "bits"))
		text.Callers = append(text.Callers, CallerGroup{
			Name: model.CallerGroupName(fmt.Sprintf("c%d", i)), Blocks: []netip.Prefix{block}, Home: []model.ZoneName{zone.Draw(t, "home").Name},
		})
	}
	return text
}

func TestParseReadsRenderedText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawText(t)
		got, err := Parse("rendered.ini", []byte(render(want)))
		require.NoError(t, err)
		require.Equal(t, *want, *got)
		require.Empty(t, Diff(want, got))
	})
}
