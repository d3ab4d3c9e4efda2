package pacing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

const (
	fleetMaxAge = 7 * time.Second
	fleetStep   = 50 * time.Millisecond
	fleetZones  = 9
	epoch       = model.Instant(time.Hour)
)

// fleetRun plays instances that join, leave, restart, lose touch with the store by zones, and
// learn of all that at different times, by clocks of their own. It guards against units that
// two instances use within one window, and units that nobody uses.
type fleetRun struct {
	random    *rand.Rand
	now       model.Instant
	history   []fleetVersion // of the store's list, oldest first
	instances []*fleetInstance
	size      int // at the start
	joinedAt  model.Instant
}

type fleetVersion struct {
	at   model.Instant
	list []Member
}

type fleetInstance struct {
	Member
	zone     int
	offset   time.Duration // of its clock
	fleet    *Fleet
	sends    Window
	seen     int // version of the list
	asOf     model.Instant
	cut      bool
	startsAt model.Instant
	stopsAt  model.Instant // 0 while it runs on
}

func newFleetRun(seed uint64, instances int) *fleetRun {
	r := &fleetRun{random: rand.New(rand.NewPCG(seed, uint64(instances))), now: epoch, size: instances}
	for i := range instances {
		r.instances = append(r.instances, r.newInstance(i))
	}
	r.write()
	r.advance(fleetMaxAge+25*time.Second, nil)
	return r
}

func (r *fleetRun) newInstance(i int) *fleetInstance {
	in := &fleetInstance{
		Member: Member{ID: model.InstanceID(fmt.Sprint("i-", i)), Region: model.RegionName(fmt.Sprint(i % 3)), Weight: 1},
		zone:   i % fleetZones,
	}
	if i%3 == 0 {
		in.Weight = 20
	}
	r.start(in)
	return in
}

// start begins a new process of an instance, which knows nothing.
func (r *fleetRun) start(in *fleetInstance) {
	in.offset = time.Duration(r.random.IntN(1000)) * time.Hour
	in.fleet = &Fleet{Self: in.ID, MaxAge: fleetMaxAge}
	in.sends = Window{Span: time.Second}
	in.seen, in.asOf, in.stopsAt = -1, 0, 0
	// A process takes more than a second to be replaced.
	in.startsAt = r.now.Add(time.Second + time.Duration(r.random.IntN(2000))*time.Millisecond)
}

func (in *fleetInstance) clock(at model.Instant) model.Instant { return at.Add(in.offset) }

// write writes the store's list: the instances that do not stop.
func (r *fleetRun) write() {
	v := fleetVersion{at: r.now}
	for _, in := range r.instances {
		if in.stopsAt == 0 {
			v.list = append(v.list, in.Member)
		}
	}
	r.history = append(r.history, v)
}

// read brings an instance's list up to some moment between the one that it knows and now.
func (r *fleetRun) read(in *fleetInstance) {
	from := max(in.asOf, r.now.Add(-fleetMaxAge))
	in.asOf = from.Add(time.Duration(r.random.Int64N(int64(r.now.Sub(from)) + 1)))
	if in.seen < 0 {
		in.asOf = r.now
	}
	latest := in.seen
	for n, v := range r.history {
		if v.at <= in.asOf {
			latest = n
		}
	}
	if latest != in.seen {
		in.seen = latest
		in.fleet.SetListed(in.clock(r.now), r.history[latest].list)
	}
	in.fleet.Confirm(in.clock(in.asOf))
}

// advance steps the instances in random order; use is called for each at each step.
func (r *fleetRun) advance(length time.Duration, use func(*fleetInstance)) {
	for end := r.now.Add(length); r.now < end; r.now = r.now.Add(fleetStep) {
		for _, n := range r.random.Perm(len(r.instances)) {
			in := r.instances[n]
			if r.now < in.startsAt || (in.stopsAt != 0 && r.now >= in.stopsAt) {
				continue
			}
			if !in.cut && (in.seen < 0 || r.random.IntN(40) == 0 || r.now.Sub(in.asOf) > fleetMaxAge-fleetStep) {
				r.read(in)
			}
			if use != nil {
				use(in)
			}
		}
	}
}

