package upstream

import (
	"strconv"
	"strings"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/httpheader"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/valyala/fasthttp"
)

// readReport reads a backend server's report from a response's header. It leaves out
// fields that cannot be parsed.
func readReport(d *httpheader.Dialect, resp *fasthttp.Response) Report {
	var r Report
	if d.ServerID != "" {
		r.Server = model.BackendName(resp.Header.Peek(d.ServerID))
	}
	if d.ServerLoad != "" {
		r.Load, r.HasLoad = parseLoad(string(resp.Header.Peek(d.ServerLoad)))
	}
	if d.ColdMillis != "" {
		ms, err := strconv.ParseInt(string(resp.Header.Peek(d.ColdMillis)), 10, 32)
		if err == nil && ms >= 0 {
			r.ColdLeft, r.HasCold = time.Duration(ms)*time.Millisecond, true
		}
	}
	return r
}

// parseLoad parses "running,waiting,slots".
func parseLoad(text string) (Load, bool) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return Load{}, false
	}
	var n [3]int
	for i, part := range parts {
		v, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || v < 0 {
			return Load{}, false
		}
		n[i] = v
	}
	return Load{Running: n[0], Waiting: n[1], Slots: n[2]}, true
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
