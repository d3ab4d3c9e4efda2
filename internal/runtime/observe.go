package runtime

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/primrosenotch/primrosenotch/internal/ingress"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/slo"
)

// metrics are the instance's Prometheus metrics. The configuration and the causes
// of package model bound the number of label values.
type metrics struct {
	registry       *prometheus.Registry
	requests       *prometheus.CounterVec
	latency        *prometheus.HistogramVec
	claims         *prometheus.CounterVec
	platformErrors *prometheus.CounterVec
	acceptFailures *prometheus.CounterVec
}

const metricsNamespace = "primrosenotch"

func newMetrics(r *Runtime) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "requests_total",
			Help: "Callers' requests by service, rank, outcome and cause.",
		}, []string{"service", "rank", "outcome", "cause"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: metricsNamespace, Name: "request_duration_seconds",
			Help:    "Time from a caller's request to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"service", "rank"}),
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "ledger_claims_total",
			Help: "Claims of idempotency keys by result.",
		}, []string{"result"}),
		platformErrors: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "platform_errors_total",
			Help: "Failed calls to the platform by step.",
		}, []string{"step"}),
		acceptFailures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "accept_failures_total",
			Help: "Failed accepts of connections by listener, which were retried.",
		}, []string{"listener"}),
	}
	m.registry.MustRegister(m.requests, m.latency, m.claims, m.platformErrors, m.acceptFailures, r.panics.Counter(),
		newStateCollector(r),
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: metricsNamespace, Name: "configuration_revision",
			Help: "Number of the configuration revision in force.",
		}, func() float64 { return float64(r.activeRevisionNumber()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: metricsNamespace, Name: "configuration_lost",
			Help: "1 if the platform's table was restored from a copy and lacks the revision in force, else 0.",
		}, func() float64 {
			if r.configurationLost.Load() {
				return 1
			}
			return 0
		}))
	return m
}

// ObserveCallers adds what the callers' server refuses by itself to the metrics.
func (r *Runtime) ObserveCallers(stats func() ingress.Stats) {
	for reason, count := range map[string]func() int64{
		"connections": func() int64 { return stats().RefusedConnections },
		"lookups":     func() int64 { return stats().RefusedLookups },
		"overload":    func() int64 { return stats().Overloaded },
	} {
		r.metrics.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "refused_at_once_total",
			Help:        "Callers' connections, lookups and requests refused by the callers' server itself, by reason.",
			ConstLabels: prometheus.Labels{"reason": reason},
		}, func() float64 { return float64(count()) }))
	}
}

// observe updates the statistics and metrics for a finished request.
func (r *Runtime) observe(c *call, outcome model.Outcome, cause model.Cause, took time.Duration) {
	m := &c.meta
	r.stats.Record(slo.FinishedRequest{
		At:      r.clock.now().Time(),
		Service: m.Service,
		Rank:    m.Rank,
		Outcome: outcome,
		Cause:   cause,
		Latency: took,
	})
	rank := m.Rank.String()
	r.metrics.requests.WithLabelValues(string(m.Service), rank, outcome.String(), string(cause)).Inc()
	if outcome == model.Served || outcome == model.Late {
		r.metrics.latency.WithLabelValues(string(m.Service), rank).Observe(took.Seconds())
	}
}

// refuseUnrouted refuses a request for which classify found no route.
func (r *Runtime) refuseUnrouted(x *ingress.Exchange, cause model.Cause) {
	r.metrics.requests.WithLabelValues("", "", model.NotRun.String(), string(cause)).Inc()
	if err := x.Refuse(model.NotRun, cause, retryAfter(cause)); err != nil {
		r.log.WithError(err).Debug("failed to send refusal to caller")
	}
}