// join adds an eleventh of the instances, or starts as many again that were removed. Unless the
// bound is strict, instances use equal shares as soon as they join, so that a fleet that lives on
// these may not grow by more than the margin of its bounds before all know of it.
func (r *fleetRun) join() {
	if r.size < 20 && r.now.Sub(r.joinedAt) < fleetMaxAge+time.Second {
		return
	}
	r.joinedAt = r.now
	r.add(max(1, len(r.instances)/11))
}

// add starts as many instances that were removed, or new ones.
func (r *fleetRun) add(joining int) {
	for _, in := range r.instances {
		if joining > 0 && in.stopsAt != 0 && r.now >= in.stopsAt {
			r.start(in)
			joining--
		}
	}
	for range joining {
		r.instances = append(r.instances, r.newInstance(len(r.instances)))
	}
}

func (r *fleetRun) running() int {
	n := 0
	for _, in := range r.instances {
		if in.stopsAt == 0 {
			n++
		}
	}
	return n
}

// disturb changes the fleet in one of several ways.
func (r *fleetRun) disturb() {
	switch r.random.IntN(6) {
	case 0:
		r.join()
	case 1: // some are removed, and take requests until they know or their time is up
		for range max(1, len(r.instances)/11) {
			if in := r.instances[r.random.IntN(len(r.instances))]; in.stopsAt == 0 && r.running() > r.size*2/3 {
				in.stopsAt = r.now.Add(time.Duration(r.random.IntN(6000)) * time.Millisecond)
			}
		}
	case 2, 3: // processes are replaced
		zone := r.random.IntN(fleetZones)
		for _, in := range r.instances {
			if in.stopsAt == 0 && (in.zone == zone || r.random.IntN(8) == 0) {
				r.start(in)
			}
		}
	case 4: // a zone loses touch with the store and its peers
		zone := r.random.IntN(fleetZones)
		for _, in := range r.instances {
			in.cut = in.cut || in.zone == zone
		}
	case 5:
		for _, in := range r.instances {
			in.cut = false
		}
	}
	r.write()
}

// sender returns a function that sends what an instance may of a bound, and notes when it did.
func (r *fleetRun) sender(b Bound, times *[]model.Instant) func(*fleetInstance) {
	return func(in *fleetInstance) {
		now := in.clock(r.now)
		if in.sends.TimeUntilBelow(now, in.fleet.Share(now, b)) == 0 {
			in.sends.Add(now)
			*times = append(*times, r.now)
		}
	}
}

// requireWindows checks that at most limit of the sorted times lie within any span.
func requireWindows(t *testing.T, times []model.Instant, span time.Duration, limit int, note string) {
	t.Helper()
	for i := limit; i < len(times); i++ {
		require.GreaterOrEqual(t, times[i].Sub(times[i-limit]), span, note)
	}
}

// TestFleetStaysWithinABound plays a cold server that every instance would send to all the
// time.
func TestFleetStaysWithinABound(t *testing.T) {
	for _, size := range []int{7, 78, 784} {
		for seed := range uint64(1 + 500/uint64(size)) {
			r := newFleetRun(seed, size)
			b := Bound{Key: seed, Units: 1 + r.random.IntN(60), Near: "1", Span: time.Second}
			var times []model.Instant
			send := r.sender(b, &times)
			const calm = 10 * time.Second
			r.advance(calm, send)
			note := fmt.Sprintf("%d instances, seed %d, %d units", size, seed, b.Units)
			requireWindows(t, times, b.Span, b.Units, note)
			require.GreaterOrEqual(t, len(times), b.Units*int(calm/b.Span)*9/10, "%s: the units are used", note)

			for range 12 {
				r.disturb()
				r.advance(time.Duration(r.random.IntN(12000))*time.Millisecond, send)
			}
			limit := b.Units
			if b.Units >= size/2 {
				limit = b.Units * 10 / 7 // some instances have equal shares
			}
			requireWindows(t, times, b.Span, limit, note)
		}
	}
}

