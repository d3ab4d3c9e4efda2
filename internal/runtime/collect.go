package runtime

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"

	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/reducer"
	"github.com/primrosenotch/primrosenotch/internal/steering"
)

// stateCollector is a prometheus.Collector that reads the instance's state on each
// scrape.
type stateCollector struct {
	runtime *Runtime

	slots, inUse, headroom, queued               *prometheus.Desc
	spillSlots, spillInUse                       *prometheus.Desc
	owned, peers, inFlight                       *prometheus.Desc
	linkBudget, linkUsed, linkTraffic            *prometheus.Desc
	stopInFlight, stopDrain                      *prometheus.Desc
	platformCalls, platformRetries               *prometheus.Desc
	platformRejected, platformBreaker            *prometheus.Desc
	lostLogLines                                 *prometheus.Desc
	configurationAdoption, configurationAccepted *prometheus.Desc
}

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(metricsNamespace, "", name), help, labels, nil)
}

func newStateCollector(r *Runtime) *stateCollector {
	return &stateCollector{
		runtime:               r,
		slots:                 newDesc("owner_slots", "Usable slots of the owned backend servers.", "service"),
		inUse:                 newDesc("owner_slots_in_use", "Slots in use.", "service"),
		headroom:              newDesc("owner_headroom_ratio", "Free slots over slots, 0 to 1.", "service"),
		queued:                newDesc("owner_queued_requests", "Requests that wait for a slot.", "service", "rank"),
		spillSlots:            newDesc("owner_spill_slots", "Slots that spill may hold now under the shift cap.", "service"),
		spillInUse:            newDesc("owner_spill_slots_in_use", "Slots in use by spill.", "service"),
		owned:                 newDesc("owned_backend_servers", "Owned backend servers by condition.", "service", "condition"),
		peers:                 newDesc("peers", "Other entry instances by health.", "health"),
		inFlight:              newDesc("requests_in_flight", "Requests in flight, as ingress and as owner.", "role"),
		linkBudget:            newDesc("link_budget_bytes_per_second", "This instance's part of a link's budget, each way.", "region"),
		linkUsed:              newDesc("link_used_bytes_total", "Bytes of ended requests over a link between regions.", "region", "direction"),
		linkTraffic:           newDesc("peer_traffic_bytes_total", "Bytes of frames exchanged with other instances.", "kind", "direction"),
		stopInFlight:          newDesc("stop_in_flight", "Requests in flight on what a planned stop covers.", "stop", "scope", "target"),
		stopDrain:             newDesc("stop_drain_seconds", "Time from a planned stop's announcement until nothing was in flight here.", "stop", "scope", "target"),
		platformCalls:         newDesc("platform_attempts_total", "Attempts of calls to the platform by result.", "service", "result"),
		platformRetries:       newDesc("platform_retries_total", "Attempts after the first of a call to the platform.", "service"),
		platformRejected:      newDesc("platform_rejected_total", "Attempts that the open circuit breaker refused.", "service"),
		platformBreaker:       newDesc("platform_breaker_state", "Circuit breaker: 0 closed, 1 half-open, 2 open.", "service"),
		lostLogLines:          newDesc("lost_log_lines_total", "Lines that are not in the log: dropped because its reader is too slow, or not written because writing failed.", "reason"),
		configurationAccepted: newDesc("configuration_accepted_timestamp_seconds", "When the revision in force was accepted."),
		configurationAdoption: newDesc("configuration_adoption_seconds", "Time from the acceptance of the revision in force to its adoption here."),
	}
}

// Describe implements prometheus.Collector.
func (c *stateCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		c.slots, c.inUse, c.headroom, c.queued, c.spillSlots, c.spillInUse, c.owned, c.peers, c.inFlight,
		c.linkBudget, c.linkUsed, c.linkTraffic, c.stopInFlight, c.stopDrain, c.platformCalls, c.platformRetries,
		c.platformRejected, c.platformBreaker, c.lostLogLines, c.configurationAccepted, c.configurationAdoption,
	} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *stateCollector) Collect(ch chan<- prometheus.Metric) {
	c.runtime.panics.Do(contain.Operator, func() { c.collect(metricWriter{ch}) })
}

func (c *stateCollector) collect(m metricWriter) {
	s := c.runtime.metricState()
	c.collectLoads(m, s)
	c.collectOwnership(m, s)
	c.collectLinks(m, s)
	c.collectStops(m)
	c.collectPlatform(m)
	c.collectConfiguration(m)
	c.collectLog(m)
}

