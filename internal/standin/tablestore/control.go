package tablestore

import (
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/primrosenotch/primrosenotch/internal/platform/wire"
)

// The paths of the stand-in's own switches; faults do not apply to them.
const (
	PathFaults   = "/standin/faults"
	PathCounters = "/standin/counters"
	PathLines    = "/standin/lines"
)

// controlRoutes registers the switches and counters.
func (s *Server) controlRoutes() {
	s.app.Get(PathFaults, func(c fiber.Ctx) error { return c.JSON(s.Faults()) })
	s.app.Put(PathFaults, s.handleSetFaults)
	s.app.Get(PathCounters, func(c fiber.Ctx) error { return c.JSON(s.Counters()) })
	s.app.Get(PathLines, s.handleLines)
	s.app.Post(PathLines, s.handleSetLine)
	s.app.Delete(PathLines, s.handleRemoveLine)
}

func (s *Server) handleSetFaults(c fiber.Ctx) error {
	var faults Faults
	if !decode(c, &faults) {
		return nil
	}
	s.SetFaults(faults)
	return c.JSON(s.Faults())
}

// handleLines shows the list without its lag.
func (s *Server) handleLines(c fiber.Ctx) error {
	now := time.Now()
	return c.JSON(wire.InstancesAnswer{Instances: s.instances.list(now, now)})
}

func (s *Server) handleSetLine(c fiber.Ctx) error {
	var line wire.RegisterRequest
	if !decode(c, &line) {
		return nil
	}
	s.SetLine(line.Instance, time.Duration(line.TTLMillis)*time.Millisecond)
	return c.SendStatus(fiber.StatusNoContent)
}

func (s *Server) handleRemoveLine(c fiber.Ctx) error {
	var line wire.Instance
	if !decode(c, &line) {
		return nil
	}
	s.instances.remove(line, time.Now())
	return c.SendStatus(fiber.StatusNoContent)
}
