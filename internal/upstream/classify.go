package upstream

import (
	"context"
	"errors"
	"fmt"

	"github.com/primrosenotch/primrosenotch/internal/event"
)

// newSendError returns the error of an attempt without a response. cn is nil if there
// was no connection.
func newSendError(ctx context.Context, a *Attempt, cn *conn, step Step, err error) *SendError {
	if cause := context.Cause(ctx); cause != nil {
		err = fmt.Errorf("%w (%w)", cause, err)
	}
	e := &SendError{Step: step, Backend: a.Backend, Peer: a.Address, Err: err}
	e.Sent = cn != nil && cn.written.Load() > 0
	e.Result = classify(ctx, cn, step, err, e.Sent)
	return e
}

// classify returns how an attempt ended. It returns event.AttemptNotSent only if no byte
// of the request was written.
func classify(ctx context.Context, cn *conn, step Step, err error, sent bool) event.AttemptResult {
	switch {
	case errors.Is(ctx.Err(), context.Canceled), step == StepReadBody:
		return event.AttemptCancelled
	case !sent:
		return event.AttemptNotSent
	case ctx.Err() != nil, errors.Is(err, ErrNoProgress):
		return event.AttemptTimeout
	case cn.received.Load() > 0:
		return event.AttemptTruncated
	case cn.requests > 1:
		return event.AttemptStaleBroken
	default:
		return event.AttemptBroken
	}
}
