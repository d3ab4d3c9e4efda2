package steering

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

const testNow = model.Instant(1_800_000_000_000_000_000)

// fakeView is a View whose data is set by the test.
type fakeView struct {
	owners     map[viewKey][]membership.Owner
	age        map[viewKey]time.Duration // age of the zone's load, 0 by default
	instances  int                       // number of ready instances in each region
	generation uint64
}

type viewKey struct {
	service model.ServiceName
	zone    model.ZoneName
}

func newFakeView() *fakeView {
	return &fakeView{
		owners:    map[viewKey][]membership.Owner{},
		age:       map[viewKey]time.Duration{},
		instances: 2,
	}
}

func (v *fakeView) Owners(service model.ServiceName, zone model.ZoneName) []membership.Owner {
	return v.owners[viewKey{service, zone}]
}

func (v *fakeView) ZoneLoad(zone model.ZoneName, service model.ServiceName) (membership.ServiceLoad, time.Duration, bool) {
	sum := membership.ServiceLoad{Service: service}
	owners, ok := v.owners[viewKey{service, zone}]
	for _, o := range owners {
		sum.Slots += o.Load.Slots
		sum.InUse += o.Load.InUse
		sum.SpillLevel += o.Load.SpillLevel
		sum.SpillInUse += o.Load.SpillInUse
		sum.MeanRun = max(sum.MeanRun, o.Load.MeanRun)
		for r := range sum.Queued {
			sum.Queued[r] += o.Load.Queued[r]
		}
	}
	return sum, v.age[viewKey{service, zone}], ok
}

func (v *fakeView) Generation() uint64                    { return v.generation }
func (v *fakeView) ReadyInstances(_ model.RegionName) int { return v.instances }

// set gives a zone one reachable owner per load.
func (v *fakeView) set(service model.ServiceName, zone model.ZoneName, loads ...membership.ServiceLoad) {
	v.generation++
	var owners []membership.Owner
	for i, load := range loads {
		load.Service = service
		owners = append(owners, membership.Owner{
			Instance: model.InstanceID(fmt.Sprintf("%s/%d", zone, i)), Reachable: true, Servers: 1, Slots: load.Slots, Load: load,
		})
	}
	v.owners[viewKey{service, zone}] = owners
}

func (v *fakeView) lose(zone model.ZoneName) {
	v.generation++
	for key, owners := range v.owners {
		if key.zone != zone {
			continue
		}
		for i := range owners {
			owners[i].Reachable = false
		}
	}
}

func load(slots, inUse int, spillLevel float64) membership.ServiceLoad {
	return membership.ServiceLoad{Slots: slots, InUse: inUse, SpillLevel: spillLevel, MeanRun: 20 * time.Millisecond}
}

// testText returns a text with three regions of two zones each, a service "web" that
// depends on "db", and ten slots of each service in every zone.
func testText() *config.Text {
	text := &config.Text{
		Services: []config.Service{{Name: "db"}, {Name: "web", DependsOn: []model.ServiceName{"db"}}},
		Limits: config.Limits{
			ShiftCap: config.ShiftCap{Fraction: 0.1, Window: 30 * time.Second},
			Links: []config.Link{
				{A: "east", B: "west", BytesPerSecond: 1_000_000},
			},
		},
	}
	for _, region := range []model.RegionName{"east", "north", "west"} {
		for _, letter := range []string{"a", "b"} {
			zone := model.ZoneName(string(region) + "-" + letter)
			text.Zones = append(text.Zones, config.Zone{Name: zone, Region: region})
			text.Backends = append(text.Backends, backend("db", zone, 10), backend("web", zone, 10))
		}
	}
	sortBackends(text)
	return text
}

func backend(service model.ServiceName, zone model.ZoneName, slots int) config.Backend {
	name := model.BackendName(fmt.Sprintf("%s-%s", service, zone))
	return config.Backend{Name: name, Service: service, Zone: zone, Slots: slots}
}

func sortBackends(text *config.Text) {
	slices.SortFunc(text.Backends, func(a, b config.Backend) int { return cmp.Compare(a.Name, b.Name) })
}

// testView returns a view in which every zone of the text is idle and admits no
// spill.
func testView(text *config.Text) *fakeView {
	v := newFakeView()
	for _, zone := range text.Zones {
		for _, service := range text.Services {
			v.set(service.Name, zone.Name, load(10, 0, 0))
		}
	}
	return v
}

func testRequest(rank model.Rank) *model.RequestMeta {
	return &model.RequestMeta{Service: "web", Rank: rank, Deadline: testNow.Add(time.Second)}
}

func newTestPlanner(text *config.Text) *Planner {
	p := New("east-a", Settings{Seed: 7})
	p.Configure(text, testNow, nil)
	return p
}
