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
	// servedLines bounds the lines a second about requests that were served.
	servedLines = 100
	// failedLines bounds the lines a second about anything else of requests; they do
	// not share the bound of those that were served.
	failedLines = 400
)

// requestLog writes one line for each decision about a request, within a bound.
type requestLog struct {
	log     *logrus.Entry
	metrics *metrics
	served  *rate.Limiter
	failed  *rate.Limiter
}

func newRequestLog(log *logrus.Entry, m *metrics) *requestLog {
	return &requestLog{
		log:     log,
		metrics: m,
		served:  rate.NewLimiter(servedLines, servedLines),
		failed:  rate.NewLimiter(failedLines, failedLines),
	}
}

func (l *requestLog) line(limit *rate.Limiter, x *ingress.Exchange, fields logrus.Fields, message string) {
	if !limit.Allow() {
		l.metrics.unlogged.Inc()
		return
	}
	fields["request"] = x.Trace
	l.log.WithFields(fields).Info(message)
}

// answered tells of an answer that was passed on, and why its server was chosen.
func (l *requestLog) answered(x *ingress.Exchange, f *dispatch.Send, status int, took time.Duration) {
	fields := why(f)
	fields["status"] = status
	fields["took_ms"] = took.Milliseconds()
	limit := l.served
	if status >= 500 {
		limit = l.failed
	}
	l.line(limit, x, fields, "answered")
}

// attemptFailed tells of a send that got no answer to pass on.
func (l *requestLog) attemptFailed(x *ingress.Exchange, f *dispatch.Send, failed *upstream.SendError, took time.Duration) {
	fields := why(f)
	fields["step"] = failed.Step
	fields["peer"] = failed.Peer.String()
	fields["sent"] = failed.Sent
	fields["error"] = failed.Err.Error()
	fields["took_ms"] = took.Milliseconds()
	l.line(l.failed, x, fields, "attempt failed")
}

// cut tells of an answer that broke off.
func (l *requestLog) cut(x *ingress.Exchange, f *dispatch.Send, err error) {
	fields := why(f)
	fields["error"] = err.Error()
	l.line(l.failed, x, fields, "answer broke off")
}

// refused tells why a request got no answer.
func (l *requestLog) refused(x *ingress.Exchange, f *dispatch.Refuse) {
	l.line(l.failed, x, logrus.Fields{
		"outcome":        f.Outcome,
		"cause":          f.Cause,
		"route":          f.Route,
		"configuration":  f.Configuration,
		"retry_after_ms": f.RetryAfter.Milliseconds(),
		"status_not_run": f.Outcome == model.NotRun,
	}, "refused")
}

// why are the inputs that decided where a request was sent.
func why(f *dispatch.Send) logrus.Fields {
	return logrus.Fields{
		"server":        f.Server.ID,
		"zone":          f.Server.Zone,
		"route":         f.Why.Route,
		"attempt":       f.Attempt,
		"left_ms":       f.Left.Milliseconds(),
		"configuration": f.Why.Configuration,
		"object":        strconv.FormatUint(f.Why.Object, 16),
		"knows_object":  f.Why.Knew,
		"moved":         f.Why.Moved,
		"load":          int(f.Why.Load),
		"load_age_ms":   f.Why.LoadAge.Milliseconds(),
	}
}
