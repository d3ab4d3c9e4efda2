package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// saves returns the suspects that an event makes an instance save.
func saves(d *Dispatcher, ev Event) [][]membership.Suspect {
	var list [][]membership.Suspect
	for _, f := range d.Step(ev) {
		if save, ok := f.(*SaveSuspects); ok {
			list = append(list, save.Suspects)
		}
	}
	return list
}

// struck returns an instance that has seen strikes of a request at servers, a second apart.
func struck(servers ...model.BackendName) *Dispatcher {
	d := New(testSettings("north"))
	d.Step(&InstancesCounted{At: start, Instances: 1})
	for i, s := range servers {
		d.suspects.Strike(at(time.Duration(i)*time.Second), 1, s)
	}
	return d
}

// TestSuspectIsSavedOnceItIsInDoubt guards against a request that crashes servers anew after
// all instances were killed, and against writes for each request in flight at a crash.
func TestSuspectIsSavedOnceItIsInDoubt(t *testing.T) {
	d := struck("s-1")
	require.Empty(t, saves(d, &Tick{At: at(time.Second)}), "a strike alone is usual")
	d.Step(&SuspectsReceived{At: at(time.Second), Suspects: []membership.Suspect{{
		Fingerprint: 1, Servers: []model.BackendName{"s-2"}, Expires: start.Add(10 * time.Minute),
	}}})
	var first []membership.Suspect
	for now := time.Second; first == nil; now += 100 * time.Millisecond {
		require.Less(t, now, 2*time.Second)
		if list := saves(d, &Tick{At: at(now)}); list != nil {
			first = list[0]
		}
	}
	require.Len(t, first, 1)
	require.True(t, first[0].Doubtful())
	require.Empty(t, saves(d, &Tick{At: at(4 * time.Second)}), "one write at a time")
	d.Step(&SuspectsSaved{OK: true, Suspects: first})
	require.Empty(t, saves(d, &Tick{At: at(10 * time.Second)}))
	d.Step(&StoreRestored{At: at(11 * time.Second)})
	d.Step(&Tick{At: at(12 * time.Second)})
	require.Len(t, saves(d, &Tick{At: at(13 * time.Second)}), 1, "the store may have lost it")
}

// TestSuspectThatWasNotSavedIsSavedLater covers a store that is away.
func TestSuspectThatWasNotSavedIsSavedLater(t *testing.T) {
	d := struck("s-1", "s-2")
	writes := 0
	for now := 2 * time.Second; now < 12*time.Second; now += 100 * time.Millisecond {
		for _, list := range saves(d, &Tick{At: at(now)}) {
			writes++
			d.Step(&SuspectsSaved{OK: writes == 5, Suspects: list})
		}
	}
	require.Equal(t, 5, writes)
}

// TestInstancesSaveWithinTheRateOfTheStore has hundreds of instances of which each has seen a
// strike of the same request.
func TestInstancesSaveWithinTheRateOfTheStore(t *testing.T) {
	const instances = 303
	var fleet []*Dispatcher
	for i := range instances {
		d := struck("s-1", "s-2")
		d.settings.Self = model.InstanceID(string(rune('a'+i%26)) + string(rune('a'+i/26)))
		d.Step(&InstancesCounted{At: start, Instances: instances})
		fleet = append(fleet, d)
	}
	writes := map[time.Duration]int{}
	for now := 2 * time.Second; now < 60*time.Second; now += 100 * time.Millisecond {
		for _, d := range fleet {
			for _, list := range saves(d, &Tick{At: at(now)}) {
				writes[now.Truncate(time.Second)]++
				d.Step(&SuspectsSaved{Suspects: list}) // fails
			}
		}
	}
	for second, n := range writes {
		require.LessOrEqual(t, n, 2*fleetSavesPerSecond, "at %v", second)
	}
}
