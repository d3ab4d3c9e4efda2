package upstream

import (
	"context"
	"errors"
	"fmt"

	"github.com/primrosenotch/primrosenotch/internal/event"
)

// failure builds the error of an attempt that got no answer. cn is nil where no
// connection was had.
func failure(ctx context.Context, a *Attempt, cn *conn, step Step, err error) *SendError {
	if cause := ctx.Err(); cause != nil {
		err = fmt.Errorf("%w (%w)", cause, err)
	}
	e := &SendError{Step: step, Backend: a.Backend, Peer: a.Address, Err: err}
	e.Sent = cn != nil && cn.written.Load() > 0
	e.Result = classify(ctx, cn, step, err, e.Sent)
	return e
}

// classify says how an attempt ended. Only an attempt of which no byte was
// written is event.AttemptNotSent.
func classify(ctx context.Context, cn *conn, step Step, err error, sent bool) event.AttemptResult {
	switch {
	case errors.Is(ctx.Err(), context.Canceled), step == StepReadBody:
		return event.AttemptCancelled
	case !sent:
		return event.AttemptNotSent
	case ctx.Err() != nil, errors.Is(err, ErrNoProgress):
		return event.AttemptTimeout
	case cn.received.Load() > 0:
		return event.AttemptCut
	case cn.requests > 1:
		return event.AttemptStaleBroken
	default:
		return event.AttemptBroken
	}
}
