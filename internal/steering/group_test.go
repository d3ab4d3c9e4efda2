package steering

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// newGroup returns the membership view of the first of seven instances in the six
// zones of a text, after the others have reported their loads to it.
func newGroup(text *config.Text) (*membership.Group, model.Instant) {
	zone := func(i int) model.ZoneName { return text.Zones[i%len(text.Zones)].Name }
	loads := []membership.ServiceLoad{{Service: "db", Slots: 10, SpillLevel: 2}, {Service: "web", Slots: 10, SpillLevel: 2}}
	self := membership.Record{ID: "i0", Zone: zone(0), State: membership.Ready, Incarnation: 1, StartedAt: testNow}
	g := membership.New(self, membership.Settings{})
	g.Configure(testNow, text, nil)
	g.SetLoads(testNow, loads)
	now := testNow
	for now < testNow.Add(4*time.Second) {
		now = now.Add(100 * time.Millisecond)
		for i := 1; i < 7; i++ {
			id := model.InstanceID(fmt.Sprintf("i%d", i))
			record := membership.Record{
				ID: id, Zone: zone(i), LinkAddr: "addr", State: membership.Ready, Incarnation: 1, Sequence: 2, Loads: loads,
			}
			g.Receive(now, id, &membership.Message{From: id, Incarnation: 1, Records: []membership.Record{record}})
		}
		g.Tick(now)
	}
	return g, now
}

func TestChooseFromGroup(t *testing.T) {
	text := testText()
	g, now := newGroup(text)
	p := newTestPlanner(text)
	m := testRequest(model.Normal)
	m.Deadline = now.Add(time.Second)
	for _, zone := range text.Zones {
		c := p.Choose(now, m, []model.ZoneName{zone.Name}, g, nil)
		require.Equal(t, zone.Name, c.Zone, c.Cause)
		require.False(t, c.Spill)
	}
	g.LinkDown(now, "i1")
	c := p.Choose(now, m, []model.ZoneName{"east-b"}, g, nil)
	require.True(t, c.Spill, "the link to the only owner in east-b is down")
	require.Equal(t, model.ZoneName("east-a"), c.Zone)
}

func BenchmarkChooseFromGroup(b *testing.B) {
	text := testText()
	g, now := newGroup(text)
	benchmarkChooseAt(b, now, newTestPlanner(text), g)
}
