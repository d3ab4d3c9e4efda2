package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
)

// The paths of the control service; :name is a link's name.
const (
	PathLinks   = "/standin/links"               // GET lists the links
	PathFaults  = "/standin/links/:name/faults"  // GET shows, PUT sets
	PathSilence = "/standin/links/:name/silence" // POST silences the open connections
)

// shutdownTimeout bounds how long Close waits for calls in progress.
const shutdownTimeout = time.Second

// LinkReport describes a link to its operator.
type LinkReport struct {
	Name     string   `json:"name"`
	Address  string   `json:"address"`
	Target   string   `json:"target"`
	Faults   Faults   `json:"faults"`
	Counters Counters `json:"counters"`
}

// Control serves the switches of several links over HTTP.
type Control struct {
	app      *fiber.App
	relays   []*Relay
	listener net.Listener
	served   sync.WaitGroup
}

// NewControl returns a control service. Start starts it.
func NewControl(relays []*Relay) *Control {
	c := &Control{app: fiber.New(), relays: relays}
	c.app.Get(PathLinks, c.list)
	c.app.Get(PathFaults, c.onLink(func(ctx fiber.Ctx, r *Relay) error { return ctx.JSON(r.Faults()) }))
	c.app.Put(PathFaults, c.onLink(setFaults))
	c.app.Post(PathSilence, c.onLink(silence))
	return c
}

// Start listens on addr (host:port; port 0 takes a free one) until Close.
func (c *Control) Start(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", addr, err)
	}
	c.listener = listener
	c.served.Go(func() {
		_ = c.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	})
	return nil
}

// Addr returns the address that the control service listens on.
func (c *Control) Addr() string { return c.listener.Addr().String() }

// Close stops the control service.
func (c *Control) Close() error {
	if c.listener == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := c.app.ShutdownWithContext(ctx)
	_ = c.listener.Close()
	c.served.Wait()
	return err
}

func (c *Control) list(ctx fiber.Ctx) error {
	reports := []LinkReport{}
	for _, r := range c.relays {
		reports = append(reports, LinkReport{
			Name:     r.Name(),
			Address:  r.Addr(),
			Target:   r.config.Target,
			Faults:   r.Faults(),
			Counters: r.Counters(),
		})
	}
	return ctx.JSON(reports)
}

// onLink runs a handler on the link that the path names.
func (c *Control) onLink(handler func(fiber.Ctx, *Relay) error) fiber.Handler {
	return func(ctx fiber.Ctx) error {
		for _, r := range c.relays {
			if r.Name() == ctx.Params("name") {
				return handler(ctx, r)
			}
		}
		return ctx.Status(fiber.StatusNotFound).SendString("no link has this name")
	}
}

func setFaults(ctx fiber.Ctx, r *Relay) error {
	var faults Faults
	if err := ctx.Bind().JSON(&faults); err != nil {
		return ctx.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	r.SetFaults(faults)
	return ctx.JSON(r.Faults())
}

func silence(ctx fiber.Ctx, r *Relay) error {
	r.Silence()
	return ctx.SendStatus(fiber.StatusNoContent)
}
