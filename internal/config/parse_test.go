package config

import (
	"errors"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

func mustParse(t testing.TB, source string) *Text {
	t.Helper()
	text, err := Parse("test.ini", []byte(source))
	require.NoError(t, err)
	return text
}

func TestParseReadsEverySection(t *testing.T) {
	text := mustParse(t, smallText)
	require.Equal(t, Zone{Name: "frankfurt-a", Region: "frankfurt"}, text.Zones[0])
	require.Equal(t, Service{
		Name:      "checkout",
		DependsOn: []model.ServiceName{"registry"},
		Target:    Target{Ratio: 0.999, Latency: 300 * time.Millisecond},
	}, text.Services[0])
	require.Equal(t, Route{
		Name: "place-order", Service: "checkout", Method: "POST", Path: "/orders",
		Rank: model.Urgent, Kind: model.Once, Deadline: 800 * time.Millisecond,
	}, text.Routes[2])
	require.Equal(t, Route{
		Name: "read-order", Service: "checkout", Method: "GET", Path: "/orders/*",
		Rank: DefaultRank, Kind: model.Read, Deadline: DefaultDeadline,
	}, text.Routes[3])
	require.Equal(t, Backend{
		Name: "checkout-01", Service: "checkout", Zone: "munich-a",
		Address: netip.MustParseAddrPort("127.0.0.1:21001"), Slots: 8,
	}, text.Backends[0])
	require.Equal(t, []model.ZoneName{"munich-a", "munich-b"}, text.Callers[0].Home)
	require.Equal(t, Limits{
		ShiftCap: ShiftCap{Fraction: 0.2, Window: time.Minute},
		Floors:   [model.RankCount]float64{0.5, DefaultNormalFloor, DefaultBackgroundFloor},
		Links:    []Link{{A: "frankfurt", B: "munich", BytesPerSecond: 250_000_000}},
	}, text.Limits)
}

func TestParseReportsEveryProblem(t *testing.T) {
	_, err := Parse("broken.ini", []byte(brokenText))
	var problems *Problems
	require.ErrorAs(t, err, &problems)
	goldie.New(t).Assert(t, "problems", []byte(err.Error()+"\n"))
}

func TestParseRejectsEmptyText(t *testing.T) {
	for _, source := range []string{"", "\n\n; nothing\n"} {
		_, err := Parse("empty.ini", []byte(source))
		require.EqualError(t, err, "empty.ini:1: the text has no sections; describe at least one zone, service, route and backend")
	}
}

func TestParseRejectsFloorsAboveWhole(t *testing.T) {
	_, err := Parse("f.ini", []byte(strings.Replace(smallText, "urgent floor = 50%", "urgent floor = 66%", 1)))
	require.ErrorContains(t, err, "[limits] the floors sum to 101%")
}

func TestParseAcceptsCarriageReturnsAndByteOrderMark(t *testing.T) {
	source := "\xef\xbb\xbf" + strings.ReplaceAll(smallText, "\n", "\r\n")
	require.Equal(t, mustParse(t, smallText), mustParse(t, source))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(smallText))
	f.Add([]byte(brokenText))
	f.Add([]byte("[zone a]\nregion = \"a\n[limits]\n- = 1\nlink - = 1bit"))
	f.Add([]byte("[service a]\ndepends on = a\n[route r]\nmatch = * *\n`"))
	f.Fuzz(func(t *testing.T, source []byte) {
		text, err := Parse("fuzz.ini", source)
		if err == nil {
			NewIndex(text).MatchRoute("GET", "/")
			return
		}
		var problems *Problems
		require.True(t, errors.As(err, &problems))
		lines := strings.Count(string(source), "\n") + 1
		for _, p := range problems.List {
			require.True(t, p.Line >= 1 && p.Line <= lines, "%v", p)
		}
	})
}
