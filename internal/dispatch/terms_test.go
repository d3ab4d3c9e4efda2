package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/pacing"
)

// TestLimitOfAServerIsKept replays one server in need among others that have room.
func TestLimitOfAServerIsKept(t *testing.T) {
	for _, instances := range []int{1, 3, 7, 20, 78} {
		for _, limit := range []float64{0, 0.1, 0.4, 1, 1.6, 6, 30} {
			t.Run(fmt.Sprintf("%d/%g", instances, limit), func(t *testing.T) {
				t.Parallel()
				s := newTermsSim(t, instances, 12)
				s.run(5 * time.Second)
				busiest := s.busiest()
				s.limits[busiest] = limit
				s.run(5 * time.Second)
				from := s.now
				s.run(40 * time.Second)
				require.LessOrEqual(t, s.most(busiest, from), allowed(limit))
				if limit > 0 {
					require.Positive(t, s.since(busiest, from))
				}
				require.Empty(t, s.refused, "the others have room")
			})
		}
	}
}

// TestLimitsOfAllServersAreUsed replays a service whose servers are all in need while more
// requests arrive than they take.
func TestLimitsOfAllServersAreUsed(t *testing.T) {
	const servers = 40
	for _, instances := range []int{1, 3, 7, 20, 78} {
		for _, limit := range []float64{0.4, 1, 1.6} {
			t.Run(fmt.Sprintf("%d/%g", instances, limit), func(t *testing.T) {
				t.Parallel()
				s := newTermsSim(t, instances, servers)
				for _, id := range s.servers {
					s.limits[id] = limit
				}
				s.run(10 * time.Second)
				from := s.now
				s.run(20 * time.Second)
				all := 0
				for _, id := range s.servers {
					require.LessOrEqual(t, s.most(id, from), allowed(limit))
					all += s.since(id, from)
				}
				require.Greater(t, float64(all), servers*limit*20/2)
			})
		}
	}
}

// TestEndOfALimitIsLearnedByEveryInstance guards against instances that stay away from a server
// because none of its units is theirs.
func TestEndOfALimitIsLearnedByEveryInstance(t *testing.T) {
	for _, instances := range []int{7, 78} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			s := newTermsSim(t, instances, 12)
			s.run(5 * time.Second)
			server := s.busiest()
			before := len(s.arrivals[server])
			s.limits[server] = 1
			s.run(20 * time.Second)
			delete(s.limits, server)
			s.run(6 * time.Second)
			from := s.now
			s.run(5 * time.Second)
			require.Greater(t, s.since(server, from), before/2)
			for i, d := range s.fleet {
				require.False(t, d.servers[server].terms.Limited, "instance %d", i)
			}
		})
	}
}

// TestLimitIsKeptWhileInstancesComeAndGo has instances that start again, freeze, and are cut
// off from the others and from the store.
func TestLimitIsKeptWhileInstancesComeAndGo(t *testing.T) {
	const limit = 1.6
	disturb := map[string]func(s *termsSim, round int){
		"restarts": func(s *termsSim, round int) {
			if round%4 != 0 {
				return
			}
			i := round / 4 % len(s.fleet)
			s.fleet[i] = restarted(s, s.fleet[i])
			for key := range s.told {
				if key.instance == i {
					delete(s.told, key) // the rule excuses it until it is told again
				}
			}
		},
		"freezes": func(s *termsSim, round int) {
			clear(s.frozen)
			s.frozen[round%len(s.fleet)] = round%2 == 0
		},
		"cuts": func(s *termsSim, round int) {
			if round%6 == 0 {
				clear(s.cut)
				for i := range len(s.fleet) / 3 {
					s.cut[i] = round%12 == 0
				}
			}
		},
		"changes of the fleet": func(s *termsSim, round int) {
			if round%8 == 0 {
				s.relist(len(s.fleet) - round/8%2)
			}
		},
	}
	for name, change := range disturb {
		for _, instances := range []int{3, 7, 20, 78} {
			t.Run(fmt.Sprintf("%s/%d", name, instances), func(t *testing.T) {
				t.Parallel()
				s := newTermsSim(t, instances, 12)
				s.run(5 * time.Second)
				server := s.busiest()
				s.limits[server] = limit
				s.run(5 * time.Second)
				from := s.now
				for round := range 40 {
					s.run(time.Second)
					change(s, round)
				}
				require.LessOrEqual(t, s.most(server, from), allowed(limit))
				require.GreaterOrEqual(t, s.since(server, from), int(limit*40/4))
			})
		}
	}
}

