package config

import (
	"os"
	"testing"

	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
)

// serviceSize is the number of backend servers of a service and the slots of each.
type serviceSize struct{ backends, slots int }

func TestExamplesHaveExpectedSizes(t *testing.T) {
	for file, want := range map[string]map[model.ServiceName]serviceSize{
		"kaderwerk.ini": {
			"catalogue": {16, 9}, "checkout": {12, 8}, "artwork-intake": {12, 3}, "number-registry": {12, 3},
		},
		"associacao.ini": {
			"corridor-map": {14, 3}, "permits": {12, 3}, "survey-intake": {12, 3}, "work-order-closure": {12, 3},
		},
	} {
		source, err := os.ReadFile("../../examples/" + file)
		require.NoError(t, err)
		text, err := Parse(file, source)
		require.NoError(t, err)
		require.Len(t, text.Zones, 6)
		require.Len(t, text.Limits.Links, 3)
		got := map[model.ServiceName]serviceSize{}
		for _, backend := range text.Backends {
			got[backend.Service] = serviceSize{got[backend.Service].backends + 1, backend.Slots}
		}
		require.Equal(t, want, got)
		zonesOf := func(b Backend) serviceZone { return serviceZone{b.Service, b.Zone} }
		require.Len(t, lo.UniqBy(text.Backends, zonesOf), 4*6, "every service runs in every zone")
	}
}