// TestStrictBoundHoldsWhileInstancesJoin guards against instances that join, many at a time, and use
// their shares beside those that do not know of them yet.
func TestStrictBoundHoldsWhileInstancesJoin(t *testing.T) {
	for _, size := range []int{1, 3, 7} {
		for seed := range uint64(100) {
			r := newFleetRun(seed, size)
			b := Bound{Key: seed, Units: 1 + r.random.IntN(20), Near: "1", Span: time.Second, Strict: true}
			var times []model.Instant
			send := r.sender(b, &times)
			for range 6 {
				switch r.random.IntN(3) {
				case 0:
					for _, in := range r.instances[1:] {
						if in.stopsAt == 0 && r.random.IntN(2) == 0 {
							in.stopsAt = r.now.Add(time.Duration(r.random.IntN(6000)) * time.Millisecond)
						}
					}
				case 1:
					for _, in := range r.instances {
						if in.stopsAt == 0 && r.random.IntN(3) == 0 {
							r.start(in) // another process
						}
					}
				default:
					r.add(1 + r.random.IntN(2*size))
				}
				r.write()
				r.advance(time.Duration(r.random.IntN(12000))*time.Millisecond, send)
			}
			note := fmt.Sprintf("%d instances, seed %d, %d units", size, seed, b.Units)
			requireWindows(t, times, b.Span, b.Units, note)
			const calm = 10 * time.Second
			r.advance(fleetMaxAge+3*time.Second+fleetMaxAge+b.Span, send)
			before := len(times)
			r.advance(calm, send)
			require.GreaterOrEqual(t, len(times)-before, b.Units*int(calm/b.Span)*9/10, "%s: the units are used", note)
		}
	}
}

// TestUnitsGoToTheRegionAndByWeight checks that an instance with many requests for what is
// bounded is likely to have a unit.
func TestUnitsGoToTheRegionAndByWeight(t *testing.T) {
	r := newFleetRun(1, 78)
	held := map[string]int{}
	const keys = 200
	for key := range uint64(keys) {
		for _, in := range r.instances {
			now := in.clock(r.now)
			n := in.fleet.Share(now, Bound{Key: key, Units: 9, Near: "0", Span: time.Second})
			held[fmt.Sprint(in.Region == "0")] += n
			held["all"] += n
		}
	}
	require.Equal(t, 9*keys, held["all"])
	require.Greater(t, held["true"], 8*keys)
}

// retryRun plays requests that fail at once, with a retry budget at each instance of a fleet.
type retryRun struct {
	*fleetRun
	settings       RetrySettings
	rate           int // requests at all instances in four steps
	budgets        map[*Fleet]*RetryBudget
	first, retries []model.Instant
}

func (r *retryRun) send(in *fleetInstance) {
	b := r.budgets[in.fleet]
	if b == nil {
		b = NewRetryBudget(7, r.settings)
		r.budgets[in.fleet] = b
	}
	now := in.clock(r.now)
	if r.random.IntN(len(r.instances)*4) < r.rate {
		b.RecordSend(now)
		r.first = append(r.first, r.now)
	}
	if b.Take(now, in.fleet) {
		r.retries = append(r.retries, r.now)
	}
}

// requireBudget checks that the retries in any window are at most a factor of what the first sends
// in it allow, and an extra number.
func (r *retryRun) requireBudget(t *testing.T, factor, extra float64, note string) {
	t.Helper()
	for i, end := range r.retries {
		from := end.Add(-r.settings.Window)
		n := i + 1 - after(r.retries, from)
		sent := after(r.first, end) - after(r.first, from)
		require.LessOrEqual(t, float64(n), r.settings.Ratio*float64(sent)*factor+extra, note)
	}
}

// TestRetryBudgetOfManyInstances plays requests that fail at once at every instance: all
// instances together stay within the budget of any window, and use the part that does not
// depend on the number of requests.
func TestRetryBudgetOfManyInstances(t *testing.T) {
	s := RetrySettings{Window: 10 * time.Second, Ratio: 0.2, Extra: 60}
	for _, size := range []int{7, 78, 784} {
		for seed := range uint64(1 + 100/uint64(size)) {
			r := &retryRun{fleetRun: newFleetRun(seed, size), settings: s, budgets: map[*Fleet]*RetryBudget{}}
			r.rate = 1 + r.random.IntN(200)
			r.advance(22*time.Second, r.send)
			calm := len(r.retries)
			for range 4 {
				r.disturb()
				r.advance(time.Duration(r.random.IntN(8000))*time.Millisecond, r.send)
			}
			note := fmt.Sprintf("%d instances, seed %d", size, seed)
			require.Greater(t, float64(calm), 2*retryMargin*s.Extra, note)
			r.requireBudget(t, 1.1, s.Extra+1, note)
		}
	}
}