// TestUrgentWorkComesFirstWithinLimits replays a service whose servers are all in need: urgent
// requests use what they take, others are refused at once and told when to come back.
func TestUrgentWorkComesFirstWithinLimits(t *testing.T) {
	const servers, limit = 12, 1
	for _, instances := range []int{3, 7, 20} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			t.Parallel()
			order := testRoute()
			order.Name, order.Prefix, order.Kind, order.Priority = "order", "/order/", model.Once, 1
			s := newTermsSim(t, instances, servers, testRoute(), order)
			s.perSecond = 60
			for _, id := range s.servers {
				s.limits[id] = limit
			}
			s.run(10 * time.Second)
			from := s.now
			s.refused = nil
			s.run(30 * time.Second)
			urgent, all := 0, 0
			for _, id := range s.servers {
				require.LessOrEqual(t, s.most(id, from), allowed(limit))
				for _, a := range s.arrivals[id] {
					if a.at >= from {
						all++
						urgent += 1 - a.priority
					}
				}
			}
			require.Greater(t, all, servers*limit*30/2, "what is allowed is used")
			require.Greater(t, float64(urgent), 0.8*float64(all))
			require.NotEmpty(t, s.refused)
			for _, r := range s.refused {
				require.Equal(t, model.NotRun, r.Outcome)
				require.Positive(t, r.RetryAfter)
			}
		})
	}
}

// TestLimitsThatChangeEverySecond replays a server whose need goes up and down.
func TestLimitsThatChangeEverySecond(t *testing.T) {
	for _, instances := range []int{3, 7, 20, 78} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			t.Parallel()
			s := newTermsSim(t, instances, 12)
			s.run(5 * time.Second)
			server := s.busiest()
			limits := []float64{6, 1, 3, 0.5, 2}
			from := s.now.Add(limitPeriod)
			for round := range 40 {
				s.limits[server] = limits[round%len(limits)]
				s.run(time.Second)
			}
			require.LessOrEqual(t, s.most(server, from), allowed(6))
			require.Positive(t, s.since(server, from))
		})
	}
}

// TestLimitOfTheOnlyServer replays a service of one server, whose limit is all there is.
func TestLimitOfTheOnlyServer(t *testing.T) {
	const limit = 2
	for _, instances := range []int{1, 3, 7, 20} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			t.Parallel()
			s := newTermsSim(t, instances, 1)
			s.limits[s.servers[0]] = limit
			s.run(5 * time.Second)
			from := s.now
			s.run(30 * time.Second)
			require.LessOrEqual(t, s.most(s.servers[0], from), allowed(limit))
			require.Greater(t, s.since(s.servers[0], from), limit*30/2)
		})
	}
}

// TestHealthChecksCountForALimit has a server in need that fails its health checks.
func TestHealthChecksCountForALimit(t *testing.T) {
	d := newDispatcher(testRoute())
	id := model.BackendName("shop-north-a")
	s := d.servers[id]
	d.Step(&TermsNamed{At: start, Server: s.entry, Report: ServerReport{HasLimit: true, LimitNamed: true, Limit: 0.5}})
	s.ejectedUntil = start
	checks := 0
	for now := start; now < at(40*time.Second); now = now.Add(100 * time.Millisecond) {
		for range probedServers(d.Step(&Tick{At: now, InstancesKnownAt: now})) {
			checks++
			d.Step(&ServerProbed{At: now, Server: id, Reached: true})
		}
	}
	require.LessOrEqual(t, checks, 20)
	require.GreaterOrEqual(t, checks, 5)
}

// TestLimitOfOneStartHoldsForIt has a server that starts again without its limit, and a peer
// that still tells of it.
func TestLimitOfOneStartHoldsForIt(t *testing.T) {
	d := newDispatcher(testRoute())
	id := model.BackendName("shop-north-a")
	old := d.servers[id].entry
	d.Step(&TermsNamed{At: start, Server: old, Report: ServerReport{HasLimit: true, LimitNamed: true, Limit: 1}})
	require.True(t, d.servers[id].terms.Limited)
	told := d.Terms(start)
	require.Len(t, told, 1)
	next := old
	next.StartedMillis++
	d.Step(&CatalogChanged{At: at(time.Second), Change: &catalog.ServerChange{Server: next}})
	d.Step(&TermsReceived{At: at(time.Second), Terms: told})
	require.False(t, d.servers[id].terms.Limited)
	d.Step(&TermsReceived{At: at(time.Second), Terms: []membership.ServerTerms{{Server: "unknown", Incarnation: "unknown 1 x", At: at(time.Second)}}})
}

// TestBurstBesideALimit replays a burst of requests while one server in need names a limit: the
// burst goes to the others.
func TestBurstBesideALimit(t *testing.T) {
	const limit = 1
	for _, instances := range []int{3, 7, 20} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			t.Parallel()
			s := newTermsSim(t, instances, 12)
			s.run(5 * time.Second)
			server := s.busiest()
			s.limits[server] = limit
			s.run(5 * time.Second)
			from, served, arrived := s.now, s.served, int(s.lastID)
			s.perSecond = 450
			s.run(6 * time.Second)
			s.perSecond = 150
			s.run(6 * time.Second)
			require.LessOrEqual(t, s.most(server, from), allowed(limit))
			require.Greater(t, float64(s.served-served), 0.97*float64(int(s.lastID)-arrived))
		})
	}
}

