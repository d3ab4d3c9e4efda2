package tablestore

import (
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/primrosenotch/primrosenotch/internal/platform/wire"
)

// Paths of the control endpoints. Faults do not affect them.
const (
	PathFaults   = "/standin/faults"   // GET returns the faults, PUT replaces them
	PathCounters = "/standin/counters" // GET returns the counters
	PathLines    = "/standin/lines"    // GET returns the instance list, POST sets an entry, DELETE removes one
	PathCopy     = "/standin/copy"     // POST keeps a copy of the table
	PathRestore  = "/standin/restore"  // POST returns the table to the copy
)

// controlRoutes registers the control endpoints.
func (s *Server) controlRoutes() {
	s.app.Get(PathFaults, func(c fiber.Ctx) error { return c.JSON(s.Faults()) })
	s.app.Put(PathFaults, s.handleSetFaults)
	s.app.Get(PathCounters, func(c fiber.Ctx) error { return c.JSON(s.Counters()) })
	s.app.Get(PathLines, s.handleCurrentList)
	s.app.Post(PathLines, s.handleSetEntry)
	s.app.Delete(PathLines, s.handleRemoveEntry)
	s.app.Post(PathCopy, func(c fiber.Ctx) error {
		s.CopyTable()
		return c.SendStatus(fiber.StatusNoContent)
	})
	s.app.Post(PathRestore, func(c fiber.Ctx) error {
		if !s.RestoreTable() {
			return c.Status(fiber.StatusConflict).SendString("no copy of the table")
		}
		return c.SendStatus(fiber.StatusNoContent)
	})
}

func (s *Server) handleSetFaults(c fiber.Ctx) error {
	var faults Faults
	if !decode(c, &faults) {
		return nil
	}
	s.SetFaults(faults)
	return c.JSON(s.Faults())
}

// handleCurrentList returns the current instance list, regardless of Faults.ListLagMillis.
func (s *Server) handleCurrentList(c fiber.Ctx) error {
	now := time.Now()
	return c.JSON(wire.InstancesAnswer{Instances: s.instances.list(now, now)})
}

func (s *Server) handleSetEntry(c fiber.Ctx) error {
	var entry wire.RegisterRequest
	if !decode(c, &entry) {
		return nil
	}
	s.SetInstance(entry.Instance, time.Duration(entry.TTLMillis)*time.Millisecond)
	return c.SendStatus(fiber.StatusNoContent)
}

func (s *Server) handleRemoveEntry(c fiber.Ctx) error {
	var entry wire.Instance
	if !decode(c, &entry) {
		return nil
	}
	s.instances.remove(entry, time.Now())
	return c.SendStatus(fiber.StatusNoContent)
}