// TestRetryBudgetHoldsWhileInstancesJoin guards against instances that join and use shares of the
// extra retries before a list names them, as if they did not count.
func TestRetryBudgetHoldsWhileInstancesJoin(t *testing.T) {
	s := RetrySettings{Window: 10 * time.Second, Ratio: 0.2, Extra: 56}
	for _, size := range []int{1, 3, 7} {
		for seed := range uint64(30) {
			r := &retryRun{fleetRun: newFleetRun(seed, size), settings: s, rate: 1, budgets: map[*Fleet]*RetryBudget{}}
			r.advance(12*time.Second, r.send)
			r.add(size + 1)
			for _, in := range r.instances[size:] {
				in.fleet.StartedAt = in.clock(in.startsAt)
			}
			r.advance(3*time.Second, r.send) // the store does not list them yet
			r.write()
			r.advance(10*time.Second, r.send)
			r.requireBudget(t, 1, s.Extra, fmt.Sprintf("%d instances, seed %d", size, seed))
		}
	}
}

// after returns the number of sorted times up to at.
func after(times []model.Instant, at model.Instant) int {
	n, _ := slices.BinarySearch(times, at+1)
	return n
}

// TestHandOverOfAUnit checks when each side of a change uses a unit: an instance stops as soon
// as it learns of one that ranks before it, and at MaxAge at the latest; one that gains a unit
// waits until all others have stopped and the window is over.
func TestHandOverOfAUnit(t *testing.T) {
	b := Bound{Key: 3, Units: 1, Span: time.Second}
	const handOver = fleetMaxAge + time.Second
	list := []Member{{ID: "a", Weight: 1}, {ID: "b", Weight: 1}, {ID: "c", Weight: 1}}
	first := slices.IndexFunc(list, func(m Member) bool {
		others := &Fleet{Self: m.ID, MaxAge: fleetMaxAge}
		others.SetListed(epoch, list)
		others.Confirm(epoch.Add(time.Hour))
		return others.Share(epoch.Add(time.Hour), b) == 1
	})
	require.GreaterOrEqual(t, first, 0)
	holder := list[first]
	second := slices.Delete(slices.Clone(list), first, first+1)
	heir := slices.IndexFunc(second, func(m Member) bool {
		f := &Fleet{Self: m.ID, MaxAge: fleetMaxAge}
		f.SetListed(epoch, second)
		f.Confirm(epoch.Add(time.Hour))
		return f.Share(epoch.Add(time.Hour), b) == 1
	})
	require.GreaterOrEqual(t, heir, 0)
	change := epoch.Add(time.Hour)
	known := func(self model.InstanceID, list []Member) *Fleet {
		f := &Fleet{Self: self, MaxAge: fleetMaxAge}
		f.SetListed(epoch, list)
		f.Confirm(change)
		return f
	}
	shareAt := func(f *Fleet, after time.Duration, confirmed bool) int {
		if confirmed {
			f.Confirm(change.Add(after))
		}
		return f.Share(change.Add(after), b)
	}
	t.Run("without news", func(t *testing.T) {
		f := known(holder.ID, list)
		require.Equal(t, 1, shareAt(f, fleetMaxAge, false))
		require.Zero(t, shareAt(f, fleetMaxAge+1, false), "its list may be wrong")
		require.Equal(t, 1, shareAt(f, fleetMaxAge+2, true))
	})
	t.Run("the holder leaves", func(t *testing.T) {
		f := known(second[heir].ID, list)
		require.Zero(t, shareAt(f, 0, true))
		f.SetListed(change, second)
		require.Zero(t, shareAt(f, handOver-1, true))
		require.Equal(t, 1, shareAt(f, handOver, true))
	})
	t.Run("the holder joins", func(t *testing.T) {
		f := known(second[heir].ID, second)
		require.Equal(t, 1, shareAt(f, 0, true))
		f.SetListed(change, list)
		require.Zero(t, shareAt(f, 0, true))
		joined := &Fleet{Self: holder.ID, MaxAge: fleetMaxAge}
		joined.SetListed(change, list)
		require.Zero(t, shareAt(joined, handOver-1, true))
		require.Equal(t, 1, shareAt(joined, handOver, true))
	})
	t.Run("the holder loses weight", func(t *testing.T) {
		lighter := slices.Clone(list)
		lighter[first].Weight = 1e-9
		f := known(second[heir].ID, list)
		f.SetListed(change, lighter)
		require.Zero(t, shareAt(f, handOver-1, true))
		require.Equal(t, 1, shareAt(f, handOver, true))
	})
	t.Run("no list read", func(t *testing.T) {
		require.Zero(t, (&Fleet{Self: "a", MaxAge: fleetMaxAge}).Share(epoch, b))
	})
}

