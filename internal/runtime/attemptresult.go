package runtime

import (
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/upstream"
)

func (o *offer) attemptSlow(backend model.BackendName) {
	o.runtime.post(&event.AttemptSlow{
		At:       o.runtime.clock.now(),
		Request:  o.id,
		Backend:  backend,
		BodyUsed: o.bodyUsed(),
	})
}

// unansweredResult returns the result of an attempt of which nothing was passed on. An answer
// that was cut in its head is no answer: the request may be sent again, or has to be refused.
func unansweredResult(result event.AttemptResult) event.AttemptResult {
	if result == event.AttemptTruncated {
		return event.AttemptBroken
	}
	return result
}

func (o *offer) attemptFinished(backend model.BackendName, result event.AttemptResult, err *upstream.SendError) {
	ev := &event.AttemptFinished{
		At:       o.runtime.clock.now(),
		Request:  o.id,
		Backend:  backend,
		Result:   result,
		BodyUsed: o.bodyUsed(),
	}
	if err != nil {
		ev.OwnLimit = err.Step == upstream.StepLimit
		ev.RetryAfter = err.RetryAfter
		ev.Draining = err.Draining
		ev.Rate, ev.RateNamed = err.Report.Limit, err.Report.HasLimit
	}
	o.setCancel(nil)
	o.attempting = ""
	o.waitingSince = ev.At
	o.runtime.post(ev)
}
