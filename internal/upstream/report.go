package upstream

import (
	"strconv"
	"strings"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/httpheader"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/valyala/fasthttp"
)

// readReport reads what a backend server says of itself. A field that cannot be
// read is left out.
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

// parseLoad reads "running,waiting,slots".
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

// keepAlive returns how long the server keeps an idle connection open, 0 where it
// does not say. A connection is left alone keepAliveMargin earlier, so that a
// request does not cross the server's close.
func keepAlive(resp *fasthttp.Response) time.Duration {
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
	// keepAliveMargin covers a round trip between regions and the server's timer.
	keepAliveMargin = 500 * time.Millisecond
	// minKeepAlive lets a connection be reused right after an answer.
	minKeepAlive = 50 * time.Millisecond
)
