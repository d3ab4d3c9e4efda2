package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// wireOverhead is the overhead of a message in bytes: frame length, yamux header,
// TCP and IP headers.
const wireOverhead = 2 + 12 + 40

// traffic holds the traffic per instance and second: mean and peak of the bytes sent,
// mean number of messages sent, and peak of the bytes received.
type traffic struct{ mean, peak, messages, peakReceived float64 }

func (c *cluster) measure(d time.Duration, during func()) traffic {
	for _, n := range c.nodes {
		n.sent, n.sentCount, n.received = 0, 0, 0
	}
	for end := c.now.Add(d); c.now < end; {
		during()
		c.run(tickEvery)
	}
	var t traffic
	for _, n := range c.nodes {
		bytes := (float64(n.sent) + wireOverhead*float64(n.sentCount)) / d.Seconds()
		t.mean += bytes / float64(len(c.nodes))
		t.peak = max(t.peak, bytes)
		t.peakReceived = max(t.peakReceived, float64(n.received)/d.Seconds())
		t.messages += float64(n.sentCount) / d.Seconds() / float64(len(c.nodes))
	}
	return t
}

func idle() {}

// busy returns a function that changes the loads of every instance on each call.
func (c *cluster) busy() func() {
	step := 0
	return func() {
		step++
		for i, n := range c.nodes {
			var loads []ServiceLoad
			for s := range 4 {
				loads = append(loads, ServiceLoad{
					Service: model.ServiceName(fmt.Sprintf("service-%d", s)), Slots: 36,
					InUse: (step*7 + i + s*5) % 36, MeanRun: 20 * time.Millisecond, SpillLevel: 3.5, BaselineSince: testStart,
				})
			}
			n.group.SetLoads(c.now, loads)
		}
	}
}

func TestControlTrafficOfSevenInstances(t *testing.T) {
	c := sevenInstances(Settings{})
	c.run(10 * time.Second)
	quiet := c.measure(10*time.Second, idle)
	require.Less(t, quiet.peak, 3_000.0, "bytes a second, idle")
	loaded := c.measure(10*time.Second, c.busy())
	require.Less(t, loaded.peak, 10_000.0, "bytes a second, every load changing all the time")
	t.Logf("idle %+v, busy %+v", quiet, loaded)
}

// zonesOf starts size instances in each zone. The first instance of a zone knows one
// of the first zone, each other instance one of its own zone.
func zonesOf(zones, size int) *cluster {
	c := newCluster(testText(zones, size*3), Settings{})
	for z := range zones {
		for i := range size {
			var seeds []*node
			if i > 0 {
				seeds = append(seeds, c.byID[model.InstanceID(fmt.Sprintf("i%02d-%02d", z, i/2))])
			}
			if z > 0 && i == 0 {
				seeds = append(seeds, c.byID["i00-00"])
			}
			c.add(fmt.Sprintf("i%02d-%02d", z, i), zoneName(z), seeds...)
		}
		c.run(tickEvery)
	}
	return c
}

func BenchmarkControlTraffic(b *testing.B) {
	for _, size := range []struct{ zones, instances int }{{3, 7}, {3, 28}, {3, 52}, {15, 7}, {15, 28}, {15, 52}} {
		b.Run(fmt.Sprintf("%dzonesOf%d", size.zones, size.instances), func(b *testing.B) {
			c := zonesOf(size.zones, size.instances)
			c.run(15 * time.Second)
			b.ResetTimer()
			for range b.N {
				c.report(b)
			}
		})
	}
}

func (c *cluster) report(b *testing.B) {
	const period = 10 * time.Second
	start := time.Now()
	quiet := c.measure(period, idle)
	perInstance := time.Since(start) / time.Duration(len(c.nodes)) / time.Duration(period.Seconds())
	loaded := c.measure(period, c.busy())
	b.ReportMetric(quiet.mean, "idle-B/s")
	b.ReportMetric(quiet.peak, "idle-most-B/s")
	b.ReportMetric(quiet.messages, "idle-msg/s")
	b.ReportMetric(loaded.mean, "busy-B/s")
	b.ReportMetric(loaded.peak, "busy-most-B/s")
	b.ReportMetric(loaded.peakReceived, "busy-received-most-B/s")
	b.ReportMetric(float64(perInstance.Microseconds()), "idle-µs/s")
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	b.ReportMetric(float64(stats.HeapAlloc)/float64(len(c.nodes))/1024, "KiB/instance")
}

// TestLargeZoneAgreesAfterDeathAndPause checks that instances which exchange messages
// with only a few peers of their zone agree on all owners within 2.9 s of a death and
// of the start of a pause, and after the pause.
func TestLargeZoneAgreesAfterDeathAndPause(t *testing.T) {
	c := zonesOf(3, 20)
	c.run(10 * time.Second)
	requireOneOwner(t, c, allNodes)
	for _, n := range c.nodes {
		require.Len(t, n.group.Peers(), 59)
	}
	c.kill(c.byID["i01-07"])
	c.run(2900 * time.Millisecond)
	requireOneOwner(t, c, allNodes)
	paused := c.byID["i02-03"]
	paused.paused = true
	c.run(2900 * time.Millisecond)
	requireOneOwner(t, c, func(n *node) bool { return n != paused })
	c.resume(paused)
	c.run(5 * time.Second)
	requireOneOwner(t, c, allNodes)
}
