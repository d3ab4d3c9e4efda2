package runtime

import (
	"io"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil/promlint"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/ingress"
	"github.com/primrosenotch/primrosenotch/internal/journal"
	"github.com/primrosenotch/primrosenotch/internal/logsink"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/platform"
	"github.com/primrosenotch/primrosenotch/internal/reducer"
)

const testConfig = `[zone north-a]
region = north
[zone south-a]
region = south
[service shop]
[route browse]
service = shop
match = GET /*
[backend shop-1]
service = shop
zone = north-a
address = 127.0.0.1:1
slots = 4
[limits]
link north-south = 1Gbit
`

func newTestRuntime(t *testing.T) *Runtime {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := New(Options{
		LogLosses: logsink.New(io.Discard),
		Reducer: reducer.Settings{
			Self:      membership.Record{ID: "entry-1", Zone: "north-a", LinkAddr: "127.0.0.1:1"},
			PollEvery: time.Hour, IdlePollFactor: 1, LookupTTL: time.Second,
		},
		Log: log.WithField("instance", "entry-1"),
		PlatformStats: func() []platform.ServiceStats {
			return platform.NewClient(platform.DefaultSettings("127.0.0.1:1")).Stats()
		},
	})
	r.ObserveCallers(func() ingress.Stats { return ingress.Stats{} })
	text, err := config.Parse("test", []byte(testConfig))
	require.NoError(t, err)
	stop := config.Stop{ID: "s1", Scope: config.StopBackend, Target: "shop-1", At: time.Now()}
	revision := &config.Revision{Number: 1, Source: []byte(testConfig), Stops: []config.Stop{stop}}
	r.activate(nil, &event.ConfigurationLoaded{Revision: revision, Text: text, Index: config.NewIndex(text)})
	return r
}

// TestMetricNamesFollowConventions lints the scraped metrics and requires that
// docs/METRICS.md documents exactly these metrics.
func TestMetricNamesFollowConventions(t *testing.T) {
	r := newTestRuntime(t)
	r.metrics.requests.WithLabelValues("shop", "normal", "served", "").Inc()
	r.metrics.latency.WithLabelValues("shop", "normal").Observe(1)
	r.metrics.claims.WithLabelValues("granted").Inc()
	r.metrics.platformErrors.WithLabelValues("list instances").Inc()
	r.AcceptFailures().WithLabelValues("callers").Inc()
	r.Panics().Counter().WithLabelValues(string(contain.Request)).Inc()
	r.mu.Lock()
	r.recordDrainedStops(r.clock.now())
	r.mu.Unlock()
	families, err := r.Metrics().Gather()
	require.NoError(t, err)
	problems, err := promlint.NewWithMetricFamilies(families).Lint()
	require.NoError(t, err)
	require.Empty(t, problems)

	page, err := os.ReadFile("../../docs/METRICS.md")
	require.NoError(t, err)
	documented := regexp.MustCompile("`(primrosenotch_[a-z_]+)").FindAllStringSubmatch(string(page), -1)
	var gathered []string
	for _, f := range families {
		if strings.HasPrefix(f.GetName(), metricsNamespace) {
			gathered = append(gathered, f.GetName())
		}
	}
	names := lo.Uniq(lo.Map(documented, func(m []string, _ int) string { return m[1] }))
	// The test runtime owns no servers and has no peers, so these have no samples.
	for _, name := range []string{"owner_slots", "owner_slots_in_use", "owner_headroom_ratio", "owner_queued_requests", "owner_spill_slots", "owner_spill_slots_in_use", "owned_backend_servers", "peers"} {
		gathered = append(gathered, metricsNamespace+"_"+name)
	}
	require.ElementsMatch(t, lo.Uniq(gathered), names)
}

// The drained stop writes no journal entry, because the runtime under test owns no
// server; for the stop, only DrainedAt is checked.
func TestRefusalsAreSummarizedOnce(t *testing.T) {
	r := newTestRuntime(t)
	r.refusals.add(&model.RequestMeta{Service: "shop", Rank: model.Urgent}, model.NotRun, model.CauseQueueFull)
	r.refusals.add(&model.RequestMeta{Service: "shop", Rank: model.Urgent}, model.NotRun, model.CauseQueueFull)
	for range 3 {
		r.mu.Lock()
		r.recordDrainedStops(r.clock.now())
		r.refusals.report(r, r.clock.now())
		r.mu.Unlock()
	}
	found := r.journal.Find(journal.Query{Subject: "shop"})
	require.Len(t, found, 1)
	require.Equal(t, "2 urgent requests ended not-run in 10s", found[0].Message)
	require.False(t, r.stops()[0].DrainedAt.IsZero())
}

func TestRefusalRecordsOwnerChoice(t *testing.T) {
	r := newTestRuntime(t)
	c := &call{runtime: r, meta: model.RequestMeta{TraceID: "t1"}, started: r.clock.now()}
	candidates := &model.Candidates{Baseline: []model.ZoneName{"north-a"}, Spill: []model.ZoneName{"north-a"}}
	c.recordChoice(&event.Forward{Owner: "entry-1", Zone: "north-a", Candidates: candidates})
	require.Empty(t, r.journal.Find(journal.Query{TraceID: "t1"}), "a choice without rejected candidates is recorded with the answer")
	c.recordRefusal(&event.Refuse{Outcome: model.NotRun, Cause: model.CauseQueueFull, Final: event.FinalRetryBudget})
	found := r.journal.Find(journal.Query{TraceID: "t1"})
	require.Len(t, found, 2)
	require.Equal(t, "chosen as owner in north-a", found[0].Message)
	require.Equal(t, "outcome reported to caller: not-run", found[1].Message)
}
