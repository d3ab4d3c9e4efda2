package dispatch

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/pacing"
)

// start is the start time of tests.
const start = model.Instant(time.Hour)

func at(d time.Duration) model.Instant { return start.Add(d) }

var regions = map[model.ZoneName]model.RegionName{
	"north-a": "north", "north-b": "north", "south-a": "south", "south-b": "south",
}

func testSettings(region model.RegionName) Settings {
	return Settings{
		Region:   region,
		Regions:  regions,
		Retry:    pacing.RetrySettings{Window: 10 * time.Second, Ratio: 0.2, Extra: 60},
		Cold:     ColdSettings{Factor: 1.5, Slack: 5},
		ShiftCap: 0.15,
	}
}

func testRoute() catalog.Route {
	return catalog.Route{
		Name:      "browse",
		Host:      "shop.example",
		Prefix:    "/browse/",
		Kind:      model.Idempotent,
		Targets:   []catalog.Target{{Service: "shop", Weight: 1}},
		Timeout:   2 * time.Second,
		Objective: 500 * time.Millisecond,
		Attempts:  2,
		Sticky:    true,
	}
}

func configuration(version int64, routes ...catalog.Route) *catalog.Configuration {
	c := &catalog.Configuration{
		Version: version,
		Routes:  routes,
		Services: []catalog.Service{
			{Name: "shop", HealthPath: "/health", ColdFor: 3 * time.Second, ColdRate: 10},
			{Name: "annex", HealthPath: "/health", ColdFor: 3 * time.Second, ColdRate: 10},
		},
	}
	c.Index()
	return c
}

func testServer(id string, zone model.ZoneName, service model.ServiceName) catalog.Server {
	return catalog.Server{
		ID:            model.BackendName(id),
		Service:       service,
		Zone:          zone,
		Address:       netip.MustParseAddrPort("127.0.0.1:80"),
		Slots:         4,
		StartedMillis: 1,
	}
}

// newDispatcher returns a Dispatcher with the given routes and one server of the service
// "shop" in each zone.
func newDispatcher(routes ...catalog.Route) *Dispatcher {
	d := New(testSettings("north"))
	d.Step(&InstancesCounted{At: start, Instances: 1})
	d.Step(&CatalogChanged{At: start, Change: &catalog.ConfigurationChange{Configuration: configuration(1, routes...)}})
	for zone := range regions {
		d.Step(&CatalogChanged{At: start, Change: &catalog.ServerChange{Server: testServer("shop-"+string(zone), zone, "shop")}})
	}
	return d
}

func arrive(d *Dispatcher, now model.Instant, id model.RequestID, key string) Effect {
	return requestEffect(d.Step(&RequestArrived{
		At: now, Request: id, Host: "shop.example", Path: "/browse/x", Affinity: key, Replayable: true,
	}))
}

func endAttempt(d *Dispatcher, now model.Instant, id model.RequestID, result event.AttemptResult) Effect {
	return requestEffect(d.Step(&AttemptEnded{At: now, Request: id, Attempt: runningAttempt(d, id), Result: result}))
}

// runningAttempt returns the number of a request's oldest running attempt, 0 if there is none.
func runningAttempt(d *Dispatcher, id model.RequestID) int {
	if q := d.requests[id]; q != nil && len(q.running) > 0 {
		return q.running[0].number
	}
	return 0
}

// hedges returns the attempts that are made beside running ones.
func hedges(effects []Effect) []*Send {
	var list []*Send
	for _, f := range effects {
		if h, ok := f.(*Hedge); ok {
			list = append(list, h.Send)
		}
	}
	return list
}

// requestEffect returns the effect that sends or refuses a request, or nil if there is
// none.
func requestEffect(effects []Effect) Effect {
	for _, f := range effects {
		switch f.(type) {
		case *Send, *Refuse:
			return f
		}
	}
	return nil
}

func requireSend(t *testing.T, f Effect) *Send {
	t.Helper()
	require.IsType(t, &Send{}, f, fmt.Sprintf("%+v", f))
	return f.(*Send)
}

func requireRefuse(t *testing.T, f Effect, outcome model.Outcome, cause model.Cause) *Refuse {
	t.Helper()
	require.IsType(t, &Refuse{}, f, fmt.Sprintf("%+v", f))
	r := f.(*Refuse)
	require.Equal(t, outcome, r.Outcome)
	require.Equal(t, cause, r.Cause)
	return r
}
