package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
)

// Paths of the control service; :name is the name of a link.
const (
	PathLinks   = "/standin/links"               // GET lists the links
	PathFaults  = "/standin/links/:name/faults"  // GET returns the faults, PUT replaces them
	PathSilence = "/standin/links/:name/silence" // POST silences the open connections permanently
)

// shutdownTimeout is the longest time that Close waits for calls in progress.
const shutdownTimeout = time.Second

// LinkReport is the description of a link in the list at PathLinks.
type LinkReport struct {
	Name     string   `json:"name"`
	Address  string   `json:"address"`
	Target   string   `json:"target"`
	Faults   Faults   `json:"faults"`
	Counters Counters `json:"counters"`
}

// Control is an HTTP service that shows and sets the faults of several links.
type Control struct {
	app      *fiber.App
	relays   []*Relay
	listener net.Listener
	served   sync.WaitGroup
}

// NewControl returns a Control for relays. Start must be called to start it.
func NewControl(relays []*Relay) *Control {
	c := &Control{app: fiber.New(), relays: relays}
	c.app.Get(PathLinks, c.list)
	c.app.Get(PathFaults, c.withLink(func(ctx fiber.Ctx, r *Relay) error { return ctx.JSON(r.Faults()) }))
	c.app.Put(PathFaults, c.withLink(setFaults))
	c.app.Post(PathSilence, c.withLink(silence))
	return c
}

// Start listens on addr (host:port, where port 0 selects a free port) and serves until Close.
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

// Close stops the control service. It waits at most shutdownTimeout for calls in progress.
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

// withLink returns a handler that calls handler with the link named in the path, or answers 404.
func (c *Control) withLink(handler func(fiber.Ctx, *Relay) error) fiber.Handler {
	return func(ctx fiber.Ctx) error {
		for _, r := range c.relays {
			if r.Name() == ctx.Params("name") {
				return handler(ctx, r)
			}
		}
		return ctx.Status(fiber.StatusNotFound).SendString("link not found")
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
