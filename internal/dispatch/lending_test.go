package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// TestLowLimitIsUsedWhereItsRequestsArrive guards against units of a limit that lie idle at
// instances without requests for the server, while others refuse them.
func TestLowLimitIsUsedWhereItsRequestsArrive(t *testing.T) {
	const observed = 60 * time.Second
	arrivals := map[string]func(s *termsSim){
		"at all":  func(*termsSim) {},
		"at few":  func(s *termsSim) { s.callers = []int{0, len(s.fleet) - 1} },
		"at one":  func(s *termsSim) { s.callers = []int{len(s.fleet) / 2} },
		"changes": func(s *termsSim) { s.callersChange = 20 * time.Second },
	}
	for name, arrive := range arrivals {
		for trouble, change := range map[string]func(s *termsSim){
			"calm": func(*termsSim) {},
			"third frozen": func(s *termsSim) {
				s.frozen = thirdOf(s)
			},
			"third cut off": func(s *termsSim) { s.cut = thirdOf(s) },
			"third just started": func(s *termsSim) {
				for i := range thirdOf(s) {
					s.fleet[i] = restarted(s, s.fleet[i])
					delete(s.told, toldKey{i, s.servers[0]})
				}
			},
		} {
			for _, instances := range []int{3, 7, 20, 78} {
				for _, limit := range []float64{0.4, 1, 2} {
					if limit != 1 && (trouble != "calm" || instances > 20) {
						continue
					}
					t.Run(fmt.Sprintf("%s/%s/%d/%g", name, trouble, instances, limit), func(t *testing.T) {
						t.Parallel()
						s := newTermsSim(t, instances, 1)
						s.perSecond = 40
						server := s.servers[0]
						s.limits[server] = limit
						arrive(s)
						s.run(20 * time.Second)
						change(s)
						s.run(10 * time.Second)
						from := s.now
						s.run(observed)
						used := float64(s.since(server, from)) / (limit * observed.Seconds())
						t.Logf("used %.2f, at most %d in %s, %d allowed", used, s.most(server, from), limitPeriod, allowed(limit))
						require.LessOrEqual(t, s.most(server, from), allowed(limit))
						require.LessOrEqual(t, used, 1.1)
						require.Greater(t, used, 0.5)
					})
				}
			}
		}
	}
}

// lendingSeed is the seed of TestLendingKeepsLowLimit.
const lendingSeed = 1

// TestLendingKeepsLowLimit has instances that start again, freeze, are cut off, join and leave,
// callers that turn to other instances, and statements that arrive seconds late.
func TestLendingKeepsLowLimit(t *testing.T) {
	for _, instances := range []int{3, 7, 20, 78} {
		for _, limit := range []float64{0.4, 1, 2} {
			t.Run(fmt.Sprintf("%d/%g", instances, limit), func(t *testing.T) {
				t.Parallel()
				s := newTermsSim(t, instances, 1)
				s.random = rand.New(rand.NewPCG(lendingSeed, uint64(instances)))
				s.perSecond, s.tellDelay = 40, 8*time.Second
				server := s.servers[0]
				s.limits[server] = limit
				s.run(10 * time.Second)
				from := s.now
				for range 80 {
					s.run(time.Second)
					i := s.random.IntN(instances)
					switch s.random.IntN(8) {
					case 0:
						s.frozen[i] = !s.frozen[i]
					case 1:
						s.cut[i] = !s.cut[i]
					case 2:
						s.fleet[i] = restarted(s, s.fleet[i])
						delete(s.told, toldKey{i, server}) // excused until it is told again
					case 3:
						s.callers = []int{i, s.random.IntN(instances)}
					case 4:
						s.relist(max(2, instances-s.random.IntN(2)))
					default:
						clear(s.frozen)
					}
				}
				require.LessOrEqual(t, s.most(server, from), allowed(limit))
			})
		}
	}
}

// thirdOf returns every third instance of a fleet, not counting those to which callers are sent.
func thirdOf(s *termsSim) map[int]bool {
	called := map[int]bool{}
	if len(s.callers) <= 2 {
		for _, i := range s.callers {
			called[i] = true
		}
	}
	third := map[int]bool{}
	for i := 1; i < len(s.fleet); i += 3 {
		if !called[i] {
			third[i] = true
		}
	}
	return third
}

// TestLowLimitIsUsedBesideServersWithRoom guards against a server with a low limit that gets next
// to nothing while requests about its objects go to others.
func TestLowLimitIsUsedBesideServersWithRoom(t *testing.T) {
	const observed = 60 * time.Second
	for _, instances := range []int{3, 7, 20, 78} {
		for _, limit := range []float64{0.4, 1, 2} {
			t.Run(fmt.Sprintf("%d/%g", instances, limit), func(t *testing.T) {
				t.Parallel()
				s := newTermsSim(t, instances, 12)
				s.run(5 * time.Second)
				server := s.busiest()
				s.limits[server] = limit
				s.run(10 * time.Second)
				from, statements := s.now, s.statements
				s.run(observed)
				used := float64(s.since(server, from)) / (limit * observed.Seconds())
				t.Logf("used %.2f, at most %d in %s, %d allowed, %.1f statements a second", used, s.most(server, from), limitPeriod, allowed(limit), float64(s.statements-statements)/observed.Seconds())
				require.LessOrEqual(t, s.most(server, from), allowed(limit))
				require.Greater(t, used, 0.5)
				require.Empty(t, s.refused, "the others have room")
			})
		}
	}
}

// TestUrgentRequestsBorrowLowLimitFirst guards against units of a limit that go to instances with
// many less urgent requests.
func TestUrgentRequestsBorrowLowLimitFirst(t *testing.T) {
	const observed, limit = 60 * time.Second, 1
	for _, instances := range []int{3, 7, 20, 78} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			t.Parallel()
			order := testRoute()
			order.Name, order.Prefix, order.Kind, order.Priority = "order", "/order/", model.Once, 1
			s := newTermsSim(t, instances, 1, testRoute(), order)
			s.perSecond = 100
			s.pathAt = func(i int) string {
				if i == instances/2 && s.random.IntN(2) == 0 {
					return "/browse/x"
				}
				return "/order/x"
			}
			for range len(s.callers) / 4 {
				s.callers = append(s.callers, instances/2)
			}
			server := s.servers[0]
			s.limits[server] = limit
			s.run(30 * time.Second)
			from := s.now
			s.run(observed)
			urgent, all := 0, 0
			for _, a := range s.arrivals[server] {
				if a.at >= from {
					all++
					urgent += 1 - a.priority
				}
			}
			t.Logf("%d urgent of %d", urgent, all)
			require.LessOrEqual(t, s.most(server, from), allowed(limit))
			require.Greater(t, float64(all), limit*observed.Seconds()/2)
			require.Greater(t, float64(urgent), 0.8*float64(all))
		})
	}
}
