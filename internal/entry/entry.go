// Package entry assembles one entry instance and runs it until it is asked to stop and
// its requests in flight have completed or the drain time is over.
package entry

import (
	"context"
	"fmt"
	"net"
	"os"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/descriptors"
	"github.com/primrosenotch/primrosenotch/internal/ingress"
	"github.com/primrosenotch/primrosenotch/internal/listener"
	"github.com/primrosenotch/primrosenotch/internal/logsink"
	"github.com/primrosenotch/primrosenotch/internal/runtime"
	"github.com/primrosenotch/primrosenotch/internal/settings"
	"github.com/primrosenotch/primrosenotch/internal/signals"
)

// Run runs an entry instance until it is asked to stop, then shuts it down gracefully.
func Run(s settings.Settings, received signals.Set) error {
	injector := do.New()
	sink := logsink.New(os.Stderr)
	defer sink.Close(logsink.FlushTimeout)
	provide(injector, s, sink)
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
	instance, err := do.Invoke[*instance](injector)
	if err != nil {
		return fmt.Errorf("start instance %s: %w", s.Instance.ID, err)
	}
	go instance.logHangups(received.Hangups)
	return instance.serve(received.Stop, l)
}

// logHangups says that settings need a restart to whoever asks to have them read again.
func (i *instance) logHangups(hangups <-chan os.Signal) {
	for range hangups {
		i.log.Warn("hangup ignored; changed settings need a restart")
	}
}

// instance holds the servers and the runtime of one process.
type instance struct {
	settings settings.Settings
	log      *logrus.Entry
	runtime  *runtime.Runtime
	callers  *ingress.Server
	control  *fiber.App
}

// listeners holds the listening sockets. They are opened before anything starts, so that
// all ports in use are reported in one error.
type listeners struct{ callers, links, control net.Listener }

// listen waits for addresses that the process before still uses, for as long as its stop may take.
func listen(ctx context.Context, s settings.Settings, log *logrus.Entry) (l listeners, err error) {
	err = listener.Open(ctx, []listener.Address{
		{Name: "control", Addr: s.Listen.Control, To: &l.control},
		{Name: "links", Addr: s.Listen.Links, To: &l.links},
		{Name: "callers", Addr: s.Listen.Callers, To: &l.callers},
	}, s.Serving.Drain+listener.StopMargin, log)
	return l, err
}

// serve serves on the given listeners until ctx is done, then shuts the instance down.
func (i *instance) serve(ctx context.Context, l listeners) error {
	i.log.WithField("callers", i.settings.Listen.Callers).Info("started")
	callers, links, control := i.accepting("callers", l.callers), i.accepting("links", l.links), i.accepting("control", l.control)
	serving, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group errgroup.Group
	group.Go(func() (err error) {
		i.runtime.Panics().Keep(serving, contain.Connection, func() { err = i.callers.Serve(callers) })
		return err
	})
	group.Go(func() (err error) {
		i.runtime.Panics().Keep(serving, contain.Link, func() { err = i.runtime.ServeLinks(serving, links) })
		return err
	})
	group.Go(func() error {
		return i.control.Listener(control, fiber.ListenConfig{DisableStartupMessage: true})
	})
	stop := context.AfterFunc(ctx, func() {
		i.callers.StartDraining()
		i.runtime.Panics().Do(contain.Stop, i.runtime.Shutdown)
	})
	defer stop()
	i.runtime.Run()
	return i.close(cancel, &group)
}

// accepting returns l with retries of temporary failures to accept a connection. Open
// connections of operators are bounded; the callers' server bounds those of callers, and links
// end when a ping is not answered.
func (i *instance) accepting(name string, l net.Listener) net.Listener {
	accepting := listener.Retry(l, name, i.log, i.runtime.AcceptFailures())
	if name == "control" {
		return listener.Limit(accepting, descriptors.MaxControl, name, i.log)
	}
	return accepting
}

// close shuts down the servers. The runtime must have ended.
func (i *instance) close(cancel context.CancelFunc, group *errgroup.Group) error {
	ctx, stop := context.WithTimeout(context.Background(), i.settings.Serving.Drain)
	defer stop()
	if err := i.callers.Shutdown(ctx); err != nil {
		i.log.WithError(err).Warn("could not close the connections of callers")
	}
	cancel()
	if err := i.control.ShutdownWithContext(ctx); err != nil {
		i.log.WithError(err).Warn("could not close the connections of the control API")
	}
	err := group.Wait()
	i.log.Info("stopped")
	return err
}

// newControl returns the app that serves the operators' API and the metrics endpoint.
func newControl(r *runtime.Runtime) *fiber.App {
	app := fiber.New()
	app.Use(func(c fiber.Ctx) (err error) {
		if !r.Panics().Do(contain.Operator, func() { err = c.Next() }) {
			return fiber.ErrInternalServerError
		}
		return err
	})
	control.Register(app, r)
	app.Get("/metrics", adaptor.HTTPHandler(promhttp.HandlerFor(r.Metrics(), promhttp.HandlerOpts{})))
	return app
}