// metricState is the part of the reducer's state that a scrape reports.
type metricState struct {
	loads         []membership.ServiceLoad
	servers       []reducer.ServerState
	peers         []membership.Peer
	links         []steering.LinkUse
	calls, offers int
}

func (r *Runtime) metricState() metricState {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.now()
	s := metricState{
		loads:   r.reducer.Loads(now),
		servers: r.reducer.Servers(now),
		peers:   r.reducer.Peers(),
		links:   r.reducer.LinkUses(),
	}
	s.calls, s.offers = r.reducer.InFlight()
	return s
}

// metricWriter sends constant metrics.
type metricWriter struct{ ch chan<- prometheus.Metric }

func (w metricWriter) gauge(d *prometheus.Desc, v float64, labels ...string) {
	w.ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
}

func (w metricWriter) counter(d *prometheus.Desc, v float64, labels ...string) {
	w.ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, v, labels...)
}

func (c *stateCollector) collectLoads(m metricWriter, s metricState) {
	for _, load := range s.loads {
		service := string(load.Service)
		m.gauge(c.slots, float64(load.Slots), service)
		m.gauge(c.inUse, float64(load.InUse), service)
		if load.Slots > 0 {
			m.gauge(c.headroom, float64(max(0, load.Slots-load.InUse))/float64(load.Slots), service)
		}
		m.gauge(c.spillSlots, load.SpillLevel, service)
		m.gauge(c.spillInUse, float64(load.SpillInUse), service)
		for rank, n := range load.Queued {
			m.gauge(c.queued, float64(n), service, model.Rank(rank).String())
		}
	}
}

func (c *stateCollector) collectOwnership(m metricWriter, s metricState) {
	type key struct {
		service   model.ServiceName
		condition string
	}
	servers := lo.CountValuesBy(s.servers, func(s reducer.ServerState) key {
		return key{s.Backend.Service, s.State.Condition.String()}
	})
	for k, n := range servers {
		m.gauge(c.owned, float64(n), string(k.service), k.condition)
	}
	for health, n := range lo.CountValuesBy(s.peers, func(p membership.Peer) membership.Health { return p.Health }) {
		m.gauge(c.peers, float64(n), string(health))
	}
	m.gauge(c.inFlight, float64(s.calls), "ingress")
	m.gauge(c.inFlight, float64(s.offers), "owner")
}

func (c *stateCollector) collectLinks(m metricWriter, s metricState) {
	for _, l := range s.links {
		m.gauge(c.linkBudget, l.BytesPerSecond, string(l.Region))
		m.counter(c.linkUsed, float64(l.Used.Upload), string(l.Region), "out")
		m.counter(c.linkUsed, float64(l.Used.Response), string(l.Region), "back")
	}
	for _, t := range c.runtime.links.Traffic() {
		m.counter(c.linkTraffic, float64(t.Sent), t.Kind.String(), "sent")
		m.counter(c.linkTraffic, float64(t.Received), t.Kind.String(), "received")
	}
}

func (c *stateCollector) collectStops(m metricWriter) {
	for _, stop := range c.runtime.stops() {
		labels := []string{stop.ID, string(stop.Scope), stop.Target}
		m.gauge(c.stopInFlight, float64(stop.InFlight), labels...)
		if !stop.DrainedAt.IsZero() {
			m.gauge(c.stopDrain, stop.DrainedAt.Sub(stop.At).Seconds(), labels...)
		}
	}
}

func (c *stateCollector) collectPlatform(m metricWriter) {
	if c.runtime.options.PlatformStats == nil {
		return
	}
	for _, s := range c.runtime.options.PlatformStats() {
		service := string(s.Service)
		m.counter(c.platformCalls, float64(s.Attempts-s.Failures), service, "answered")
		m.counter(c.platformCalls, float64(s.Failures), service, "failed")
		m.counter(c.platformRetries, float64(s.Retries), service)
		m.counter(c.platformRejected, float64(s.RefusedByBreaker), service)
		m.gauge(c.platformBreaker, float64(s.Breaker), service)
	}
}

func (c *stateCollector) collectConfiguration(m metricWriter) {
	status := c.runtime.configurationStatus()
	if status.Revision == 0 {
		return
	}
	m.gauge(c.configurationAccepted, float64(status.AcceptedAt.UnixMilli())/1000)
	m.gauge(c.configurationAdoption, status.AdoptedAt.Sub(status.AcceptedAt).Seconds())
}

func (c *stateCollector) collectLog(m metricWriter) {
	if losses := c.runtime.options.LogLosses; losses != nil {
		m.counter(c.lostLogLines, float64(losses.Dropped()), "dropped")
		m.counter(c.lostLogLines, float64(losses.Failed()), "not written")
	}
}
