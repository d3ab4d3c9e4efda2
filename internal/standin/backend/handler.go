package backend

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
)

// handle routes a request to a status or control endpoint, or else treats it as work.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case PathStatus:
		s.handleStatus(ctx)
	case PathRuns:
		answerJSON(ctx, s.Runs())
	case PathFaults:
		s.handleFaults(ctx)
	case PathCold:
		s.handleAction(ctx, s.RestartColdStart)
	case PathCrash:
		s.handleAction(ctx, func() { s.Crash(s.downtime(ctx)) })
	case PathSilence:
		s.handleAction(ctx, func() { s.silenceExcept(connOf(ctx)) })
	default:
		s.handleWork(ctx)
	}
}

func connOf(ctx *fasthttp.RequestCtx) *conn {
	c, _ := ctx.Conn().(*conn)
	return c
}

func answerJSON(ctx *fasthttp.RequestCtx, message any) {
	body, err := json.Marshal(message)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func (s *Server) handleStatus(ctx *fasthttp.RequestCtx) {
	faults := s.Faults()
	switch {
	case faults.StatusDown:
		_ = connOf(ctx).Close()
	case faults.StatusLie != nil:
		answerJSON(ctx, faults.StatusLie)
	default:
		answerJSON(ctx, s.statuses.report(time.Now(), s.Status))
	}
}

func (s *Server) handleFaults(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		answerJSON(ctx, s.Faults())
		return
	}
	if !ctx.IsPut() {
		ctx.Error("method not allowed: use GET to read the faults or PUT to replace them", fasthttp.StatusMethodNotAllowed)
		return
	}
	var faults Faults
	if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	answerJSON(ctx, s.Faults())
}

func (s *Server) handleAction(ctx *fasthttp.RequestCtx, action func()) {
	if !ctx.IsPost() {
		ctx.Error("method not allowed: use POST", fasthttp.StatusMethodNotAllowed)
		return
	}
	action()
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// downtime returns the downtime of a crash requested at PathCrash.
func (s *Server) downtime(ctx *fasthttp.RequestCtx) time.Duration {
	millis, err := ctx.QueryArgs().GetUint("downtime_ms")
	if err != nil {
		return s.config.CrashDowntime
	}
	return time.Duration(millis) * time.Millisecond
}
