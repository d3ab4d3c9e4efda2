package main

import (
	"context"
	"fmt"
	"net"
	"os"

	"github.com/gofiber/fiber/v3"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/edge"
	"github.com/primrosenotch/primrosenotch/internal/listener"
	"github.com/primrosenotch/primrosenotch/internal/logsink"
	"github.com/primrosenotch/primrosenotch/internal/memory"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/settings"
	"github.com/primrosenotch/primrosenotch/internal/signals"
	"github.com/primrosenotch/primrosenotch/platform"
)

// loadedSettings holds valid settings with the platform's bounds parsed.
type loadedSettings struct {
	settings.Settings
	file   string
	text   []byte
	bounds edge.Bounds
}

func loadSettings(name string) (loadedSettings, error) {
	text, err := os.ReadFile(name) // read first, so that a change during loading is detected by the next check
	if err != nil {
		return loadedSettings{}, fmt.Errorf("read settings %s: %w", name, err)
	}
	s, err := settings.Load(name)
	if err != nil {
		return loadedSettings{}, err
	}
	bounds, err := platform.ParseBounds(s.Direct.Bounds)
	if err != nil {
		return loadedSettings{}, fmt.Errorf("%s: [direct] %w", name, err)
	}
	if s.Regions[s.Instance.Zone] == "" {
		return loadedSettings{}, fmt.Errorf("%s: [regions] has no zone %q", name, s.Instance.Zone)
	}
	return loadedSettings{Settings: s, file: name, text: text, bounds: bounds}, nil
}

func serve(s loadedSettings, received signals.Set) error {
	injector := do.New()
	do.ProvideValue(injector, s)
	sink := logsink.New(os.Stdout)
	defer sink.Close(logsink.FlushTimeout)
	do.ProvideValue(injector, sink)
	do.Provide(injector, newLog)
	do.Provide(injector, newStore)
	do.Provide(injector, newEdge)
	log, err := do.Invoke[*logrus.Entry](injector)
	if err != nil {
		return fmt.Errorf("start instance %s: %w", s.Instance.ID, err)
	}
	// The instance's start counts from when it has its addresses.
	l, err := listen(received.Stop, s, log)
	if received.Stop.Err() != nil {
		log.Info("stopped before it had its addresses")
		return nil
	}
	if err != nil {
		return err
	}
	e, err := do.Invoke[*edge.Edge](injector)
	if err != nil {
		return fmt.Errorf("start instance %s: %w", s.Instance.ID, err)
	}
	reload := &reloader{file: s.file, text: s.text, current: s, log: log, setBounds: e.SetBounds}
	go e.Panics().Keep(received.Stop, contain.Settings, func() { reload.run(received.Stop, received.Hangups) })
	serveEndpoint(log, e.Accepting("ready", l.ready), contained(e.Panics(), contain.Ready, platform.ReadyHandler(e)))
	serveEndpoint(log, e.Accepting("lookups", l.lookups), contained(e.Panics(), contain.Lookup, platform.LookupHandler(e)))
	serveEndpoint(log, e.Accepting("control", l.control), contained(e.Panics(), contain.Operator, controlHandler(e)))
	log.WithField("callers", s.Listen.Callers).Info("started")
	return e.Run(received.Stop, edge.Listeners{Callers: l.callers, Links: l.links})
}

// logTimeFormat is RFC 3339 in milliseconds, so that the lines of several instances can be
// put in order.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

func newLog(i do.Injector) (*logrus.Entry, error) {
	s := do.MustInvoke[loadedSettings](i)
	level, err := logrus.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(do.MustInvoke[*logsink.Sink](i))
	log.SetLevel(level)
	if s.Log.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: logTimeFormat})
	}
	return log.WithField("instance", s.Instance.ID), nil
}

func newStore(i do.Injector) (*platform.Store, error) {
	return platform.NewStore(do.MustInvoke[loadedSettings](i).Platform.Address), nil
}

