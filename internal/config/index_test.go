package config

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"testing"

	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/stretchr/testify/require"
)

func TestIndexLookups(t *testing.T) {
	x := NewIndex(mustParse(t, smallText))
	for _, c := range []struct{ method, path, want string }{
		{"POST", "/orders", "place-order"},
		{"GET", "/orders", ""},
		{"GET", "/orders/7", "read-order"},
		{"DELETE", "/orders/7", "any-order"},
		{"GET", "/numbers/", "numbers"},
		{"GET", "/", ""},
		{"GET", "", ""},
	} {
		route, found := x.MatchRoute(c.method, c.path)
		require.Equal(t, c.want != "", found, "%+v", c)
		if found {
			require.Equal(t, model.RouteName(c.want), route.Name)
		}
	}
	group, found := x.CallerGroup(netip.MustParseAddr("::ffff:10.65.1.2"))
	require.True(t, found)
	require.Equal(t, model.CallerGroupName("bavaria"), group.Name)
	_, found = x.CallerGroup(netip.MustParseAddr("192.0.2.1"))
	require.False(t, found)
	require.Equal(t, []model.ServiceName{"registry"}, x.Dependencies("checkout"))
	require.Equal(t, []model.ZoneName{"munich-a", "munich-b"}, x.ZonesOf("munich"))
	require.Equal(t, 8, x.Slots("checkout", "munich-a"))
	require.Len(t, x.Backends("checkout", "frankfurt-a"), 1)
	budget, found := x.LinkBudget("munich", "frankfurt")
	require.True(t, found)
	require.EqualValues(t, 250_000_000, budget)
	_, found = x.LinkBudget("munich", "munich")
	require.False(t, found)
}

func TestIndexLookupsDoNotAllocate(t *testing.T) {
	x := NewIndex(mustParse(t, smallText))
	address := netip.MustParseAddr("10.65.1.2")
	require.Zero(t, testing.AllocsPerRun(100, func() {
		x.MatchRoute("DELETE", "/orders/7")
		x.CallerGroup(address)
	}))
}

const benchmarkBlocks = 130_000

// benchmarkText returns a text with 130,000 /24 blocks, randomly spread over the IPv4
// addresses and over 110 caller groups.
func benchmarkText() *Text {
	const groups = 110
	random := rand.New(rand.NewPCG(1, 2))
	text := &Text{Callers: make([]CallerGroup, groups), Limits: defaultLimits()}
	for i := range text.Callers {
		text.Callers[i].Name = model.CallerGroupName(fmt.Sprintf("group-%d", i))
	}
	seen := map[uint32]bool{}
	for len(seen) < benchmarkBlocks {
		network := random.Uint32N(1 << 24)
		if seen[network] {
			continue
		}
		seen[network] = true
		address := netip.AddrFrom4([4]byte{byte(network >> 16), byte(network >> 8), byte(network)})
		group := &text.Callers[random.IntN(groups)]
		group.Blocks = append(group.Blocks, netip.PrefixFrom(address, 24))
	}
	return text
}

func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkCallerGroup reports the time of one lookup and, as index-MB, the memory
// that the index takes in addition to the text.
func BenchmarkCallerGroup(b *testing.B) {
	text := benchmarkText()
	before := liveHeap()
	x := NewIndex(text)
	indexBytes := float64(liveHeap()) - float64(before)
	addresses := make([]netip.Addr, 1<<16)
	random := rand.New(rand.NewPCG(3, 4))
	for i := range addresses {
		group := text.Callers[random.IntN(len(text.Callers))]
		addresses[i] = group.Blocks[random.IntN(len(group.Blocks))].Addr()
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if _, found := x.CallerGroup(addresses[i&(len(addresses)-1)]); !found {
			b.Fatal("no caller group")
		}
		i++
	}
	b.ReportMetric(indexBytes/1e6, "index-MB")
	runtime.KeepAlive(text)
}

func BenchmarkMatchRoute(b *testing.B) {
	x := NewIndex(mustParse(b, smallText))
	b.ReportAllocs()
	for b.Loop() {
		x.MatchRoute("DELETE", "/orders/7")
	}
}

// BenchmarkParse parses a text with 130,000 blocks in 110 caller groups.
func BenchmarkParse(b *testing.B) {
	text := benchmarkText()
	small := mustParse(b, smallText)
	for i := range text.Callers {
		slices.SortFunc(text.Callers[i].Blocks, netip.Prefix.Compare)
		text.Callers[i].Home = []model.ZoneName{"munich-a"}
	}
	text.Zones, text.Services, text.Routes = small.Zones, small.Services, small.Routes
	text.Backends, text.Limits = small.Backends, small.Limits
	source := []byte(render(text))
	b.SetBytes(int64(len(source)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse("bench.ini", source); err != nil {
			b.Fatal(err)
		}
	}
}
