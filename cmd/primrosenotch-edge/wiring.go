package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/edge"
	"github.com/primrosenotch/primrosenotch/internal/logsink"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/settings"
	"github.com/primrosenotch/primrosenotch/platform"
)

// checked are the settings with the platform's bounds read.
type checked struct {
	settings.Settings
	file   string
	text   []byte
	bounds edge.Bounds
}

func load(name string) (checked, error) {
	text, err := os.ReadFile(name) // first, so that a change meanwhile is noticed later
	if err != nil {
		return checked{}, fmt.Errorf("read settings %s: %w", name, err)
	}
	s, err := settings.Load(name)
	if err != nil {
		return checked{}, err
	}
	bounds, err := platform.ParseBounds(s.Direct.Bounds)
	if err != nil {
		return checked{}, fmt.Errorf("%s: [direct] %w", name, err)
	}
	if s.Regions[s.Instance.Zone] == "" {
		return checked{}, fmt.Errorf("%s: [regions] has no zone %q", name, s.Instance.Zone)
	}
	return checked{Settings: s, file: name, text: text, bounds: bounds}, nil
}

func serve(s checked) error {
	injector := do.New()
	do.ProvideValue(injector, s)
	sink := logsink.New(os.Stdout)
	defer sink.Close(logFlush)
	do.ProvideValue(injector, sink)
	do.Provide(injector, newLog)
	do.Provide(injector, newStore)
	do.Provide(injector, newEdge)
	e, err := do.Invoke[*edge.Edge](injector)
	if err != nil {
		return fmt.Errorf("start instance %s: %w", s.Instance.ID, err)
	}
	log := do.MustInvoke[*logrus.Entry](injector)
	l, err := listen(s)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	reload := &reloader{file: s.file, text: s.text, current: s, log: log, apply: e.SetBounds}
	go reload.run(ctx, hangups)
	serveDoor(log, l.ready, platform.ReadyHandler(e))
	serveDoor(log, l.lookups, platform.LookupHandler(e))
	serveDoor(log, l.control, fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(e.Metrics(), promhttp.HandlerOpts{})))
	log.WithField("callers", s.Listen.Callers).Info("started")
	return e.Run(ctx, edge.Listeners{Callers: l.callers, Links: l.links})
}

// logFlush bounds writing the last log lines at the end of the process.
const logFlush = 200 * time.Millisecond

func newLog(i do.Injector) (*logrus.Entry, error) {
	s := do.MustInvoke[checked](i)
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
	return log.WithField("instance", s.Instance.ID), nil
}

func newStore(i do.Injector) (*platform.Store, error) {
	return platform.NewStore(do.MustInvoke[checked](i).Platform.Address), nil
}

func newEdge(i do.Injector) (*edge.Edge, error) {
	s := do.MustInvoke[checked](i)
	store := do.MustInvoke[*platform.Store](i)
	regions := lo.MapEntries(s.Regions, func(zone, region string) (model.ZoneName, model.RegionName) {
		return model.ZoneName(zone), model.RegionName(region)
	})
	return edge.New(edge.Options{
		Self: catalog.Instance{
			ID:      model.InstanceID(s.Instance.ID),
			Zone:    model.ZoneName(s.Instance.Zone),
			Links:   s.Advertise.Links,
			Callers: s.Advertise.Callers,
		},
		Region:   regions[model.ZoneName(s.Instance.Zone)],
		Regions:  regions,
		Bounds:   s.bounds,
		Dialect:  platform.Dialect(),
		Store:    store,
		Registry: store,
		Tables: edge.Tables{
			Operator:  platform.TableOperator,
			Servers:   platform.TableServers,
			Instances: platform.TableInstances,
		},
		Decode: platform.Decode,
		Log:    do.MustInvoke[*logrus.Entry](i),
		Naive:  s.Direct.Naive,
	}), nil
}

// listeners are opened before anything starts, so that a taken port is one clear
// error.
type listeners struct{ callers, links, control, lookups, ready net.Listener }

func listen(s checked) (listeners, error) {
	var l listeners
	var faults []error
	for _, open := range []struct {
		what string
		addr string
		to   *net.Listener
	}{
		{"callers", s.Listen.Callers, &l.callers},
		{"links", s.Listen.Links, &l.links},
		{"control", s.Listen.Control, &l.control},
		{"lookups", s.Direct.Lookups, &l.lookups},
		{"ready", s.Direct.Ready, &l.ready},
	} {
		listener, err := net.Listen("tcp", open.addr)
		if err != nil {
			faults = append(faults, fmt.Errorf("listen for %s on %s: %w", open.what, open.addr, err))
			continue
		}
		*open.to = listener
	}
	return l, errors.Join(faults...)
}

// serveDoor answers one of the platform's own questions until the process ends.
func serveDoor(log *logrus.Entry, l net.Listener, handler fasthttp.RequestHandler) {
	server := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, ReadBufferSize: 2048, WriteBufferSize: 2048}
	go func() {
		if err := server.Serve(l); err != nil {
			log.WithError(err).WithField("address", l.Addr().String()).Error("door closed")
		}
	}()
}
