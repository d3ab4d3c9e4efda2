package steering

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/sebdah/goldie/v2"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// simulation runs a constant load of requests and records for every second where they
// were sent. Requests use slots until the next load report. While a zone is lost, the
// spill level of each zone rises at the rate of the shift cap.
type simulation struct {
	text    *config.Text
	planner *Planner
	view    *fakeView
	now     model.Instant
	levels  map[model.ZoneName]float64
	lost    map[model.ZoneName]bool

	reportedAt model.Instant
	out        strings.Builder
}

func newSimulation() *simulation {
	text := testText()
	return &simulation{
		text: text, planner: newTestPlanner(text), view: testView(text), now: testNow, reportedAt: testNow,
		levels: map[model.ZoneName]float64{}, lost: map[model.ZoneName]bool{},
	}
}

// runSecond sends requests evenly spread over one second and reports loads at its
// end.
func (s *simulation) runSecond(perSecond int, home []model.ZoneName, answerBytes int64) {
	counts := map[string]int{}
	for range perSecond {
		s.now = s.now.Add(time.Second / time.Duration(perSecond))
		s.ageLoads(s.now.Sub(s.reportedAt))
		m := testRequest(model.Normal)
		m.Deadline = s.now.Add(time.Second)
		m.AnswerBytes = answerBytes
		c := s.planner.Choose(s.now, m, home, s.view, nil)
		if !c.OK() {
			counts["refused "+string(c.Cause)]++
			continue
		}
		s.planner.Sent(s.now, m, c)
		counts[string(c.Zone)+lo.Ternary(c.Spill, " spill", "")]++
	}
	s.reportLoads()
	s.writeCounts(counts)
}

// reportLoads raises the spill levels while a zone is lost. All slots are reported
// free, since every request has finished by the next second.
func (s *simulation) reportLoads() {
	s.reportedAt = s.now
	limit := s.text.Limits.ShiftCap
	for _, zone := range s.text.Zones {
		const slots = 10
		step := limit.Fraction * slots / limit.Window.Seconds()
		s.levels[zone.Name] = min(slots, s.levels[zone.Name]+lo.Ternary(len(s.lost) > 0, step, 0))
		l := load(slots, 0, s.levels[zone.Name])
		l.MeanRun = 100 * time.Millisecond
		s.view.set("web", zone.Name, l)
	}
	for zone := range s.lost {
		s.view.lose(zone)
	}
}

// ageLoads sets the age of all loads.
func (s *simulation) ageLoads(age time.Duration) {
	for key, owners := range s.view.owners {
		s.view.age[key] = age
		for i := range owners {
			owners[i].LoadAge = age
		}
	}
}

func (s *simulation) writeCounts(counts map[string]int) {
	keys := lo.Keys(counts)
	slices.Sort(keys)
	parts := lo.Map(keys, func(k string, _ int) string { return fmt.Sprintf("%s=%d", k, counts[k]) })
	fmt.Fprintf(&s.out, "%4ds %s\n", int(s.now.Sub(testNow)/time.Second), strings.Join(parts, ", "))
}

func (s *simulation) lose(zones ...model.ZoneName) {
	fmt.Fprintf(&s.out, "lost %v\n", zones)
	for _, zone := range zones {
		s.lost[zone] = true
		s.view.lose(zone)
	}
}

func (s *simulation) check(t *testing.T, name string) {
	goldie.New(t).Assert(t, name, []byte(s.out.String()))
}

func TestGoldenZoneLost(t *testing.T) {
	s := newSimulation()
	s.runSecond(5, nil, 0)
	s.lose("east-a")
	for range 150 {
		s.runSecond(5, nil, 0)
	}
	s.check(t, "zone-lost")
}

func TestGoldenRegionLost(t *testing.T) {
	s := newSimulation()
	home := []model.ZoneName{"east-a", "east-b"}
	s.runSecond(8, home, 0)
	s.lose("east-a", "east-b")
	for range 90 {
		s.runSecond(8, home, 0)
	}
	s.check(t, "region-lost")
}

func TestGoldenLinkBudget(t *testing.T) {
	s := newSimulation()
	for range 5 {
		s.runSecond(50, []model.ZoneName{"west-a"}, 10_000)
	}
	s.check(t, "link-budget")
}

func TestGoldenTextMovesBaseline(t *testing.T) {
	s := newSimulation()
	next := testText()
	next.Backends = lo.Filter(next.Backends, func(b config.Backend, _ int) bool { return b.Service != "web" || b.Zone != "north-a" })
	home := []model.ZoneName{"north-a", "west-a"}
	s.writeCounts(map[string]int{})
	s.planner.Configure(next, s.now, earlierTexts(change{s.text, testNow}))
	for range 8 {
		s.now = s.now.Add(30 * time.Second)
		fmt.Fprintf(&s.out, "%v %v\n", s.now.Sub(testNow), s.planner.Baseline(s.now, "web", home))
	}
	s.check(t, "text-moves-baseline")
}

// largeText returns a text with 15 zones in 5 regions and 110 services with 20
// backend servers each.
func largeText() *config.Text {
	text := &config.Text{Limits: testText().Limits}
	for z := range 15 {
		region := model.RegionName(fmt.Sprintf("r%d", z/3))
		text.Zones = append(text.Zones, config.Zone{Name: model.ZoneName(fmt.Sprintf("%s-%c", region, 'a'+rune(z%3))), Region: region})
	}
	for s := range 110 {
		service := config.Service{Name: model.ServiceName(fmt.Sprintf("site-%03d", s))}
		if s > 0 {
			service.DependsOn = []model.ServiceName{text.Services[s-1-(s-1)%10].Name}
		}
		text.Services = append(text.Services, service)
		for b := range 20 {
			zone := text.Zones[(s+b%4)%15].Name
			text.Backends = append(text.Backends, config.Backend{
				Name: model.BackendName(fmt.Sprintf("%s-%02d", service.Name, b)), Service: service.Name, Zone: zone, Slots: 3,
			})
		}
	}
	return text
}

func largeView(text *config.Text) *fakeView {
	v := newFakeView()
	for _, b := range text.Backends {
		key := viewKey{b.Service, b.Zone}
		v.set(b.Service, b.Zone, append(lo.Map(v.owners[key], func(o membership.Owner, _ int) membership.ServiceLoad { return o.Load }), load(3, 1, 1))...)
	}
	return v
}

func BenchmarkChoose110Services(b *testing.B) {
	text := largeText()
	p := New("r0-a", Settings{})
	p.Configure(text, testNow, nil)
	v := largeView(text)
	now := testNow
	m := testRequest(model.Normal)
	m.Deadline = testNow.Add(time.Hour)
	homes := lo.Map(text.Zones, func(z config.Zone, _ int) []model.ZoneName { return []model.ZoneName{z.Name} })
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(time.Microsecond)
		m.Service = text.Services[i%110].Name
		if c := p.Choose(now, m, homes[i%15], v, nil); !c.OK() {
			b.Fatal(c.Cause)
		}
	}
}
