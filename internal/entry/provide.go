package entry

import (
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/xxh3"

	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/descriptors"
	"github.com/primrosenotch/primrosenotch/internal/ingress"
	"github.com/primrosenotch/primrosenotch/internal/ledger"
	"github.com/primrosenotch/primrosenotch/internal/link"
	"github.com/primrosenotch/primrosenotch/internal/logsink"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/memory"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/platform"
	"github.com/primrosenotch/primrosenotch/internal/reducer"
	"github.com/primrosenotch/primrosenotch/internal/runtime"
	"github.com/primrosenotch/primrosenotch/internal/settings"
	"github.com/primrosenotch/primrosenotch/internal/steering"
	"github.com/primrosenotch/primrosenotch/internal/upstream"
)

// provide registers the constructors of an instance's components.
func provide(i do.Injector, s settings.Settings, sink *logsink.Sink) {
	do.ProvideValue(i, s)
	do.ProvideValue(i, sink)
	do.Provide(i, newLog)
	do.Provide(i, newPlatform)
	do.Provide(i, newRuntime)
	do.Provide(i, newIngress)
	do.Provide(i, newInstance)
}

func newLog(i do.Injector) (*logrus.Entry, error) {
	s := do.MustInvoke[settings.Settings](i)
	level, err := logrus.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(do.MustInvoke[*logsink.Sink](i))
	log.SetLevel(level)
	if s.Log.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log.WithField("instance", s.Instance.ID).WithField("zone", s.Instance.Zone), nil
}

func newPlatform(i do.Injector) (*platform.Client, error) {
	s := do.MustInvoke[settings.Settings](i)
	platformSettings := platform.DefaultSettings(s.Platform.Address)
	platformSettings.AttemptTimeout = s.Platform.Timeout
	return platform.NewClient(platformSettings), nil
}

func newRuntime(i do.Injector) (*runtime.Runtime, error) {
	return runtime.New(runtimeOptions(i)), nil
}

func runtimeOptions(i do.Injector) runtime.Options {
	s := do.MustInvoke[settings.Settings](i)
	client := do.MustInvoke[*platform.Client](i)
	ledgerSettings := ledger.DefaultSettings()
	ledgerSettings.TransactionsPerSecond = s.Ledger.WritesPerSecond
	return runtime.Options{
		Reducer:       reducerSettings(s),
		Links:         link.DefaultSettings(),
		Ledger:        ledgerSettings,
		Upstream:      upstream.Settings{MaxOpen: min(upstream.DefaultMaxOpen, descriptors.Available().BackendServers)},
		Table:         client.Table(),
		Objects:       client.Objects(),
		Instances:     client.Instances(),
		PlatformStats: client.Stats,
		PlatformState: func() control.Platform { return platformState(client) },
		Log:           do.MustInvoke[*logrus.Entry](i),
		LogLosses:     do.MustInvoke[*logsink.Sink](i),
		Drain:         s.Serving.Drain,
	}
}

func reducerSettings(s settings.Settings) reducer.Settings {
	membershipSettings := membership.DefaultSettings()
	for id, addr := range s.Peers {
		membershipSettings.Seeds = append(membershipSettings.Seeds, membership.Seed{ID: model.InstanceID(id), Addr: addr})
	}
	return reducer.Settings{
		Self: membership.Record{
			ID:          model.InstanceID(s.Instance.ID),
			Zone:        model.ZoneName(s.Instance.Zone),
			LinkAddr:    s.Advertise.Links,
			CallerAddr:  s.Advertise.Callers,
			ControlAddr: s.Advertise.Control,
		},
		Membership:     membershipSettings,
		Steering:       steering.Settings{Seed: xxh3.HashString(s.Instance.ID)},
		PollEvery:      s.Platform.PollEvery,
		IdlePollFactor: s.Platform.PollFactor,
		LookupTTL:      s.Serving.LookupTTL,
	}
}

// platformState returns the worst circuit breaker state of the platform's three
// services.
func platformState(client *platform.Client) control.Platform {
	worst := lo.MaxBy(client.Stats(), func(a, b platform.ServiceStats) bool { return a.Breaker > b.Breaker })
	state := control.Platform{State: worst.Breaker.String()}
	if worst.Breaker != platform.BreakerClosed {
		state.Reason = "calls to the " + string(worst.Service) + " service fail"
	}
	return state
}

func newIngress(i do.Injector) (*ingress.Server, error) {
	s := do.MustInvoke[settings.Settings](i)
	r := do.MustInvoke[*runtime.Runtime](i)
	server := newServer(s, r, r)
	r.ObserveCallers(server.Stats)
	return server, nil
}

func newServer(s settings.Settings, r *runtime.Runtime, handler ingress.Handler) *ingress.Server {
	share := memory.Apply(memory.Limit(s.Instance.MemoryBytes()))
	server := ingress.New(ingress.Settings{
		MaxExchanges:   s.Serving.MaxRequests,
		MaxConnections: min(ingress.DefaultMaxConnections, descriptors.Available().Callers, share.Connections),
		HeldBytes:      share.Bodies,
		Panics:         r.Panics(),
	}, handler)
	server.SetDirectory(r)
	return server
}

func newInstance(i do.Injector) (*instance, error) {
	r := do.MustInvoke[*runtime.Runtime](i)
	return &instance{
		settings: do.MustInvoke[settings.Settings](i),
		log:      do.MustInvoke[*logrus.Entry](i),
		runtime:  r,
		callers:  do.MustInvoke[*ingress.Server](i),
		control:  newControl(r),
	}, nil
}
