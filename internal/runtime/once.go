package runtime

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/primrosenotch/primrosenotch/internal/contain"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/httpheader"
	"github.com/primrosenotch/primrosenotch/internal/journal"
	"github.com/primrosenotch/primrosenotch/internal/ledger"
	"github.com/primrosenotch/primrosenotch/internal/link"
	"github.com/primrosenotch/primrosenotch/internal/link/linkpb"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/upstream"
)

const (
	// cancelOnceTimeout bounds the cancellation of a once request whose owner was lost.
	cancelOnceTimeout = 3 * time.Second
	// storeTimeout bounds the retries of storing an answer or releasing a claim
	// after the caller has been answered.
	storeTimeout = 60 * time.Second
	// releaseTimeout bounds the wait for a release before the caller is answered.
	releaseTimeout = 2 * time.Second
	// maxStoredAnswer is the largest answer body in bytes that is stored for repeated
	// requests.
	maxStoredAnswer = 4 << 20
)

func ledgerAttempt(m *model.RequestMeta, id string) ledger.Attempt {
	return ledger.Attempt{
		ID:      id,
		Request: m.GlobalID,
		Key:     ledger.Key{Service: m.Service, Caller: m.IdempotencyKey},
		Digest:  m.Digest,
		Rank:    m.Rank,
	}
}

// claimAttempt returns the ledger attempt of this offer. Its ID is unique to the
// offer: another offer of the same request has a different one, even to the same
// owner.
func (o *offer) claimAttempt() ledger.Attempt {
	return ledgerAttempt(&o.meta, fmt.Sprintf("%s/%d", o.runtime.idPrefix, o.id))
}

func (o *offer) claim() {
	o.claiming = true
	r := o.runtime
	left := o.meta.Deadline.Sub(r.clock.now())
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	result, answer, err := r.ledger.Claim(ctx, o.claimAttempt())
	o.claimed = result == event.ClaimGranted
	if !o.claimed {
		o.recordEntry(errorEntry(journal.StepClaimDenied, ledgerSubject, claimError(result, err)))
	}
	o.stored = answer
	r.metrics.claims.WithLabelValues(claimLabel(result)).Inc()
	r.post(&event.ClaimResolved{At: r.clock.now(), Request: o.id, Result: result})
}

var claimLabels = [...]string{
	event.ClaimGranted:     "granted",
	event.ClaimFinished:    "finished",
	event.ClaimInProgress:  "in-progress",
	event.ClaimCancelled:   "cancelled",
	event.ClaimMismatch:    "mismatch",
	event.ClaimUnavailable: "unavailable",
	event.ClaimUncertain:   "uncertain",
	event.ClaimOverBudget:  "over-budget",
}

// claimError returns the result of a ledger call as an error, which wraps err if
// it is not nil.
func claimError(result event.ClaimResult, err error) error {
	if err == nil {
		return errors.New(claimLabel(result))
	}
	return fmt.Errorf("%s: %w", claimLabel(result), err)
}

func claimLabel(r event.ClaimResult) string { return claimLabels[r] }

// release releases the claim. The refusal is sent only after the first try, so that
// the caller's next request can claim the key. Further tries run in the background
// after the refusal.
func (o *offer) release() {
	a := o.claimAttempt()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := o.runtime.ledger.Release(ctx, a); err == nil {
		return
	}
	o.runtime.retryWrite("release claim", o.meta.TraceID, func(ctx context.Context) error {
		return o.runtime.ledger.Release(ctx, a)
	})
}

// store saves the answer to a finished once request for repeated requests.
func (o *offer) store(a *upstream.Response, captured *captureBuffer) {
	if captured.overflow {
		o.recordEntry(errorEntry(journal.StepAnswerNotStored, ledgerSubject, errAnswerTooLarge))
		return
	}
	answer := &ledger.Answer{Status: a.Status, Body: captured.buffer.Bytes()}
	for _, h := range a.Header {
		answer.Headers = append(answer.Headers, ledger.Header{Name: h.Name, Value: []byte(h.Value)})
	}
	attempt := o.claimAttempt()
	o.runtime.retryWrite("store answer", o.meta.TraceID, func(ctx context.Context) error {
		return o.runtime.ledger.Finish(ctx, attempt, answer)
	})
}

// retryWrite retries a ledger write in the background until it succeeds or
// storeTimeout has passed. Shutdown waits for it.
func (r *Runtime) retryWrite(step, trace string, write func(context.Context) error) {
	r.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		try := func() (struct{}, error) {
			var err error
			if !r.panics.Do(contain.Ledger, func() { err = write(ctx) }) {
				err = backoff.Permanent(errPanic) // it would panic again
			}
			return struct{}{}, err
		}
		_, err := backoff.Retry(ctx, try, backoff.WithBackOff(backoff.NewExponentialBackOff()))
		if err != nil {
			r.log.WithError(err).WithField("request", trace).WithField("step", step).Error("ledger write failed after retries")
		}
	})
}

// replay answers a repeated request with the stored answer.
func (o *offer) replay() {
	o.recordEntry(journal.RequestEntry{Step: journal.StepReplayed, Subject: ledgerSubject})
	head := &linkpb.Answer{
		Status:    uint32(o.stored.Status),
		BodyBytes: int64(len(o.stored.Body)),
		Replayed:  true,
	}
	for _, h := range o.stored.Headers {
		head.Headers = append(head.Headers, &linkpb.Header{Name: h.Name, Value: h.Value})
	}
	if o.conn.Send(&linkpb.Frame{Body: &linkpb.Frame_Answer{Answer: head}}) != nil {
		return
	}
	_, _, _ = link.SendBody(o.conn, newMemoryBody(o.stored.Body), int64(len(o.stored.Body)), model.CauseAnswerIncomplete)
}

func toFrameHeaders(list httpheader.List) []*linkpb.Header {
	out := make([]*linkpb.Header, 0, len(list))
	for _, f := range list {
		out = append(out, &linkpb.Header{Name: f.Name, Value: []byte(f.Value)})
	}
	return out
}

func fromFrameHeaders(headers []*linkpb.Header) httpheader.List {
	out := make(httpheader.List, 0, len(headers)+2)
	for _, h := range headers {
		out = append(out, httpheader.Field{Name: h.GetName(), Value: string(h.GetValue())})
	}
	return out
}
