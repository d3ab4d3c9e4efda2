package edge

import (
	"math"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/dispatch"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// metrics holds the counters and histograms of one instance. Label values come from fixed
// lists only.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec   // by outcome and cause
	latency  *prometheus.HistogramVec // by kind
	attempts *prometheus.CounterVec   // by result
	givenUp  *prometheus.CounterVec   // by reason
	hedges   prometheus.Counter
	reads    *prometheus.CounterVec // by table and result
	// olderRows counts rows read from the store that are older than the copy, by table.
	olderRows  *prometheus.CounterVec
	storeCalls *prometheus.CounterVec // by table and reason, like storeRows and storeBytes
	storeRows  *prometheus.CounterVec
	storeBytes *prometheus.CounterVec
	lookups    prometheus.Counter
	unlogged   prometheus.Counter
	invalid    *prometheus.CounterVec // by source
	// organisations counts only requests of organisations.
	organisations *organisationMetrics
	quotas        *quotaMetrics
	probes        *prometheus.CounterVec // by reason and result
	accepts       *prometheus.CounterVec // failed ones, by listener
}

// latencyBuckets are upper bounds in seconds, the lowest for responses within a region.
// Requests may take longer than the highest.
var latencyBuckets = []float64{0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8}

func newMetrics(e *Edge) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosenotch_edge_requests_total", Help: "Callers' requests by outcome and cause.",
		}, []string{"outcome", "cause"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "primrosenotch_edge_request_seconds", Help: "Time from a request's arrival to its answer.", Buckets: latencyBuckets,
		}, []string{"kind"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosenotch_edge_attempts_total", Help: "Sends to backend servers by result.",
		}, []string{"result"}),
		givenUp: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosenotch_edge_attempts_given_up_total", Help: "Attempts cancelled before their answer, by reason.",
		}, []string{"reason"}),
		hedges: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "primrosenotch_edge_hedges_total", Help: "Attempts made while an earlier attempt of the request was running.",
		}),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosenotch_edge_store_reads_total", Help: "Reads of the platform's store by table and result.",
		}, []string{"table", "result"}),
		olderRows: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosenotch_edge_store_older_rows_total", Help: "Rows and whole tables read from the store that are older than what is known.",
		}, []string{"table"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosenotch_edge_store_calls_total", Help: "Calls for rows of the platform's store by table and reason.",
		}, []string{"table", "reason"}),
		storeRows: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosenotch_edge_store_rows_total", Help: "Rows in answers of the platform's store by table and reason of the call.",
		}, []string{"table", "reason"}),
		storeBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosenotch_edge_store_read_bytes_total", Help: "Bytes of answers of the platform's store by table and reason of the call.",
		}, []string{"table", "reason"}),
		organisations: newOrganisationMetrics(),
		quotas:        newQuotaMetrics(),
		lookups: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "primrosenotch_edge_lookups_total", Help: "Look-ups answered.",
		}),
		unlogged: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "primrosenotch_edge_unlogged_requests_total", Help: "Requests without a log line, beyond the log's rate.",
		}),
		invalid: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosenotch_edge_invalid_values_total", Help: "Values from outside that cannot be parsed, by header field or table.",
		}, []string{"source"}),
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosenotch_edge_health_checks_total", Help: "Health checks of backend servers by reason and result.",
		}, []string{"reason", "result"}),
		accepts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosenotch_edge_accept_failures_total", Help: "Failed accepts of connections, which were retried.",
		}, []string{"listener"}),
	}
	m.registry.MustRegister(m.requests, m.organisations.vec, m.organisations.refusals, m.quotas.reports, m.quotas.held, m.latency, m.attempts, m.givenUp, m.hedges, m.reads, m.olderRows, m.storeCalls, m.storeRows, m.storeBytes, m.lookups,
		m.unlogged, m.invalid, m.probes, m.accepts, e.panics.Counter())
	contained := func(value func() float64) func() float64 {
		return func() float64 {
			v := math.NaN() // where the value cannot be told
			e.panics.Do(contain.Operator, func() { v = value() })
			return v
		}
	}
	counter := func(name, help string, value func() float64) {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, contained(value)))
	}
	gauge := func(name, help string, value func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, contained(value)))
	}
	counter("primrosenotch_edge_dropped_log_lines_total", "Log lines dropped because the reader of the log was too slow.",
		func() float64 { return countOf(e.options.DroppedLogLines) })
	counter("primrosenotch_edge_failed_log_lines_total", "Log lines that could not be written.",
		func() float64 { return countOf(e.options.FailedLogLines) })
	counter("primrosenotch_edge_refused_connections_total", "Callers' connections refused because there are too many.",
		func() float64 { return float64(e.callerServer.Stats().RefusedConnections) })
	counter("primrosenotch_edge_read_ahead_total", "Requests forwarded while an earlier request of their connection was running.",
		func() float64 { return float64(e.callerServer.Stats().ReadAhead) })
	counter("primrosenotch_edge_read_ahead_abandoned_total", "Requests read ahead whose connection ended before their turn.",
		func() float64 { return float64(e.callerServer.Stats().AheadAbandoned) })
	gauge("primrosenotch_edge_in_flight", "Callers' requests in flight.", func() float64 { return float64(e.callerServer.InFlight()) })
	gauge("primrosenotch_edge_state_age_seconds", "Age of what is known of the platform's store.", func() float64 {
		e.fleetMu.Lock()
		defer e.fleetMu.Unlock()
		return e.replica.OldestAge(e.clock.now()).Seconds()
	})
	gauge("primrosenotch_edge_store_epoch", "How often the store had been restored from a copy when it was last read.", func() float64 {
		e.fleetMu.Lock()
		defer e.fleetMu.Unlock()
		return float64(e.replica.Epoch())
	})
	gauge("primrosenotch_edge_servers", "Backend servers listed.", func() float64 {
		e.mu.Lock()
		defer e.mu.Unlock()
		return float64(e.dispatcher.Servers())
	})
	gauge("primrosenotch_edge_limited_servers", "Backend servers that name a limit on requests.", func() float64 {
		e.mu.Lock()
		defer e.mu.Unlock()
		return float64(e.dispatcher.LimitedServers())
	})
	gauge("primrosenotch_edge_short_services", "Services that are short of room, for which requests are told apart.", func() float64 {
		e.mu.Lock()
		defer e.mu.Unlock()
		return float64(e.dispatcher.ShortServices(e.clock.now()))
	})
	gauge("primrosenotch_edge_borrowed_limit_units", "Units of backend servers' limits borrowed from other instances.", func() float64 {
		borrowed, _ := e.lentUnits()
		return float64(borrowed)
	})
	gauge("primrosenotch_edge_lent_limit_units", "Units of backend servers' limits lent to other instances.", func() float64 {
		_, lent := e.lentUnits()
		return float64(lent)
	})
	gauge("primrosenotch_edge_quota_used", "Organisations with a limit that have had requests here lately.", func() float64 { return float64(e.quotaCounts().Used) })
	gauge("primrosenotch_edge_quota_leases", "Organisations of whose limit this instance holds a lease.", func() float64 { return float64(e.quotaCounts().Leased) })
	gauge("primrosenotch_edge_quota_coordinated", "Organisations of whose limit this instance grants leases.", func() float64 { return float64(e.quotaCounts().Coordinated) })
	gauge("primrosenotch_edge_busiest_server_ratio", "Requests of this instance at the busiest backend server of a service in its region as a multiple of their mean.", func() float64 {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.dispatcher.BusiestServerRatio()
	})
	for servers := dispatch.MinSpread; servers <= dispatch.MaxSpread; servers++ {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "primrosenotch_edge_spread_requests_total", Help: "Requests by the number of servers over which their object is spread.",
			ConstLabels: prometheus.Labels{"servers": strconv.Itoa(servers)},
		}, contained(func() float64 {
			e.mu.Lock()
			defer e.mu.Unlock()
			return float64(e.dispatcher.SpreadRequests()[servers])
		})))
	}
	gauge("primrosenotch_edge_configuration_version", "Version of the configuration in force.", func() float64 {
		e.mu.Lock()
		defer e.mu.Unlock()
		if c := e.dispatcher.Configuration(); c != nil {
			return float64(c.Version)
		}
		return 0
	})
	gauge("primrosenotch_edge_instances", "Instances that take callers' requests.", func() float64 {
		e.fleetMu.Lock()
		defer e.fleetMu.Unlock()
		return float64(len(e.usableInstances()))
	})
	return m
}

func (e *Edge) lentUnits() (borrowed, lent int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.LentUnits(e.clock.now())
}

func (e *Edge) quotaCounts() dispatch.QuotaCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.QuotaCounts(e.clock.now())
}

// countOf returns a counter's value, 0 without a counter.
func countOf(counter func() int64) float64 {
	if counter == nil {
		return 0
	}
	return float64(counter())
}

func (m *metrics) requestEnded(outcome model.Outcome, cause model.Cause) {
	m.requests.WithLabelValues(outcome.String(), string(cause)).Inc()
}

func (m *metrics) observeLatency(kind model.Kind, elapsed time.Duration) {
	m.latency.WithLabelValues(kind.String()).Observe(elapsed.Seconds())
}

// Metrics returns the registry that the metrics address serves.
func (e *Edge) Metrics() *prometheus.Registry { return e.metrics.registry }
