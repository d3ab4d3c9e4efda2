package platform

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// policy sends the calls of one service with a timeout for each attempt, a circuit
// breaker, and retries with jittered exponential back-off. Only attempts that had no
// effect are retried.
type policy struct {
	settings  Settings
	transport *transport
	breaker   *breaker

	attempts         atomic.Int64
	failures         atomic.Int64
	retries          atomic.Int64
	refusedByBreaker atomic.Int64
}

func newPolicy(settings Settings) *policy {
	return &policy{
		settings:  settings,
		transport: newTransport(settings),
		breaker:   newBreaker(settings.Breaker),
	}
}

func (p *policy) close() { p.transport.close() }

func (p *policy) stats(service Service) ServiceStats {
	return ServiceStats{
		Service:          service,
		Breaker:          p.breaker.State(),
		Attempts:         p.attempts.Load(),
		Failures:         p.failures.Load(),
		Retries:          p.retries.Load(),
		RefusedByBreaker: p.refusedByBreaker.Load(),
	}
}

// call sends a request until it is answered, an attempt fails with an error that must
// not be retried (see permanentUnlessRetryable) or the time for retries is over. It
// returns the error of the last attempt.
func (p *policy) call(ctx context.Context, req request) (*answer, error) {
	first := true
	var last error
	operation := func() (*answer, error) {
		if !first {
			p.retries.Add(1)
		}
		first = false
		got, err := p.attempt(ctx, req)
		last = err
		return got, permanentUnlessRetryable(err)
	}
	got, err := backoff.Retry(
		ctx,
		operation,
		backoff.WithBackOff(p.newBackOff()),
		backoff.WithMaxElapsedTime(p.settings.Retry.MaxElapsed),
	)
	if err != nil {
		return nil, last
	}
	return got, nil
}

func (p *policy) newBackOff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = p.settings.Retry.InitialInterval
	b.MaxInterval = p.settings.Retry.MaxInterval
	return b
}

// permanentUnlessRetryable marks err as permanent, which prevents a retry, if the
// attempt may have had an effect, was rejected, or was ended by the circuit breaker or
// the caller's context.
func permanentUnlessRetryable(err error) error {
	var unavailable *UnavailableError
	switch {
	case err == nil:
		return nil
	case !errors.As(err, &unavailable):
		return backoff.Permanent(err)
	case errors.Is(err, ErrBreakerOpen), errors.Is(err, ErrRejected):
		return backoff.Permanent(err)
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return backoff.Permanent(err)
	default:
		return err
	}
}

// attempt sends a request once.
func (p *policy) attempt(ctx context.Context, req request) (*answer, error) {
	if err := ctx.Err(); err != nil {
		return nil, p.transport.unavailableError(req, err)
	}
	if !p.breaker.allow() {
		p.refusedByBreaker.Add(1)
		return nil, p.transport.unavailableError(req, ErrBreakerOpen)
	}
	p.attempts.Add(1)
	got, err := p.transport.send(req, p.deadline(ctx))
	p.breaker.record(serviceWorks(err))
	if err != nil {
		p.failures.Add(1)
	}
	return got, err
}

// deadline returns the time at which an attempt that starts now must end.
func (p *policy) deadline(ctx context.Context) time.Time {
	deadline := time.Now().Add(p.settings.AttemptTimeout)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		return ctxDeadline
	}
	return deadline
}

// serviceWorks reports whether the result of an attempt shows that the service is
// working. Throttled and rejected calls count as working.
func serviceWorks(err error) bool {
	return err == nil || errors.Is(err, ErrThrottled) || errors.Is(err, ErrRejected)
}
