package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// TestRemovedServersStayRemovedAfterStoreRestore guards against sending requests to a server
// that has left because an older entry of it is in a restored store.
func TestRemovedServersStayRemovedAfterStoreRestore(t *testing.T) {
	entry := func(sequence, started int64) *catalog.ServerChange {
		s := testServer("shop-north-a", "north-a", "shop")
		s.Sequence, s.StartedMillis = sequence, started
		return &catalog.ServerChange{Server: s}
	}
	leave := &catalog.ServerRemoved{ID: "shop-north-a"}
	for name, c := range map[string]struct {
		before []catalog.Change
		after  *catalog.ServerChange
		used   int64 // start time of the incarnation that is used, 0 for none
	}{
		"older entry":        {[]catalog.Change{entry(7, 1), leave}, entry(5, 1), 0},
		"last entry":         {[]catalog.Change{entry(7, 1), leave}, entry(7, 1), 0},
		"single later entry": {[]catalog.Change{entry(7, 1), leave}, entry(8, 1), 0},
		"later incarnation":  {[]catalog.Change{entry(7, 1), leave}, entry(0, 2), 2},
		"entry of an incarnation before the last": {[]catalog.Change{entry(7, 1), entry(0, 2)}, entry(5, 1), 2},
		"older entry of a server in use":          {[]catalog.Change{entry(7, 1)}, entry(5, 1), 1},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher(testRoute())
			for _, change := range c.before {
				d.Step(&CatalogChanged{At: start, Change: change})
			}
			d.Step(&StoreRestored{At: at(time.Second)})
			d.Step(&CatalogChanged{At: at(time.Second), Change: c.after})
			if c.used == 0 {
				require.NotContains(t, d.servers, model.BackendName("shop-north-a"))
			} else {
				require.Equal(t, c.used, d.servers["shop-north-a"].entry.StartedMillis)
			}
		})
	}
}

func TestRemovedServersAreForgotten(t *testing.T) {
	r := newRecent[string, int64]()
	r.add(start, "old", 1)
	_, known := r.get(at(maxCopyAge-1), "old")
	require.True(t, known)
	_, known = r.get(at(maxCopyAge), "old")
	require.False(t, known)
	for i := range 2 * maxRecent {
		r.add(at(maxCopyAge), string(rune(i+1)), 1)
		require.LessOrEqual(t, len(r.entries), maxRecent)
	}
	_, known = r.get(at(maxCopyAge), string(rune(2*maxRecent)))
	require.True(t, known)
}

// TestRepeatedEntryIsNotColdAgain guards against servers that are spared as cold because a
// restored store lists the entries that they wrote when they were.
func TestRepeatedEntryIsNotColdAgain(t *testing.T) {
	s := testServer("shop-north-a", "north-a", "shop")
	s.Sequence, s.ColdLeft, s.StartedMillis = 3, 2*time.Second, 2
	d := newDispatcher(testRoute())
	d.Step(&CatalogChanged{At: start, Change: &catalog.ServerChange{Server: s}})
	require.True(t, d.servers[s.ID].cold(at(time.Second)))
	d.Step(&CatalogChanged{At: at(9 * time.Second), Change: &catalog.ServerChange{Server: s}})
	require.False(t, d.servers[s.ID].cold(at(9*time.Second)))
	s.Sequence++
	d.Step(&CatalogChanged{At: at(10 * time.Second), Change: &catalog.ServerChange{Server: s}})
	require.True(t, d.servers[s.ID].cold(at(10*time.Second)))
}

// TestRemovedServersAreHeldAfterStoreRestore guards against using a server that has left where
// not all of its heartbeats are known, so that an old entry looks like a later one.
func TestRemovedServersAreHeldAfterStoreRestore(t *testing.T) {
	entry := func(sequence int64) *CatalogChanged {
		s := testServer("shop-north-a", "north-a", "shop")
		s.Sequence = sequence
		return &CatalogChanged{At: at(time.Second), Change: &catalog.ServerChange{Server: s}}
	}
	leave := func(after time.Duration) *CatalogChanged {
		return &CatalogChanged{At: at(after), Change: &catalog.ServerRemoved{ID: "shop-north-a"}}
	}
	for name, c := range map[string]struct {
		then []Event
		used bool
	}{
		"entry that looks later":            {nil, false},
		"then its removal":                  {[]Event{leave(5 * time.Second), &Tick{At: at(time.Second + staleEntryTTL)}}, false},
		"then a heartbeat":                  {[]Event{entry(45)}, true},
		"still listed for a while":          {[]Event{&Tick{At: at(time.Second + staleEntryTTL - 1)}}, false},
		"still listed after entries expire": {[]Event{&Tick{At: at(time.Second + staleEntryTTL)}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher(testRoute())
			d.Step(leave(0))
			d.Step(&StoreRestored{At: at(time.Second)})
			d.Step(entry(44))
			for _, ev := range c.then {
				d.Step(ev)
			}
			require.Equal(t, c.used, d.servers["shop-north-a"] != nil)
		})
	}
}