// TestSingleUnitHasOneHolder guards against two instances that both hold the only unit of a bound:
// one that has just joined, or whose list is old, and the one that held it before.
func TestSingleUnitHasOneHolder(t *testing.T) {
	const maxAge = 6 * time.Second
	b := Bound{Key: 1, Units: 1, Span: 3 * time.Second, Inherited: true}
	list := []Member{{ID: "a", Weight: 1}, {ID: "b", Weight: 1}, {ID: "c", Weight: 1}}
	probe := &Fleet{MaxAge: maxAge}
	probe.SetListed(0, list)
	leader := probe.Leader(b)
	next := probe.LeaderBeside(b, leader)
	require.NotEqual(t, leader, next)
	at := func(d time.Duration) model.Instant { return model.Instant(time.Hour).Add(d) }
	newFleet := func(self model.InstanceID) *Fleet {
		f := &Fleet{Self: self, MaxAge: maxAge}
		f.SetListed(at(0), nil)
		f.Confirm(at(0))
		require.False(t, f.Holds(at(0), b), "an empty list")
		return f
	}

	f := newFleet(leader)
	f.SetListed(at(3*time.Second), list)
	f.Confirm(at(11 * time.Second))
	require.False(t, f.Holds(at(11*time.Second), b), "it has just joined")
	require.True(t, f.Leads(at(11*time.Second), b))
	require.True(t, f.Holds(at(12*time.Second), b))
	require.False(t, f.Holds(at(18*time.Second), b), "the list is old")
	require.False(t, f.Leads(at(18*time.Second), b))

	f = newFleet(leader)
	f.RegisteredAt = at(time.Second)
	f.SetListed(at(3*time.Second), list)
	f.Confirm(at(11 * time.Second))
	require.False(t, f.Holds(at(9*time.Second), b))
	require.True(t, f.Holds(at(10*time.Second), b), "registered before the list showed it")
	other := b
	other.Inherited = false
	require.False(t, f.Holds(at(10*time.Second), other))

	f = newFleet(leader)
	f.SetFounding()
	f.SetListed(at(3*time.Second), list)
	f.Confirm(at(11 * time.Second))
	require.False(t, f.Holds(at(9*time.Second-1), b), "another one may not know of it yet")
	require.True(t, f.Holds(at(9*time.Second), b), "nobody can have granted before")
	require.False(t, f.Holds(at(9*time.Second), other))
	f.SetListed(at(20*time.Second), nil)
	f.SetListed(at(30*time.Second), list)
	f.Confirm(at(38 * time.Second))
	require.False(t, f.Holds(at(38*time.Second), b), "another one may have granted meanwhile")
	require.True(t, f.Holds(at(39*time.Second), b))

	f = newFleet(leader)
	f.SetListed(at(3*time.Second), list)
	f.Confirm(at(4 * time.Second))
	require.False(t, f.Holds(at(4*time.Second), b))
	f.SetRegistered(at(-9 * time.Second))
	require.True(t, f.Holds(at(4*time.Second), b), "an earlier process was listed long ago")

	f = &Fleet{Self: leader, MaxAge: maxAge}
	f.Inherit()
	f.SetListed(at(0), list)
	f.Confirm(at(0))
	require.True(t, f.Holds(at(0), b), "an earlier process was listed")
	require.False(t, f.Holds(at(0), other))

	f = newFleet(next)
	f.SetListed(at(0), list)
	f.SetListed(at(20*time.Second), slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return m.ID == leader }))
	f.Confirm(at(28 * time.Second))
	require.True(t, f.Leads(at(20*time.Second), b))
	require.False(t, f.Holds(at(28*time.Second), b), "the one that has left may not know")
	require.True(t, f.Holds(at(29*time.Second), b))
}
