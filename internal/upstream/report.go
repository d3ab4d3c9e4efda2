package upstream

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/httpheader"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/valyala/fasthttp"
)

// maxColdLeft is the longest remaining cold time that is accepted.
const maxColdLeft = time.Hour

var errColdMillis = fmt.Errorf("want milliseconds between 0 and %d", maxColdLeft.Milliseconds())

// readReport reads a backend server's report from a response's header. Fields that
// cannot be parsed are left out and joined in Report.Invalid.
func readReport(d *httpheader.Dialect, resp *fasthttp.Response) Report {
	var r Report
	if d.ServerID != "" {
		r.Server = model.BackendName(resp.Header.Peek(d.ServerID))
	}
	if value := field(resp, d.ServerLoad); value != "" {
		load, err := d.ParseServerLoad(value)
		r.Load, r.HasLoad = load, err == nil
		r.noteInvalid(d.ServerLoad, value, err)
	}
	if value := field(resp, d.ColdMillis); value != "" {
		left, err := parseColdMillis(value)
		r.ColdLeft, r.HasCold = left, err == nil
		r.noteInvalid(d.ColdMillis, value, err)
	}
	if values := resp.Header.PeekAll(d.ServerLimit); d.ServerLimit != "" && len(values) > 0 {
		r.readLimit(d.ServerLimit, values)
	}
	if refuses(resp.StatusCode()) {
		r.readRetryAfter(resp.Header.PeekAll(httpheader.RetryAfter))
	}
	return r
}

// refuses reports whether a status says that the server takes no request at the moment.
func refuses(status int) bool {
	return status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests
}

// readRetryAfter reads for how long a server wants nothing. Of several values the longest
// holds.
func (r *Report) readRetryAfter(values [][]byte) {
	for _, value := range values {
		after, err := parseRetryAfter(string(value))
		r.noteInvalid(httpheader.RetryAfter, string(value), err)
		r.RetryAfter = max(r.RetryAfter, after)
	}
}

var errRetryAfter = fmt.Errorf("want seconds between 0 and %g", maxRetryAfter.Seconds())

// parseRetryAfter parses Retry-After in seconds. A longer time than maxRetryAfter is an error
// and counts as maxRetryAfter.
func parseRetryAfter(value string) (time.Duration, error) {
	after, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	switch {
	case err != nil && !errors.Is(err, strconv.ErrRange):
		return 0, err
	case !(after >= 0):
		return 0, errRetryAfter
	case after > maxRetryAfter.Seconds():
		return maxRetryAfter, errRetryAfter
	default:
		return time.Duration(after * float64(time.Second)), nil
	}
}

// readLimit reads a server's limit. Of several ones the lowest holds.
func (r *Report) readLimit(name string, values [][]byte) {
	r.LimitNamed = true
	for _, value := range values {
		limit, err := parseLimit(string(value))
		r.noteInvalid(name, string(value), err)
		if err == nil && (!r.HasLimit || limit < r.Limit) {
			r.Limit, r.HasLimit = limit, true
		}
	}
}

var errLimit = errors.New("want requests per second, a decimal that is not negative")

func parseLimit(value string) (float64, error) {
	limit, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	switch {
	case err != nil:
		return 0, err
	case !(limit >= 0) || math.IsInf(limit, 0):
		return 0, errLimit
	default:
		return limit, nil
	}
}

// field returns the value of a header field, or "" if it is missing or has no name.
func field(resp *fasthttp.Response, name string) string {
	if name == "" {
		return ""
	}
	return string(resp.Header.Peek(name))
}

func (r *Report) noteInvalid(name, value string, err error) {
	if err != nil {
		r.Invalid = append(r.Invalid, httpheader.NewFieldError(name, value, err))
	}
}

func parseColdMillis(value string) (time.Duration, error) {
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return 0, err
	}
	if ms < 0 || ms > maxColdLeft.Milliseconds() {
		return 0, errColdMillis
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// keepAliveTimeout returns how long an idle connection may be reused according to the
// server's Keep-Alive field, or 0 if it gives no timeout. The result is keepAliveMargin
// shorter than the server's timeout, so that no request is sent while the server closes
// the connection.
func keepAliveTimeout(resp *fasthttp.Response) time.Duration {
	for option := range strings.SplitSeq(string(resp.Header.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(option), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.ParseUint(value, 10, 16)
		if err != nil {
			return 0
		}
		return max(time.Duration(seconds)*time.Second-keepAliveMargin, minKeepAlive)
	}
	return 0
}

const (
	// keepAliveMargin allows for a round trip between regions and for the inaccuracy
	// of the server's timer.
	keepAliveMargin = 500 * time.Millisecond
	// minKeepAlive allows a connection to be reused right after a response, however
	// short the server's timeout.
	minKeepAlive = 50 * time.Millisecond
)
