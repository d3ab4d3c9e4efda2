package confstore

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/platform"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// testingT is implemented by *testing.T and *rapid.T.
type testingT interface {
	require.TestingT
	Helper()
}

// testFleet is a table that is restored from copies, operators whose clocks differ, and
// instances that read the table and learn revisions from one another.
type testFleet struct {
	t         testingT
	table     *fakeTable
	clock     time.Time
	skew      time.Duration // of the operator's clock
	parents   map[uint64]uint64
	instances []*testInstance
	changes   int
}

// testInstance is what package runtime does about the configuration, without goroutines.
type testInstance struct {
	fleet    *testFleet
	follower *Follower
	active   *config.Revision
	cutOff   bool // from the table
}

func newTestFleet(t testingT, size int) *testFleet {
	f := &testFleet{t: t, table: newFakeTable(noFaults), clock: time.Unix(10_000, 0), parents: map[uint64]uint64{}}
	for range size {
		i := &testInstance{fleet: f}
		i.restart()
		f.instances = append(f.instances, i)
	}
	return f
}

func (f *testFleet) store() *Store {
	return New(f.table, WithRetries(8, time.Microsecond), WithClock(func() time.Time { return f.clock.Add(f.skew) }))
}

func (f *testFleet) head() *config.Revision {
	ctx, cancel := contextWithTimeout()
	defer cancel()
	revision, err := f.store().LoadIfNewer(ctx, 0)
	require.NoError(f.t, err)
	return revision
}

// accept has an operator apply a text to the current revision.
func (f *testFleet) accept() *config.Revision {
	f.t.Helper()
	ctx, cancel := contextWithTimeout()
	defer cancel()
	base := f.head()
	f.changes++
	f.clock = f.clock.Add(time.Second)
	accepted, err := f.store().Apply(ctx, change(revisionNumber(base), f.changes, fmt.Sprint("change-", f.changes)))
	require.NoError(f.t, err)
	if base != nil {
		f.parents[accepted.Identity()] = base.Identity()
	}
	return accepted
}

func (f *testFleet) copy() map[string]platform.Row { return maps.Clone(f.table.rows) }

func (f *testFleet) restore(copied map[string]platform.Row) { f.table.rows = maps.Clone(copied) }

// settle has all instances read the table and exchange revisions until nothing changes.
func (f *testFleet) settle() {
	for range 3 * len(f.instances) {
		for _, i := range f.instances {
			i.poll()
			for _, peer := range f.instances {
				i.hear(peer)
			}
		}
	}
}

func (f *testFleet) requireActive(wanted *config.Revision) {
	f.t.Helper()
	for n, i := range f.instances {
		require.NotNil(f.t, i.active, "instance %d", n)
		require.Equal(f.t, wanted.OperationID, i.active.OperationID, "instance %d", n)
		require.Equal(f.t, wanted.Identity(), i.active.Identity(), "instance %d", n)
	}
}

func (i *testInstance) restart() {
	i.follower = i.fleet.store().Follower()
	i.active = nil
}

func (i *testInstance) next(active *config.Revision) (Update, bool) {
	if i.cutOff {
		return Update{}, false
	}
	ctx, cancel := contextWithTimeout()
	defer cancel()
	update, err := i.follower.Next(ctx, active)
	if err != nil {
		require.ErrorIs(i.fleet.t, err, ErrNoRevision)
		return Update{}, false
	}
	return update, true
}

// poll reads the table. A revision that is before the active one must not be adopted.
func (i *testInstance) poll() {
	update, ok := i.next(i.active)
	if !ok {
		return
	}
	head := i.fleet.head()
	precedes := i.active != nil && head != nil && i.fleet.precedes(head, i.active)
	if precedes || head == nil {
		require.True(i.fleet.t, update.Lost)
		require.Nil(i.fleet.t, update.Revision)
	}
	if update.Revision != nil {
		i.adopt(update.Revision)
	}
}

// precedes walks the parents that the test has recorded.
func (f *testFleet) precedes(older, newer *config.Revision) bool {
	for identity, found := f.parents[newer.Identity()]; found; identity, found = f.parents[identity] {
		if identity == older.Identity() {
			return true
		}
	}
	return false
}

// hear compares the active revision with that of a peer and fetches it if it is later.
func (i *testInstance) hear(peer *testInstance) {
	if !peer.active.Order().After(i.active.Order()) {
		return
	}
	fetched, err := config.DecodeRevision(config.EncodeRevision(peer.active))
	require.NoError(i.fleet.t, err)
	preferred := config.Preferred(i.active, fetched)
	if preferred == i.active {
		return
	}
	if i.active != nil && !i.active.Related(fetched) {
		if update, ok := i.next(fetched); ok && update.Revision != nil {
			preferred = update.Revision
		}
	}
	i.adopt(preferred)
}

func (i *testInstance) adopt(revision *config.Revision) {
	require.Positive(i.fleet.t, revision.Order().Compare(i.active.Order()), "a step back")
	i.active = revision
}

