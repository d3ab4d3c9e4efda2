package membership

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// The size of the simulated fleet and its churn per day.
const (
	churnZones         = 15
	churnInstances     = 780
	churnServices      = 110
	serversPerService  = 20
	churnDays          = 60
	replacementsPerDay = 47
	failuresPerDay     = 2
	churnStep          = 15 * time.Minute
	failureLasts       = 30 * time.Minute
)

// churnSimulation simulates replacements and failures of instances in a fleet and
// counts the resulting moves of backend servers and of the role of bridge.
type churnSimulation struct {
	random    *rand.Rand
	now       model.Instant
	zones     [][]*member
	backends  [][]uint64
	owners    [][]*member
	bridges   [][]*member
	ownership Weighting
	bridgeBy  Weighting
	rolling   bool // replaces the oldest instance instead of a random one
	next      int

	moves       int     // moves of backend servers to another owner
	bridgeMoves int     // moves of the role of bridge to another instance
	largest     float64 // largest share of a zone's servers owned by one instance, relative to an equal share
}

func newChurnSimulation(ownership, bridgeBy Weighting, rolling bool) *churnSimulation {
	s := &churnSimulation{
		random: rand.New(rand.NewPCG(47, 2)), now: testStart,
		ownership: ownership, bridgeBy: bridgeBy, rolling: rolling,
	}
	for z := range churnZones {
		var zone []*member
		for range churnInstances / churnZones {
			age := time.Duration(s.random.Int64N(int64(16 * 24 * time.Hour)))
			zone = append(zone, s.newInstance(s.now.Add(-age)))
		}
		var servers []uint64
		for b := range churnServices * serversPerService / churnZones {
			servers = append(servers, xxh3.HashString(fmt.Sprintf("z%d-b%d", z, b)))
		}
		s.zones = append(s.zones, zone)
		s.backends = append(s.backends, servers)
		s.owners = append(s.owners, make([]*member, len(servers)))
		s.bridges = append(s.bridges, nil)
	}
	return s
}

func (s *churnSimulation) newInstance(startedAt model.Instant) *member {
	s.next++
	m := newMember(model.InstanceID(fmt.Sprintf("i%05d", s.next)))
	m.record.StartedAt = startedAt
	return m
}

// assign reassigns owners and bridges and counts the moves.
func (s *churnSimulation) assign() {
	for z, zone := range s.zones {
		shares := map[*member]int{}
		for i, backend := range s.backends[z] {
			owner := ownerOf(backend, zone, s.ownership, s.now)
			if s.owners[z][i] != nil && s.owners[z][i] != owner {
				s.moves++
			}
			s.owners[z][i] = owner
			shares[owner]++
		}
		for _, n := range shares {
			s.largest = max(s.largest, float64(n)*float64(len(zone))/float64(len(s.backends[z])))
		}
		s.assignBridges(z)
	}
}

func (s *churnSimulation) assignBridges(z int) {
	g := &Group{settings: Settings{BridgeChoice: s.bridgeBy}}
	ranked := slices.Clone(s.zones[z])
	slices.SortFunc(ranked, g.byBridgeRank)
	ranked = ranked[:2]
	for _, m := range s.bridges[z] {
		if !slices.Contains(ranked, m) {
			s.bridgeMoves++
		}
	}
	s.bridges[z] = ranked
}

// removeInstance removes the oldest or a random instance and returns its zone.
func (s *churnSimulation) removeInstance(oldest bool) int {
	z, i := s.random.IntN(churnZones), 0
	if oldest {
		byStart := func(a, b *member) int { return cmp.Compare(a.record.StartedAt, b.record.StartedAt) }
		first := func(zone []*member) *member { return slices.MinFunc(zone, byStart) }
		for other := range s.zones {
			if byStart(first(s.zones[other]), first(s.zones[z])) < 0 {
				z = other
			}
		}
		i = slices.Index(s.zones[z], first(s.zones[z]))
	} else {
		i = s.random.IntN(len(s.zones[z]))
	}
	s.zones[z] = slices.Delete(s.zones[z], i, i+1)
	return z
}

func (s *churnSimulation) runDay() {
	steps := int(24 * time.Hour / churnStep)
	events := make([]int, steps)
	for range replacementsPerDay {
		events[s.random.IntN(steps)]++
	}
	failures := make([]int, steps)
	for range failuresPerDay {
		failures[s.random.IntN(steps-int(failureLasts/churnStep))]++
	}
	returning := make([][]int, steps)
	for step := range steps {
		s.now = s.now.Add(churnStep)
		for range events[step] {
			z := s.removeInstance(s.rolling)
			s.assign()
			s.zones[z] = append(s.zones[z], s.newInstance(s.now))
			s.assign()
		}
		for range failures[step] {
			returnStep := step + int(failureLasts/churnStep)
			returning[returnStep] = append(returning[returnStep], s.removeInstance(false))
		}
		for _, z := range returning[step] {
			s.zones[z] = append(s.zones[z], s.newInstance(s.now))
		}
		s.assign()
	}
}

// BenchmarkFullSync measures the size of the digest of all records that each end of a
// new link sends, in a fleet of churnInstances.
func BenchmarkFullSync(b *testing.B) {
	g := New(Record{ID: "self", Zone: zoneName(0), Incarnation: uint64(testStart)}, Settings{})
	for i := range churnInstances - 1 {
		m := g.member(model.InstanceID(fmt.Sprintf("entry-%s-%02d", zoneName(i%churnZones), i)))
		m.known = true
		m.record.Incarnation = uint64(testStart)
		m.record.Sequence = 2
	}
	for range b.N {
		message := &Message{From: "self", Incarnation: uint64(testStart), Known: g.digest()}
		b.ReportMetric(float64(proto.Size(ToProto(testStart, message))), "B/digest")
	}
}

// BenchmarkReplacements runs the churn simulation with each Weighting, for random and
// rolling replacements.
func BenchmarkReplacements(b *testing.B) {
	names := map[Weighting]string{PlainHash: "plain", ByUptime: "uptime"}
	for _, rolling := range []bool{false, true} {
		for _, w := range []Weighting{PlainHash, ByUptime} {
			b.Run(fmt.Sprintf("%s/rolling=%t", names[w], rolling), func(b *testing.B) {
				for range b.N {
					s := newChurnSimulation(w, w, rolling)
					s.assign()
					for range churnDays {
						s.runDay()
					}
					b.ReportMetric(float64(s.moves)/churnDays, "moves/day")
					b.ReportMetric(float64(s.bridgeMoves)/churnDays, "bridge-moves/day")
					b.ReportMetric(s.largest, "largest-share")
				}
			})
		}
	}
}
