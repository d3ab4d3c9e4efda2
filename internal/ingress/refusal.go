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
	writeRefusal(&x.ctx.Response, x.Trace, outcome, cause, retryAfter)
	return nil
}

func writeRefusal(resp *fasthttp.Response, trace string, outcome model.Outcome, cause model.Cause, retryAfter time.Duration) {
	resp.SetStatusCode(statusOf(outcome, cause))
	resp.Header.SetContentType("application/json")
	resp.Header.Set(httpheader.RequestID, trace)
	resp.Header.Set(httpheader.Outcome, outcome.String())
	resp.Header.Set(httpheader.Cause, string(cause))
	if retryAfter > 0 {
		resp.Header.Set(httpheader.RetryAfter, strconv.FormatInt(wholeSeconds(retryAfter), 10))
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

// wholeSeconds rounds up, as Retry-After has no fractions.
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