// TestRegionInNeedIsHelpedByTheOther replays a region whose servers all name a limit. Requests
// go to the other region as far as they may move, others are refused at once.
func TestRegionInNeedIsHelpedByTheOther(t *testing.T) {
	const limit = 1
	for _, instances := range []int{3, 7, 20} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			t.Parallel()
			s := newTermsSim(t, instances, 24)
			s.run(5 * time.Second)
			for i, id := range s.servers {
				if i%4 < 2 { // zones of region north
					s.limits[id] = limit
				}
			}
			s.run(5 * time.Second)
			from, served, arrived := s.now, s.served, int(s.lastID)
			s.run(20 * time.Second)
			for id := range s.limits {
				require.LessOrEqual(t, s.most(id, from), allowed(limit), id)
			}
			require.Greater(t, float64(s.served-served), 0.9*float64(int(s.lastID)-arrived))
			for _, r := range s.refused {
				require.Positive(t, r.RetryAfter)
			}
		})
	}
}

// TestReleaseWhoseServersSayTheyLeaveFirst replays a rolling release: each server says that it
// leaves a second before its entry does and ends three seconds later, and another takes its
// place.
func TestReleaseWhoseServersSayTheyLeaveFirst(t *testing.T) {
	for _, instances := range []int{3, 7, 20} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			t.Parallel()
			s := newTermsSim(t, instances, 12)
			s.run(5 * time.Second)
			says := map[model.BackendName]model.Instant{}
			for _, id := range slices.Clone(s.servers) {
				entry := s.fleet[0].servers[id].entry
				next := entry
				next.ID += "-next"
				s.list(next)
				says[id] = s.now
				for i, d := range s.fleet[:1] { // the instance that hears it in an answer
					s.step(i, &TermsNamed{At: s.now, Server: d.servers[id].entry, Draining: true})
				}
				s.run(time.Second)
				entry.Draining = true
				entry.Sequence++
				s.list(entry)
				s.run(time.Second)
			}
			for id, at := range says {
				for _, a := range s.arrivals[id] {
					require.Less(t, a.at.Sub(at), 500*time.Millisecond, "%s: told by a peer within a tick, and on its way", id)
				}
			}
			require.Empty(t, s.refused)
		})
	}
}

// TestEndOfALimitOfZeroIsLearned guards against a server that wanted nothing for a while and is
// not asked again.
func TestEndOfALimitOfZeroIsLearned(t *testing.T) {
	for _, instances := range []int{1, 7, 20} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			t.Parallel()
			s := newTermsSim(t, instances, 12)
			s.run(5 * time.Second)
			server := s.busiest()
			s.limits[server] = 0
			s.run(10 * time.Second)
			from := s.now
			s.run(10 * time.Second)
			require.LessOrEqual(t, s.most(server, from), allowed(0))
			delete(s.limits, server)
			s.run(3 * pacing.LongestRateSpan)
			for i, d := range s.fleet {
				require.False(t, d.servers[server].terms.Limited, "instance %d", i)
			}
		})
	}
}

// TestLimitIsKeptWhileFleetGrows has instances that join, and of which the one that runs already
// learns seconds later.
func TestLimitIsKeptWhileFleetGrows(t *testing.T) {
	for _, limit := range []float64{1.6, 4, 10, 25} {
		for _, c := range []struct{ running, joining int }{{1, 2}, {1, 4}, {3, 6}} {
			t.Run(fmt.Sprintf("%g/%d and %d", limit, c.running, c.joining), func(t *testing.T) {
				t.Parallel()
				s := newTermsSim(t, c.running+c.joining, 2)
				s.perSecond, s.listed = 300, c.running
				for i := range c.running {
					s.step(i, &InstancesCounted{At: start.Add(-time.Minute), Instances: c.running, Members: fleetMembers(c.running), RegionShare: 0.5})
				}
				s.run(5 * time.Second)
				server := s.busiest()
				s.limits[server] = limit
				s.run(8 * time.Second)
				from := s.now
				s.listed = c.running + c.joining
				for i := range s.fleet {
					delay := time.Duration(s.random.Int64N(int64(7 * time.Second)))
					if i >= c.running {
						s.fleet[i] = joined(s, s.fleet[i], c.running)
						s.knownAt[i] = s.now
						delay = 3 * time.Second
					}
					s.after(delay, func() {
						s.step(i, &InstancesCounted{At: s.now, Instances: s.listed, Members: fleetMembers(s.listed), RegionShare: 0.5})
					})
				}
				s.run(12 * time.Second)
				require.LessOrEqual(t, s.most(server, from), allowed(limit))
				require.Positive(t, s.since(server, from))
			})
		}
	}
}
