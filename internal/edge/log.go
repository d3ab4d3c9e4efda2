package edge

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/primrosenotch/primrosenotch/internal/dispatch"
	"github.com/primrosenotch/primrosenotch/internal/ingress"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/upstream"
)

const (
	// maxServedLines limits the log lines per second for served requests.
	maxServedLines = 100
	// maxFailureLines limits the log lines per second for all other request events. It
	// is separate from maxServedLines, so that served requests do not use it up.
	maxFailureLines = 400
)

// requestLog writes one log line for each decision about a request, up to a rate limit.
type requestLog struct {
	log            *logrus.Entry
	metrics        *metrics
	stopping       func() bool // reports whether the instance has been told to stop
	servedLimiter  *rate.Limiter
	failureLimiter *rate.Limiter
}

func newRequestLog(log *logrus.Entry, m *metrics, stopping func() bool) *requestLog {
	return &requestLog{
		log:            log,
		metrics:        m,
		stopping:       stopping,
		servedLimiter:  rate.NewLimiter(maxServedLines, maxServedLines),
		failureLimiter: rate.NewLimiter(maxFailureLines, maxFailureLines),
	}
}

func (l *requestLog) write(limit *rate.Limiter, x *ingress.Exchange, fields logrus.Fields, message string) {
	if !limit.Allow() {
		l.metrics.unlogged.Inc()
		return
	}
	fields["request"] = x.TraceID
	l.log.WithFields(fields).Info(message)
}

// answered logs a response whose forwarding has ended, complete or not, and why its
// backend server was chosen.
func (l *requestLog) answered(x *ingress.Exchange, f *dispatch.Send, status int, elapsed time.Duration) {
	fields := decisionFields(f)
	fields["status"] = status
	fields["took_ms"] = elapsed.Milliseconds()
	limit := l.servedLimiter
	if status >= 500 {
		limit = l.failureLimiter
	}
	l.write(limit, x, fields, "answered")
}

// attemptFailed logs an attempt that returned no response to forward.
func (l *requestLog) attemptFailed(x *ingress.Exchange, f *dispatch.Send, failed *upstream.SendError, elapsed time.Duration) {
	fields := decisionFields(f)
	fields["step"] = failed.Step
	fields["peer"] = failed.Peer.String()
	fields["sent"] = failed.Sent
	fields["error"] = failed.Err.Error()
	fields["took_ms"] = elapsed.Milliseconds()
	l.write(l.failureLimiter, x, fields, "attempt failed")
}

// hedged logs an attempt that is made while an earlier one is running.
func (l *requestLog) hedged(x *ingress.Exchange, f *dispatch.Send) {
	fields := decisionFields(f)
	fields["why"] = "the server of the running attempt accepted no connection for its health check"
	l.write(l.failureLimiter, x, fields, "second attempt")
}

// truncated logs a response that broke off before any of it was forwarded.
func (l *requestLog) truncated(x *ingress.Exchange, f *dispatch.Send, err error) {
	fields := decisionFields(f)
	fields["error"] = err.Error()
	l.write(l.failureLimiter, x, fields, "answer broke off")
}

// refused logs why a request was refused.
func (l *requestLog) refused(x *ingress.Exchange, f *dispatch.Refuse) {
	l.write(l.failureLimiter, x, logrus.Fields{
		"outcome":        f.Outcome,
		"cause":          f.Cause,
		"route":          f.Route,
		"configuration":  f.Configuration,
		"retry_after_ms": f.RetryAfter.Milliseconds(),
		"status_not_run": f.Outcome == model.NotRun,
		"stopping":       l.stopping(),
	}, "refused")
}

// decisionFields returns the inputs to the choice of the backend server.
func decisionFields(f *dispatch.Send) logrus.Fields {
	return logrus.Fields{
		"server":        f.Server.ID,
		"zone":          f.Server.Zone,
		"route":         f.Decision.Route,
		"attempt":       f.Attempt,
		"left_ms":       f.TimeLeft.Milliseconds(),
		"configuration": f.Decision.Configuration,
		"object":        strconv.FormatUint(f.Decision.Object, 16),
		"knows_object":  f.Decision.ObjectKnown,
		"moved":         f.Decision.Moved,
		"load":          int(f.Decision.Load),
		"load_age_ms":   f.Decision.LoadAge.Milliseconds(),
	}
}
