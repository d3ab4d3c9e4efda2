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

// Refuse tells the caller that its request was not served. NotRun guarantees that the
// request did not run, Unknown means that it may have. retryAfter is 0 for no hint. It
// returns ErrAlreadyResponded if the exchange already has a response.
func (x *Exchange) Refuse(outcome model.Outcome, cause model.Cause, retryAfter time.Duration) error {
	if x.responded {
		return ErrAlreadyResponded
	}
	x.responded = true
	x.server.writeRefusal(&x.ctx.Response, x.TraceID, outcome, cause, retryAfter)
	return nil
}

// writeRefusal sets resp to a refusal.
func (s *Server) writeRefusal(resp *fasthttp.Response, requestID string, outcome model.Outcome, cause model.Cause, retryAfter time.Duration) {
	resp.SetStatusCode(refusalStatus(outcome, cause))
	resp.Header.SetContentType("application/json")
	dialect := s.settings.Dialect
	resp.Header.Set(dialect.RequestID, requestID)
	setHeader(resp, dialect.Outcome, outcome.String())
	setHeader(resp, dialect.Cause, string(cause))
	if retryAfter > 0 {
		resp.Header.Set(httpheader.RetryAfter, s.formatRetryAfter(retryAfter))
	}
	if resp.StatusCode() == fasthttp.StatusUnauthorized {
		resp.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer") // required by RFC 9110, section 11.6.1
	}
	resp.SetBodyRaw(refusalBody(requestID, outcome, cause))
}

func refusalBody(requestID string, outcome model.Outcome, cause model.Cause) []byte {
	// Marshalling cannot fail, as every field is text.
	body, _ := json.Marshal(Refusal{
		Outcome:   outcome,
		Cause:     cause,
		RequestID: requestID,
		Message:   refusalMessage(outcome, cause),
	})
	return append(body, '\n')
}

func refusalMessage(outcome model.Outcome, cause model.Cause) string {
	if outcome == model.NotRun {
		return fmt.Sprintf("the request was not run: %s", cause)
	}
	return fmt.Sprintf("the request may or may not have run: %s", cause)
}

// setHeader sets a header field unless the dialect has no name for it.
func setHeader(resp *fasthttp.Response, name, value string) {
	if name != "" {
		resp.Header.Set(name, value)
	}
}

func (s *Server) formatRetryAfter(d time.Duration) string {
	if s.settings.FractionalRetryAfter {
		return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(ceilSeconds(d), 10)
}

// ceilSeconds rounds up to whole seconds, since the standard allows no fractions in
// Retry-After.
func ceilSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

// refusalStatus returns the HTTP status code of a refusal.
func refusalStatus(outcome model.Outcome, cause model.Cause) int {
	if outcome != model.NotRun {
		return unknownOutcomeStatus(cause)
	}
	switch cause {
	case model.CauseNoRoute:
		return fasthttp.StatusNotFound
	case model.CauseUnauthorized:
		return fasthttp.StatusUnauthorized
	case model.CauseInvalidRequest, model.CauseKeyMissing:
		return fasthttp.StatusBadRequest
	case model.CauseDigestMismatch:
		return fasthttp.StatusUnprocessableEntity
	case model.CauseInProgress, model.CauseCancelled:
		return fasthttp.StatusConflict
	case model.CauseQueueFull, model.CauseOverQuota:
		return fasthttp.StatusTooManyRequests
	case model.CauseDeadline:
		return fasthttp.StatusGatewayTimeout
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

func unknownOutcomeStatus(cause model.Cause) int {
	switch cause {
	case model.CauseTimeout, model.CauseDeadline:
		return fasthttp.StatusGatewayTimeout
	case model.CauseInProgress:
		return fasthttp.StatusConflict
	default:
		return fasthttp.StatusBadGateway
	}
}
