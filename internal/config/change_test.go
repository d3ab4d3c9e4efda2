package config

import (
	"strings"
	"testing"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

func TestDiffListsEachChange(t *testing.T) {
	changed := strings.NewReplacer(
		"slots = 4", "slots = 6",
		"rank = background\n", "",
		"10.64.0.0/12, 2001:db8::/32", "10.64.0.0/12, 10.96.0.0/12",
		"[service registry]", "[service registry]\n[service extra]\n[route extra]\nservice = extra\nmatch = GET /extra\n[backend extra-01]\nservice = extra\nzone = munich-a\naddress = 127.0.0.1:1\nslots = 1\n",
		"target = 99.9% in 300ms\n", "",
	).Replace(smallText)
	old, new := mustParse(t, smallText), mustParse(t, changed)
	require.Equal(t, []Change{
		{Kind: Changed, Section: "service checkout", Key: "target", Old: "99.9% in 300ms"},
		{Kind: Added, Section: "service extra"},
		{Kind: Changed, Section: "route any-order", Key: "rank", Old: "background", New: "normal"},
		{Kind: Added, Section: "route extra", New: "service = extra; match = GET /extra; rank = normal; kind = read; deadline = 2s"},
		{Kind: Changed, Section: "backend checkout-03", Key: "slots", Old: "4", New: "6"},
		{Kind: Added, Section: "backend extra-01", New: "service = extra; zone = munich-a; address = 127.0.0.1:1; slots = 1"},
		{Kind: Changed, Section: "callers bavaria", Key: "blocks", Old: "2001:db8::/32", New: "10.96.0.0/12"},
	}, Diff(old, new))
	require.Empty(t, Diff(old, old))
	require.Len(t, Diff(old, nil), len(describe(old)))
}

func TestImpactOfPlannedStops(t *testing.T) {
	text := mustParse(t, smallText)
	impacts := Impact(text, []Stop{{Scope: StopZone, Target: "munich-a"}, {Scope: StopBackend, Target: "checkout-01"}})
	require.Equal(t, []ServiceImpact{
		{
			Service: "checkout",
			Zones:   []ZoneImpact{{"frankfurt-a", 4, 4}, {"munich-a", 8, 0}, {"munich-b", 8, 8}},
			Before:  20, After: 12, ShareLeft: 0.6, UrgentFits: true,
			MoveTime:   200 * time.Second, // 8 slots at 20 % of 12 slots a minute
			Dependents: []model.ServiceName{},
		},
		{
			Service: "registry", Zones: []ZoneImpact{{"munich-a", 3, 0}},
			Before: 3, NoReceiver: true, Dependents: []model.ServiceName{"checkout"},
		},
	}, impacts)
	require.Empty(t, Impact(text, []Stop{{Scope: StopInstance, Target: "entry-1"}}))
	region := Impact(text, []Stop{{Scope: StopRegion, Target: "munich"}})
	require.Equal(t, 4, region[0].After)
	require.False(t, region[0].UrgentFits)
}

func TestCheckStopSuggestsNames(t *testing.T) {
	text := mustParse(t, smallText)
	require.NoError(t, CheckStop(text, Stop{Scope: StopRegion, Target: "munich"}))
	err := CheckStop(text, Stop{Scope: StopBackend, Target: "chekout-03"})
	require.EqualError(t, err, `planned stop of "backend:chekout-03": the text has no backend "chekout-03"; did you mean checkout-03?`)
	_, _, err = ParseStopTarget("server:x")
	require.ErrorContains(t, err, "write backend:NAME")
}

func TestRevisionRoundTripAndHash(t *testing.T) {
	stops := []Stop{{ID: "s1", Scope: StopZone, Target: "munich-a", Author: "ana", Reason: "rack", At: time.Unix(5, 6).UTC()}}
	want := &Revision{
		Number: 7, Source: []byte(smallText), Hash: HashRevision([]byte(smallText), stops), Stops: stops, Author: "ana",
		Reason: "r", AcceptedAt: time.Unix(7, 8).UTC(), OperationID: "op", Earlier: []TextChange{{Source: []byte("older"), AcceptedAt: time.Unix(4, 5).UTC()}, {Source: []byte("old"), AcceptedAt: time.Unix(5, 0).UTC()}}, TextAcceptedAt: time.Unix(6, 0).UTC(),
	}
	message := EncodeRevision(want)
	got, err := DecodeRevision(message)
	require.NoError(t, err)
	require.Equal(t, want, got)
	corrupt := proto.CloneOf(message)
	corrupt.Stops[0].Target = "munich-b"
	_, err = DecodeRevision(corrupt)
	var hashError *HashError
	require.ErrorAs(t, err, &hashError)
	require.EqualValues(t, 7, hashError.Number)
	require.NotEqual(t, HashRevision([]byte("ab"), nil), HashRevision([]byte("a"), nil))
}