func newEdge(i do.Injector) (*edge.Edge, error) {
	s := do.MustInvoke[loadedSettings](i)
	store := do.MustInvoke[*platform.Store](i)
	regions := lo.MapEntries(s.Regions, func(zone, region string) (model.ZoneName, model.RegionName) {
		return model.ZoneName(zone), model.RegionName(region)
	})
	return edge.New(edge.Options{
		Self: catalog.Instance{
			ID:            model.InstanceID(s.Instance.ID),
			Zone:          model.ZoneName(s.Instance.Zone),
			LinkAddr:      s.Advertise.Links,
			CallerAddr:    s.Advertise.Callers,
			BandwidthMbit: s.Instance.BandwidthMbit,
			CPUs:          s.Instance.CPUs,
		},
		ControlAddr: s.Advertise.Control,
		Region:      regions[model.ZoneName(s.Instance.Zone)],
		Regions:     regions,
		Bounds:      s.bounds,
		Dialect:     platform.Dialect(),
		Store:       store,
		Registry:    store,
		Suspects:    store,
		Tables: edge.Tables{
			Operator:  platform.TableOperator,
			Servers:   platform.TableServers,
			Instances: platform.TableInstances,
			Suspects:  platform.TableSuspects,
		},
		Decode:          platform.Decode,
		Log:             do.MustInvoke[*logrus.Entry](i),
		RandomServers:   s.Direct.Naive,
		RouteUrgency:    s.Direct.RouteUrgency,
		SpreadObjects:   s.Direct.SpreadObjects,
		Memory:          memory.Apply(memory.Limit(s.Instance.MemoryBytes())),
		DroppedLogLines: do.MustInvoke[*logsink.Sink](i).Dropped,
		FailedLogLines:  do.MustInvoke[*logsink.Sink](i).Failed,
	}), nil
}

// listeners holds the process's listeners. They are opened before anything starts, so that all
// ports in use are reported in one error.
type listeners struct{ callers, links, control, lookups, ready net.Listener }

// listen waits for addresses that the process before still uses, for as long as its stop may take.
func listen(ctx context.Context, s loadedSettings, log *logrus.Entry) (l listeners, err error) {
	err = listener.Open(ctx, []listener.Address{
		{Name: "ready", Addr: s.Direct.Ready, To: &l.ready},
		{Name: "lookups", Addr: s.Direct.Lookups, To: &l.lookups},
		{Name: "control", Addr: s.Listen.Control, To: &l.control},
		{Name: "links", Addr: s.Listen.Links, To: &l.links},
		{Name: "callers", Addr: s.Listen.Callers, To: &l.callers},
	}, s.bounds.StopTimeout+listener.StopMargin, log)
	return l, err
}

// controlHandler serves the operators' API, and metrics on all other paths.
func controlHandler(e *edge.Edge) fasthttp.RequestHandler {
	metrics := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(e.Metrics(), promhttp.HandlerOpts{}))
	app := fiber.New()
	control.RegisterStatus(app, e.Status)
	control.RegisterRoute(app, e.Route)
	app.Use(func(c fiber.Ctx) error {
		metrics(c.RequestCtx())
		return nil
	})
	return app.Handler()
}

// contained returns handler with panics contained: they are answered with 500.
func contained(panics *contain.Panics, place contain.Place, handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if !panics.Do(place, func() { handler(ctx) }) {
			ctx.Response.Reset()
			ctx.SetStatusCode(fasthttp.StatusInternalServerError)
			ctx.SetConnectionClose()
		}
	}
}

// serveEndpoint serves handler on l in the background until the process ends.
func serveEndpoint(log *logrus.Entry, l net.Listener, handler fasthttp.RequestHandler) {
	server := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, ReadBufferSize: 2048, WriteBufferSize: 2048, Logger: log}
	go func() {
		if err := server.Serve(l); err != nil {
			log.WithError(err).WithField("address", l.Addr().String()).Error("HTTP endpoint failed")
		}
	}()
}
