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

// The size and the churn of a day that the replacement script plays.
const (
	scriptZones        = 15
	scriptInstances    = 780
	scriptSites        = 110
	serversPerSite     = 20
	scriptDays         = 60
	replacementsPerDay = 47
	failuresPerDay     = 2
	scriptStep         = 15 * time.Minute
	failureLasts       = 30 * time.Minute
)

// script plays replacements and failures over a fleet and counts what they move.
type script struct {
	random    *rand.Rand
	now       model.Instant
	zones     [][]*member
	backends  [][]uint64
	owners    [][]*member
	bridges   [][]*member
	ownership Weighting
	bridgeBy  Weighting
	rolling   bool // replaces the oldest instance instead of any
	next      int

	moves       int // of backend servers to another owner
	bridgeMoves int // of a bridge's duty to another instance
	largest     float64
}

func newScript(ownership, bridgeBy Weighting, rolling bool) *script {
	s := &script{
		random: rand.New(rand.NewPCG(47, 2)), now: testStart,
		ownership: ownership, bridgeBy: bridgeBy, rolling: rolling,
	}
	for z := range scriptZones {
		var zone []*member
		for range scriptInstances / scriptZones {
			age := time.Duration(s.random.Int64N(int64(16 * 24 * time.Hour)))
			zone = append(zone, s.instance(s.now.Add(-age)))
		}
		var servers []uint64
		for b := range scriptSites * serversPerSite / scriptZones {
			servers = append(servers, xxh3.HashString(fmt.Sprintf("z%d-b%d", z, b)))
		}
		s.zones = append(s.zones, zone)
		s.backends = append(s.backends, servers)
		s.owners = append(s.owners, make([]*member, len(servers)))
		s.bridges = append(s.bridges, nil)
	}
	return s
}

func (s *script) instance(startedAt model.Instant) *member {
	s.next++
	m := newMember(model.InstanceID(fmt.Sprintf("i%05d", s.next)))
	m.record.StartedAt = startedAt
	return m
}

// assign works out owners and bridges again and counts what moved.
func (s *script) assign() {
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

func (s *script) assignBridges(z int) {
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

// pick chooses the instance to replace and takes it out.
func (s *script) pick(oldest bool) int {
	z, i := s.random.IntN(scriptZones), 0
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

func (s *script) day() {
	steps := int(24 * time.Hour / scriptStep)
	events := make([]int, steps)
	for range replacementsPerDay {
		events[s.random.IntN(steps)]++
	}
	failures := make([]int, steps)
	for range failuresPerDay {
		failures[s.random.IntN(steps-int(failureLasts/scriptStep))]++
	}
	missing := make([][]int, steps)
	for step := range steps {
		s.now = s.now.Add(scriptStep)
		for range events[step] {
			z := s.pick(s.rolling)
			s.assign()
			s.zones[z] = append(s.zones[z], s.instance(s.now))
			s.assign()
		}
		for range failures[step] {
			back := step + int(failureLasts/scriptStep)
			missing[back] = append(missing[back], s.pick(false))
		}
		for _, z := range missing[step] {
			s.zones[z] = append(s.zones[z], s.instance(s.now))
		}
		s.assign()
	}
}

// BenchmarkIntroduction measures what a new link costs at the script's size: each
// end sends a digest of all records.
func BenchmarkIntroduction(b *testing.B) {
	g := New(Record{ID: "self", Zone: zoneName(0), Incarnation: uint64(testStart)}, Settings{})
	for i := range scriptInstances - 1 {
		m := g.member(model.InstanceID(fmt.Sprintf("entry-%s-%02d", zoneName(i%scriptZones), i)))
		m.known = true
		m.record.Incarnation = uint64(testStart)
		m.record.Sequence = 2
	}
	for range b.N {
		message := &Message{From: "self", Incarnation: uint64(testStart), Known: g.digest()}
		b.ReportMetric(float64(proto.Size(ToProto(testStart, message))), "B/digest")
	}
}

// BenchmarkReplacements plays the script with each way to weigh.
func BenchmarkReplacements(b *testing.B) {
	names := map[Weighting]string{PlainHash: "plain", ByUptime: "uptime"}
	for _, rolling := range []bool{false, true} {
		for _, w := range []Weighting{PlainHash, ByUptime} {
			b.Run(fmt.Sprintf("%s/rolling=%t", names[w], rolling), func(b *testing.B) {
				for range b.N {
					s := newScript(w, w, rolling)
					s.assign()
					for range scriptDays {
						s.day()
					}
					b.ReportMetric(float64(s.moves)/scriptDays, "moves/day")
					b.ReportMetric(float64(s.bridgeMoves)/scriptDays, "bridge-moves/day")
					b.ReportMetric(s.largest, "largest-share")
				}
			})
		}
	}
}
