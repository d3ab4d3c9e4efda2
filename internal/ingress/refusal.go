package ingress

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/httpheader"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/valyala/fasthttp"
)

// Refusal is the JSON body of a refusal.
type Refusal struct {
	Outcome   model.Outcome `json:"outcome"`
	Cause     model.Cause   `json:"cause"`
	RequestID string        `json:"request_id"`
	Message   string        `json:"message"`
}

// Refuse answers the caller that its request was not served: NotRun promises
// that it did not run, Unknown says that it may have. retryAfter is 0 for no
// hint.
func (x *Exchange) Refuse(outcome model.Outcome, cause model.Cause, retryAfter time.Duration) error {
	if x.answered {
		return ErrAnswered
	}
	x.answered = true
	x.server.writeRefusal(&x.ctx.Response, x.Trace, outcome, cause, retryAfter)
	return nil
}

func (s *Server) writeRefusal(resp *fasthttp.Response, trace string, outcome model.Outcome, cause model.Cause, retryAfter time.Duration) {
	resp.SetStatusCode(statusOf(outcome, cause))
	resp.Header.SetContentType("application/json")
	dialect := s.settings.Dialect
	resp.Header.Set(dialect.RequestID, trace)
	setNamed(resp, dialect.Outcome, outcome.String())
	setNamed(resp, dialect.Cause, string(cause))
	if retryAfter > 0 {
		resp.Header.Set(httpheader.RetryAfter, s.formatRetryAfter(retryAfter))
	}
	resp.SetBodyRaw(refusalBody(trace, outcome, cause))
}

func refusalBody(trace string, outcome model.Outcome, cause model.Cause) []byte {
	// Marshalling cannot fail: every field is text.
	body, _ := json.Marshal(Refusal{
		Outcome:   outcome,
		Cause:     cause,
		RequestID: trace,
		Message:   messageOf(outcome, cause),
	})
	return append(body, '\n')
}

func messageOf(outcome model.Outcome, cause model.Cause) string {
	if outcome == model.NotRun {
		return fmt.Sprintf("the request was not run: %s", cause)
	}
	return fmt.Sprintf("the request may or may not have run: %s", cause)
}

// setNamed sets a field unless the dialect has no name for it.
func setNamed(resp *fasthttp.Response, name, value string) {
	if name != "" {
		resp.Header.Set(name, value)
	}
}

func (s *Server) formatRetryAfter(d time.Duration) string {
	if s.settings.FractionalRetryAfter {
		return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(wholeSeconds(d), 10)
}

// wholeSeconds rounds up, as the standard's Retry-After has no fractions.
func wholeSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

// statusOf returns the HTTP status code of a refusal.
func statusOf(outcome model.Outcome, cause model.Cause) int {
	if outcome != model.NotRun {
		return unknownStatus(cause)
	}
	switch cause {
	case model.CauseNoRoute:
		return fasthttp.StatusNotFound
	case model.CauseInvalidRequest, model.CauseKeyMissing:
		return fasthttp.StatusBadRequest
	case model.CauseDigestMismatch:
		return fasthttp.StatusUnprocessableEntity
	case model.CauseInProgress, model.CauseCancelled:
		return fasthttp.StatusConflict
	case model.CauseQueueFull:
		return fasthttp.StatusTooManyRequests
	case model.CauseDeadline:
		return fasthttp.StatusGatewayTimeout
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

func unknownStatus(cause model.Cause) int {
	switch cause {
	case model.CauseTimeout, model.CauseDeadline:
		return fasthttp.StatusGatewayTimeout
	case model.CauseInProgress:
		return fasthttp.StatusConflict
	default:
		return fasthttp.StatusBadGateway
	}
}
