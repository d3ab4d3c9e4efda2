package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
)

// TestEvacuationsAfterStoreRestore guards against an evacuation that ends, or begins again,
// because the store was restored from a copy.
func TestEvacuationsAfterStoreRestore(t *testing.T) {
	const zone = "north-a"
	type step struct {
		after     time.Duration // since the restore
		active    bool          // state in the store, unless tick is set
		tick      bool
		evacuated bool // afterwards
	}
	for name, c := range map[string]struct {
		before []bool // states before the restore
		steps  []step
	}{
		"lost and written again": {[]bool{true}, []step{
			{0, false, false, true}, {time.Second, true, false, true}, {restoreSettleTime, false, true, true},
		}},
		"lost for good": {[]bool{true}, []step{
			{0, false, false, true}, {restoreSettleTime - 1, false, true, true}, {restoreSettleTime, false, true, false},
		}},
		"ended, reappears and is removed again": {[]bool{true, false}, []step{
			{0, true, false, false}, {time.Second, false, false, false}, {restoreSettleTime, false, true, false},
		}},
		"ended, reappears and stays": {[]bool{true, false}, []step{
			{0, true, false, false}, {restoreSettleTime, false, true, true},
		}},
		"new":                {nil, []step{{time.Second, true, false, true}}},
		"ends after a while": {[]bool{true}, []step{{restoreSettleTime, false, false, false}}},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher(testRoute())
			for _, active := range c.before {
				d.Step(&CatalogChanged{At: start, Change: &catalog.EvacuationChange{Zone: zone, Active: active}})
			}
			d.Step(&StoreRestored{At: start})
			for i, s := range c.steps {
				if s.tick {
					d.Step(&Tick{At: at(s.after)})
				} else {
					d.Step(&CatalogChanged{At: at(s.after), Change: &catalog.EvacuationChange{Zone: zone, Active: s.active}})
				}
				require.Equal(t, s.evacuated, d.evacuations.active[zone], "step %d", i)
			}
		})
	}
}
