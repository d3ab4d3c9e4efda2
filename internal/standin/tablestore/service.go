package tablestore

import (
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/primrosenotch/primrosenotch/internal/platform/wire"
)

// routes registers the endpoints of the platform's services.
func (s *Server) routes() {
	s.app.Post(wire.PathGet, s.withFaults(ServiceTable, read, s.handleGet))
	s.app.Post(wire.PathScan, s.withFaults(ServiceTable, read, s.handleScan))
	s.app.Post(wire.PathCommit, s.withFaults(ServiceTable, write, s.handleCommit))
	s.app.Get(wire.PathObject, s.withFaults(ServiceObjects, read, s.handleGetObject))
	s.app.Put(wire.PathObject, s.withFaults(ServiceObjects, write, s.handlePutObject))
	s.app.Get(wire.PathInstances, s.withFaults(ServiceInstances, read, s.handleList))
	s.app.Post(wire.PathInstances, s.withFaults(ServiceInstances, write, s.handleRegister))
}

// withFaults wraps handler with the injection of the current faults.
func (s *Server) withFaults(service Service, kind access, handler fiber.Handler) fiber.Handler {
	return func(c fiber.Ctx) error {
		drawn := s.injector.draw(service, kind)
		if drawn.outage == OutageClosed {
			s.counters.refused.Add(1)
			return dropConnection(c)
		}
		if drawn.outage == OutageError {
			s.counters.refused.Add(1)
			return answerNotApplied(c, fiber.StatusServiceUnavailable, "outage")
		}
		s.pause(drawn.delay)
		if drawn.loseRequest {
			s.counters.lostRequests.Add(1)
			return dropConnection(c)
		}
		if drawn.rateLimited {
			s.counters.refused.Add(1)
			return answerNotApplied(c, fiber.StatusTooManyRequests, "rate limit reached")
		}
		err := handler(c)
		if drawn.loseReply {
			s.counters.lostReplies.Add(1)
			return dropConnection(c)
		}
		return err
	}
}

// pause waits for d, or until the server closes.
func (s *Server) pause(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.closing:
	}
}

// dropConnection closes the connection of a call without an answer.
func dropConnection(c fiber.Ctx) error {
	_ = c.RequestCtx().Conn().Close()
	return nil
}

// answerNotApplied answers a call that had no effect with status and reason.
func answerNotApplied(c fiber.Ctx, status int, reason string) error {
	c.Set(wire.HeaderNotApplied, wire.MarkerTrue)
	return c.Status(status).SendString(reason)
}

// decode parses the JSON body of a call. If the body is malformed, it answers 400 and returns
// false.
func decode(c fiber.Ctx, into any) bool {
	if err := c.Bind().JSON(into); err != nil {
		_ = answerNotApplied(c, fiber.StatusBadRequest, err.Error())
		return false
	}
	return true
}

func (s *Server) handleGet(c fiber.Ctx) error {
	var request wire.GetRequest
	if !decode(c, &request) {
		return nil
	}
	s.counters.gets.Add(1)
	return c.JSON(wire.RowsAnswer{Rows: s.table.get(request.Keys)})
}

func (s *Server) handleScan(c fiber.Ctx) error {
	var request wire.ScanRequest
	if !decode(c, &request) {
		return nil
	}
	s.counters.scans.Add(1)
	return c.JSON(wire.RowsAnswer{Rows: s.table.scan(request.Prefix, request.Limit)})
}

func (s *Server) handleCommit(c fiber.Ctx) error {
	var request wire.CommitRequest
	if !decode(c, &request) {
		return nil
	}
	version, conflict := s.table.commit(&request)
	if conflict != nil {
		s.counters.conflicts.Add(1)
		return c.Status(fiber.StatusConflict).JSON(conflict)
	}
	s.counters.commits.Add(1)
	return c.JSON(wire.CommitAnswer{Version: version})
}

func (s *Server) handleGetObject(c fiber.Ctx) error {
	s.counters.objectGets.Add(1)
	data, ok := s.objects.get(c.Query(wire.ObjectNameParam))
	if !ok {
		c.Set(wire.HeaderNotFound, wire.MarkerTrue)
		return c.SendStatus(fiber.StatusNotFound)
	}
	return c.Send(data)
}

func (s *Server) handlePutObject(c fiber.Ctx) error {
	name := c.Query(wire.ObjectNameParam)
	if name == "" {
		return answerNotApplied(c, fiber.StatusBadRequest, "object name is missing")
	}
	s.objects.put(name, c.Body())
	s.counters.objectPuts.Add(1)
	return c.SendStatus(fiber.StatusNoContent)
}

func (s *Server) handleList(c fiber.Ctx) error {
	s.counters.lists.Add(1)
	now := time.Now()
	at := now.Add(-s.injector.get().ListLag())
	return c.JSON(wire.InstancesAnswer{Instances: s.instances.list(at, now)})
}

func (s *Server) handleRegister(c fiber.Ctx) error {
	var request wire.RegisterRequest
	if !decode(c, &request) {
		return nil
	}
	ttl := time.Duration(request.TTLMillis) * time.Millisecond
	if ttl <= 0 || request.Instance.ID == "" {
		return answerNotApplied(c, fiber.StatusBadRequest, "a registration needs an id and a positive ttl_ms")
	}
	s.instances.set(request.Instance, ttl, time.Now())
	s.counters.registers.Add(1)
	return c.SendStatus(fiber.StatusNoContent)
}