// TestEarlierIncarnationStaysReplacedAfterStoreRestore guards against requests to an earlier
// incarnation of a server, whose entry in a restored store looks later than the last known one.
func TestEarlierIncarnationStaysReplacedAfterStoreRestore(t *testing.T) {
	entry := func(after time.Duration, sequence, started int64) *CatalogChanged {
		s := testServer("shop-north-a", "north-a", "shop")
		s.Sequence, s.StartedMillis = sequence, started
		return &CatalogChanged{At: at(after), Change: &catalog.ServerChange{Server: s}}
	}
	expired := &Tick{At: at(time.Second + staleEntryTTL)}
	for name, c := range map[string]struct {
		then []Event
		used int64 // start time of the incarnation that is used
	}{
		"still listed":                      {[]Event{expired}, 2},
		"then a heartbeat of the later one": {[]Event{entry(2*time.Second, 3, 2), expired}, 2},
		"then a third incarnation":          {[]Event{entry(2*time.Second, 0, 3), expired}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher(testRoute())
			d.Step(entry(0, 3, 1))
			d.Step(entry(0, 2, 2))
			d.Step(&StoreRestored{At: at(time.Second)})
			d.Step(entry(time.Second, 44, 1))
			for _, ev := range c.then {
				d.Step(ev)
			}
			require.Equal(t, c.used, d.servers["shop-north-a"].entry.StartedMillis)
		})
	}
}

// TestUnknownEarlierIncarnationAfterStoreRestore guards against too many requests to a cold
// server whose earlier, warm incarnation is listed by a restored store.
func TestUnknownEarlierIncarnationAfterStoreRestore(t *testing.T) {
	entry := func(after time.Duration, started int64, cold time.Duration) *CatalogChanged {
		s := testServer("shop-north-a", "north-a", "shop")
		s.StartedMillis, s.ColdLeft, s.Sequence = started, cold, 1
		return &CatalogChanged{At: at(after), Change: &catalog.ServerChange{Server: s}}
	}
	d := New(testSettings("north"))
	d.Step(entry(0, 2, 5*time.Second))
	d.Step(&StoreRestored{At: at(time.Second)})
	d.Step(entry(time.Second, 1, 0))
	require.EqualValues(t, 2, d.servers["shop-north-a"].entry.StartedMillis)
	require.True(t, d.servers["shop-north-a"].cold(at(time.Second)))
	d.Step(entry(time.Second+restoreSettleTime, 1, 0))
	require.EqualValues(t, 1, d.servers["shop-north-a"].entry.StartedMillis, "written when what was lost is listed again")
}

// TestStartingInstanceLearnsDepartures covers an instance that starts with a restored store
// which lists a server that had left.
func TestStartingInstanceLearnsDepartures(t *testing.T) {
	entry := func(after time.Duration, sequence int64) *CatalogChanged {
		s := testServer("shop-north-a", "north-a", "shop")
		s.Sequence = sequence
		return &CatalogChanged{At: at(after), Change: &catalog.ServerChange{Server: s}}
	}
	peer := newDispatcher(testRoute())
	peer.Step(entry(0, 5))
	none, _ := peer.Departures(at(0))
	require.Empty(t, none)
	peer.Step(&CatalogChanged{At: at(0), Change: &catalog.ServerRemoved{ID: "shop-north-a"}})
	peer.Step(&StoreRestored{At: at(time.Second)})
	departed, age := peer.Departures(at(3 * time.Second))
	require.Len(t, departed, 1)
	require.Equal(t, 2*time.Second, age)
	expired, _ := peer.Departures(at(time.Second + staleEntryTTL))
	require.Empty(t, expired)
	learn := &DeparturesLearned{At: at(3 * time.Second), RestoredAt: at(time.Second), Departed: departed}

	for name, c := range map[string]struct {
		events []Event
		used   bool
	}{
		"the copy's entry first":            {[]Event{entry(2*time.Second, 5), learn}, false},
		"the copy's entry afterwards":       {[]Event{learn, entry(4*time.Second, 5)}, false},
		"an entry that only looks later":    {[]Event{entry(2*time.Second, 44), learn}, false},
		"it lives and writes":               {[]Event{entry(2*time.Second, 44), learn, entry(4*time.Second, 45)}, true},
		"still listed after entries expire": {[]Event{entry(2*time.Second, 44), learn, &Tick{At: at(time.Second + staleEntryTTL)}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher(testRoute())
			d.Step(&CatalogChanged{At: at(0), Change: &catalog.ServerRemoved{ID: "shop-north-a"}}) // of the test's deployment
			d.departures = newDepartures()
			for _, ev := range c.events {
				d.Step(ev)
			}
			require.Equal(t, c.used, d.servers["shop-north-a"] != nil)
		})
	}
}
