package edge

import (
	"errors"
	"math"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/dispatch"
	"github.com/primrosenotch/primrosenotch/internal/httpresponse"
	"github.com/primrosenotch/primrosenotch/internal/ingress"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/quota"
	"github.com/primrosenotch/primrosenotch/internal/upstream"
)

const (
	// maxServedLines limits the log lines per second for requests served in time.
	maxServedLines = 100
	// maxLateLines limits the log lines per second for responses after the objective.
	maxLateLines = 100
	// maxFailureLines limits the log lines per second for refusals and failures. The limits
	// are separate, so that other lines do not use up that of failures.
	maxFailureLines = 400
	// maxLoggedText is the length in bytes up to which a host, a path or an error is logged.
	maxLoggedText = 200
)

// lineLimit limits the log lines of one class of request events.
type lineLimit struct {
	limiter *rate.Limiter
	skipped atomic.Int64 // since the last line of the class
}

func newLineLimit(perSecond int) *lineLimit {
	return &lineLimit{limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
}

// requestLog writes one log line for each decision about a request, up to a rate limit.
type requestLog struct {
	log     *logrus.Entry
	metrics *metrics
	// configurationAge returns the time since the active configuration was last known to be
	// the latest.
	configurationAge func() time.Duration
	stopping         func() bool // reports whether the instance has been told to stop
	served           *lineLimit
	late             *lineLimit
	failures         *lineLimit
}

func newRequestLog(log *logrus.Entry, m *metrics, configurationAge func() time.Duration, stopping func() bool) *requestLog {
	return &requestLog{
		log:              log,
		metrics:          m,
		configurationAge: configurationAge,
		stopping:         stopping,
		served:           newLineLimit(maxServedLines),
		late:             newLineLimit(maxLateLines),
		failures:         newLineLimit(maxFailureLines),
	}
}

// allow reports whether a line of the class may be written, and counts it if not.
func (l *requestLog) allow(limit *lineLimit) bool {
	if limit.limiter.Allow() {
		return true
	}
	limit.skipped.Add(1)
	l.metrics.unlogged.Inc()
	return false
}

// write writes a line for which allow has returned true.
func (l *requestLog) write(limit *lineLimit, level logrus.Level, x *ingress.Exchange, fields logrus.Fields, message string) {
	fields["request"] = x.TraceID
	fields["host"] = loggedText(x.Host)
	fields["path"] = loggedText(x.Path)
	if x.ReadAhead {
		fields["read_ahead"] = true
	}
	if skipped := limit.skipped.Swap(0); skipped > 0 {
		fields["lines_skipped"] = skipped
	}
	l.log.WithFields(fields).Log(level, message)
}

// answered logs a response whose forwarding has ended, and why its backend server was
// chosen. broken is the error that broke it off, if any.
func (l *requestLog) answered(x *ingress.Exchange, f *dispatch.Send, status int, broken error, elapsed time.Duration) {
	if broken != nil {
		l.truncated(x, f, broken, elapsed)
		return
	}
	late := f.Decision.Objective > 0 && f.Decision.Elapsed+elapsed > f.Decision.Objective
	limit, level := l.served, logrus.InfoLevel
	switch {
	case status >= 500:
		limit, level = l.failures, logrus.WarnLevel
	case late:
		limit = l.late
	}
	if !l.allow(limit) {
		return
	}
	fields := attemptFields(f, elapsed)
	fields["status"] = status
	if late {
		fields["late"] = true
	}
	l.write(limit, level, x, fields, "answered")
}

// attemptFailed logs an attempt that returned no response to forward.
func (l *requestLog) attemptFailed(x *ingress.Exchange, f *dispatch.Send, failed *upstream.SendError, elapsed time.Duration) {
	if !l.allow(l.failures) {
		return
	}
	fields := l.failureFields(f, elapsed)
	fields["step"] = failed.Step
	fields["peer"] = failed.Peer.String()
	fields["sent"] = failed.Sent
	fields["error"] = loggedText(failed.Err.Error())
	l.write(l.failures, logrus.WarnLevel, x, fields, "attempt failed")
}

// hedged logs an attempt that is made while an earlier one is running.
func (l *requestLog) hedged(x *ingress.Exchange, f *dispatch.Send) {
	if !l.allow(l.failures) {
		return
	}
	fields := l.failureFields(f, 0)
	fields["why"] = "the server of the running attempt accepted no connection for its health check"
	l.write(l.failures, logrus.WarnLevel, x, fields, "second attempt")
}

// checkFailed logs a health check that got an invalid response.
func (l *requestLog) checkFailed(server *catalog.Server, err error) {
	if !errors.Is(err, httpresponse.ErrInvalid) || !l.allow(l.failures) {
		return
	}
	l.log.WithFields(logrus.Fields{"server": server.ID, "zone": server.Zone, "error": loggedText(err.Error())}).Warn("health check failed")
}

// notForwarded logs a response that is withheld from the caller because of its status.
func (l *requestLog) notForwarded(x *ingress.Exchange, f *dispatch.Send, status int, elapsed time.Duration) {
	if !l.allow(l.failures) {
		return
	}
	fields := l.failureFields(f, elapsed)
	fields["step"] = upstream.StepStatus
	fields["sent"] = true
	fields["status"] = status
	fields["error"] = "a response with this status would tell the caller that the request did not run"
	l.write(l.failures, logrus.WarnLevel, x, fields, "attempt failed")
}

// truncated logs a response that broke off.
func (l *requestLog) truncated(x *ingress.Exchange, f *dispatch.Send, err error, elapsed time.Duration) {
	if !l.allow(l.failures) {
		return
	}
	fields := l.failureFields(f, elapsed)
	fields["error"] = loggedText(err.Error())
	l.write(l.failures, logrus.WarnLevel, x, fields, "answer broke off")
}

// refused logs a refusal with what it was decided on.
func (l *requestLog) refused(x *ingress.Exchange, f *dispatch.Refuse) {
	if !l.allow(l.failures) {
		return
	}
	fields := logrus.Fields{
		"outcome":        f.Outcome,
		"cause":          f.Cause,
		"route":          f.Route,
		"configuration":  f.Configuration,
		"retry_after_ms": f.RetryAfter.Milliseconds(),
		"stopping":       l.stopping(),
	}
	addOrganisation(fields, f.Organisation)
	l.addConfigurationAge(fields, f.Configuration)
	addInputs(fields, f)
	l.write(l.failures, refusalLevel(f.Cause), x, fields, "refused")
}

// rejected logs a request that was refused before a decision about it.
func (l *requestLog) rejected(r *ingress.Rejection) {
	if !l.allow(l.failures) {
		return
	}
	fields := logrus.Fields{"outcome": model.NotRun, "cause": r.Cause}
	if r.Err != nil {
		fields["error"] = loggedText(r.Err.Error())
	}
	x := &ingress.Exchange{TraceID: r.RequestID, Host: r.Host, Path: r.Path}
	l.write(l.failures, refusalLevel(r.Cause), x, fields, "refused")
}

// refusalLevel returns the level of a refusal: info if the caller or the operator caused
// it, error if this instance can serve none of the service's requests, warning otherwise.
func refusalLevel(cause model.Cause) logrus.Level {
	switch cause {
	case model.CauseNoRoute, model.CauseUnauthorized, model.CauseOverQuota, model.CauseInvalidRequest, model.CauseCallerGone, model.CauseStopping:
		return logrus.InfoLevel
	case model.CauseNoBackend, model.CauseNoConfiguration:
		return logrus.ErrorLevel
	default:
		return logrus.WarnLevel
	}
}

// recordLevel returns the level of a decision about servers or the configuration.
func recordLevel(r *dispatch.Record) logrus.Level {
	if r.Warning {
		return logrus.WarnLevel
	}
	return logrus.InfoLevel
}

// attemptFields returns the inputs to the choice of the backend server, and how long the
// attempt took.
func attemptFields(f *dispatch.Send, elapsed time.Duration) logrus.Fields {
	d := &f.Decision
	fields := logrus.Fields{
		"server":        f.Server.ID,
		"zone":          f.Server.Zone,
		"service":       f.Server.Service,
		"route":         d.Route,
		"attempt":       f.Attempt,
		"left_ms":       f.TimeLeft.Milliseconds(),
		"elapsed_ms":    d.Elapsed.Milliseconds(),
		"objective_ms":  d.Objective.Milliseconds(),
		"configuration": d.Configuration,
		"object":        strconv.FormatUint(d.Object, 16),
		"knows_object":  d.ObjectKnown,
		"moved":         d.Moved,
		"load":          roundLoad(d.Load),
		"load_age_ms":   d.LoadAge.Milliseconds(),
		"slots":         d.Slots,
		"took_ms":       elapsed.Milliseconds(),
	}
	addOrganisation(fields, f.Organisation)
	return fields
}

// addOrganisation adds the sender of a request, if it is known.
func addOrganisation(fields logrus.Fields, name model.OrganisationName) {
	if name != "" {
		fields["organisation"] = name
	}
}

func (l *requestLog) failureFields(f *dispatch.Send, elapsed time.Duration) logrus.Fields {
	fields := attemptFields(f, elapsed)
	l.addConfigurationAge(fields, f.Decision.Configuration)
	return fields
}

// addConfigurationAge adds the age of the configuration, unless there is none.
func (l *requestLog) addConfigurationAge(fields logrus.Fields, version int64) {
	if version > 0 {
		fields["configuration_age_ms"] = l.configurationAge().Milliseconds()
	}
}

// addInputs adds what a refusal was decided on.
func addInputs(fields logrus.Fields, f *dispatch.Refuse) {
	in := f.Inputs
	if in == nil {
		return
	}
	if f.Cause == model.CauseNoRoute {
		fields["host_known"] = in.HostKnown
		return
	}
	fields["service"] = in.Service
	fields["attempts"] = in.Attempts
	fields["max_attempts"] = in.MaxAttempts
	fields["repeatable"] = in.Repeatable
	if st := in.Standing; st != nil {
		fields["standing"] = standingFields(st)
	}
	if in.Quota != nil {
		fields["quota"] = quotaField(in.Quota)
	}
	if c := in.Choice; c != nil {
		fields["servers"] = c.Servers
		fields["ruled_out"] = c.Excluded
		fields["full"] = c.Candidates
		fields["may_move"] = c.MoveAllowed
		fields["candidates"] = candidateFields(c.Fullest)
		if len(c.Limits) > 0 {
			fields["limits"] = limitFields(c.Limits)
		}
	}
}

// standing is the form in which it is logged what a request might claim of a service that is short
// of room.
type standing struct {
	Urgency   int      `json:"urgency"`
	Admitted  int      `json:"admitted"`
	Due       *float64 `json:"due,omitempty"` // absent if all that the organisation asks for
	OverShare bool     `json:"over_share"`
	Early     bool     `json:"early"`
	MaxWaitMS int64    `json:"max_wait_ms"`
	Arrived   int      `json:"arrived"`
	Refused   int      `json:"refused"`
}

func standingFields(st *dispatch.Standing) standing {
	fields := standing{
		Urgency: st.Urgency, Admitted: st.Use.Admitted, OverShare: st.OverShare, Early: st.ComesBackEarly,
		MaxWaitMS: st.MaxWait.Milliseconds(), Arrived: st.Arrived, Refused: st.Refused,
	}
	if !math.IsInf(st.Use.Due, 1) {
		due := roundLoad(st.Use.Due)
		fields.Due = &due
	}
	return fields
}

// candidate is the form in which a full candidate is logged.
type candidate struct {
	Server    model.BackendName   `json:"server"`
	Zone      model.ZoneName      `json:"zone"`
	Reason    dispatch.FullReason `json:"reason"`
	Load      float64             `json:"load"`
	LoadAgeMS int64               `json:"load_age_ms"`
	Slots     int                 `json:"slots"`
	WaitMS    int64               `json:"wait_ms"`
}

func candidateFields(full []dispatch.FullCandidate) []candidate {
	list := make([]candidate, 0, len(full))
	for _, c := range full {
		list = append(list, candidate{
			Server:    c.Server,
			Zone:      c.Zone,
			Reason:    c.Reason,
			Load:      roundLoad(c.Load),
			LoadAgeMS: c.LoadAge.Milliseconds(),
			Slots:     c.Slots,
			WaitMS:    c.Wait.Milliseconds(),
		})
	}
	return list
}

// limitUse is the form in which the use of a server's limit is logged.
type limitUse struct {
	Server   model.BackendName `json:"server"`
	Limit    float64           `json:"limit"`
	Used     int               `json:"used"`
	Share    int               `json:"share"`
	SpanMS   int64             `json:"span_ms"`
	Owned    int               `json:"owned,omitempty"`
	Borrowed int               `json:"borrowed,omitempty"`
	Lent     int               `json:"lent,omitempty"`
}

func limitFields(limits []dispatch.LimitUse) []limitUse {
	list := make([]limitUse, 0, len(limits))
	for _, l := range limits {
		list = append(list, limitUse{
			Server: l.Server, Limit: l.Limit, Used: l.Used, Share: l.Share, SpanMS: l.Span.Milliseconds(),
			Owned: l.Owned, Borrowed: l.Borrowed, Lent: l.Lent,
		})
	}
	return list
}

// quotaUse is the form in which the use of an organisation's limit is logged.
type quotaUse struct {
	Rate        float64          `json:"rate"` // limit over all instances, per second
	Burst       float64          `json:"burst"`
	Coordinator model.InstanceID `json:"coordinator"`
	Demand      float64          `json:"demand"`      // at this instance, per second
	LeaseRate   float64          `json:"lease_rate"`  // 0 without a lease
	LeaseDepth  float64          `json:"lease_depth"` // of its bucket
	Tokens      float64          `json:"tokens"`      // in the bucket
	Reserved    int              `json:"reserved"`    // requests in the window that used the reserve
	Reserve     int              `json:"reserve"`     // requests in the window that may
	Saturated   bool             `json:"saturated,omitempty"`
}

func quotaField(u *quota.Use) quotaUse {
	return quotaUse{
		Rate: u.Limit.Rate, Burst: u.Limit.Burst, Coordinator: u.Coordinator, Demand: roundLoad(u.Demand),
		LeaseRate: roundLoad(u.Rate), LeaseDepth: roundLoad(u.Depth), Tokens: roundLoad(u.Tokens),
		Reserved: u.Reserved, Reserve: u.Reserve, Saturated: u.Saturated,
	}
}

// roundLoad rounds an estimated number of requests to one decimal.
func roundLoad(load float64) float64 { return math.Round(10*load) / 10 }

// loggedText escapes text from outside and cuts it to maxLoggedText bytes.
func loggedText(text string) string {
	cut := ""
	if len(text) > maxLoggedText {
		text, cut = text[:maxLoggedText], "..."
	}
	quoted := strconv.QuoteToASCII(text)
	return quoted[1:len(quoted)-1] + cut
}