// TestInstancesAgreeAfterTableRestores has operators with different clocks change a table
// that is restored from copies, while instances restart and are cut off from it. No
// instance steps back, all agree in the end, and a change that is accepted after the last
// restore is in force everywhere, also where it has the number of a lost one.
func TestInstancesAgreeAfterTableRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(t, 3)
		copies := []map[string]platform.Row{}
		instance := func() *testInstance {
			return f.instances[rapid.IntRange(0, len(f.instances)-1).Draw(t, "instance")]
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"accept", "accept", "copy", "restore", "poll", "poll", "hear", "hear", "restart", "cut"}).Draw(t, "step") {
			case "accept":
				f.skew = time.Duration(rapid.IntRange(-60, 60).Draw(t, "skew"))*time.Second + time.Duration(f.changes)
				f.accept()
			case "copy":
				copies = append(copies, f.copy())
			case "restore":
				if len(copies) > 0 {
					f.restore(copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")])
				}
			case "poll":
				instance().poll()
			case "hear":
				instance().hear(instance())
			case "restart":
				instance().restart()
			case "cut":
				i := instance()
				i.cutOff = !i.cutOff
			}
		}
		for _, i := range f.instances {
			i.cutOff = false
		}
		f.settle()
		if active := f.instances[0].active; active != nil {
			f.requireActive(active)
		}
		accepted := f.accept()
		f.settle()
		f.requireActive(accepted)
	})
}

// TestInstancesKeepRevisionThatTableHasLost covers the time between a restore and the next
// accepted change.
func TestInstancesKeepRevisionThatTableHasLost(t *testing.T) {
	f := newTestFleet(t, 2)
	empty := f.copy()
	f.accept()
	copied := f.copy()
	f.accept()
	active := f.accept()
	f.settle()
	f.requireActive(active)
	for _, restored := range []map[string]platform.Row{copied, empty} {
		f.restore(restored)
		f.instances[1].restart() // it starts with what the table holds, then learns the later one
		f.settle()
		f.requireActive(active)
		update, ok := f.instances[0].next(active)
		require.True(t, ok)
		require.True(t, update.Lost)
	}
	accepted := f.accept()
	f.settle()
	f.requireActive(accepted)
	update, ok := f.instances[0].next(f.instances[0].active)
	require.True(t, ok)
	require.False(t, update.Lost)
}

// TestLostRevisionIsNotBroughtBackByPeer has one instance that cannot reach the platform
// hold a lost revision, with a higher number and a later time of acceptance than the one
// that was accepted after the restore. The other instances run that one, one of them
// without having known the lost one.
func TestLostRevisionIsNotBroughtBackByPeer(t *testing.T) {
	f := newTestFleet(t, 3)
	f.accept()
	copied := f.copy()
	f.accept()
	f.skew = time.Hour
	lost := f.accept()
	f.settle()
	f.skew = 0
	lagging, restarted := f.instances[0], f.instances[1]
	lagging.cutOff = true
	f.restore(copied)
	accepted := f.accept()
	require.Less(t, accepted.Number, lost.Number)

	restarted.restart()
	restarted.poll()
	require.Equal(t, accepted.Identity(), restarted.active.Identity())
	restarted.hear(lagging)
	require.Equal(t, accepted.Identity(), restarted.active.Identity(), "the table has the other one")
	f.settle()
	f.requireActive(accepted)
}

// TestNumberOfLostRevisionIsGivenOutAgain covers a new revision with the number of the lost
// one that is in force, and a planned stop that is announced again, which repeats its
// operation.
func TestNumberOfLostRevisionIsGivenOutAgain(t *testing.T) {
	f := newTestFleet(t, 2)
	f.accept()
	copied := f.copy()
	f.accept()
	announced, err := f.store().Announce(t.Context(), stop("a"))
	require.NoError(t, err)
	f.settle()
	f.requireActive(announced)

	f.restore(copied)
	f.accept()
	f.clock = f.clock.Add(time.Second)
	again, err := f.store().Announce(t.Context(), stop("a"))
	require.NoError(t, err)
	require.Equal(t, announced.Number, again.Number)
	require.Equal(t, announced.OperationID, again.OperationID)
	f.settle()
	f.requireActive(again)
	require.Equal(t, again.Source, f.instances[0].active.Source)
}

// TestRowsOfEarlierVersion covers revisions of a version of the command line that writes
// neither ancestors nor the identity row.
func TestRowsOfEarlierVersion(t *testing.T) {
	f := newTestFleet(t, 1)
	i := f.instances[0]
	downgrade := func() {
		revision := *f.head()
		revision.Ancestors = nil
		value, err := proto.Marshal(config.EncodeRevision(&revision))
		require.NoError(t, err)
		row := f.table.rows[revisionKey(revision.Number)]
		row.Value = value
		f.table.rows[row.Key] = row
		delete(f.table.rows, identityKey)
	}
	f.accept()
	downgrade()
	copied := f.copy()
	i.poll()
	for range 2 {
		f.accept()
		downgrade()
		f.settle()
		require.Equal(t, f.head().Identity(), i.active.Identity())
	}
	active := i.active
	f.restore(copied)
	f.settle()
	require.Equal(t, active, i.active)
	accepted := f.accept()
	downgrade()
	f.settle()
	require.Equal(t, accepted.Identity(), i.active.Identity())
	accepted = f.accept()
	f.settle()
	require.Equal(t, accepted.Identity(), i.active.Identity())
}

// TestPollReadsNoRevisionInVain guards the platform against reads of whole texts by every
// instance while a table that was restored holds an older revision.
func TestPollReadsNoRevisionInVain(t *testing.T) {
	f := newTestFleet(t, 1)
	f.accept()
	copied := f.copy()
	f.accept()
	f.settle()
	f.restore(copied)
	f.table.reads = map[string]int{}
	for range 3 {
		update, ok := f.instances[0].next(f.instances[0].active)
		require.True(t, ok)
		require.True(t, update.Lost)
	}
	require.Zero(t, f.table.reads[revisionKey(1)])
}
