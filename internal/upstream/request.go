package upstream

import (
	"strconv"
	"strings"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/httpheader"
	"github.com/valyala/fasthttp"
)

// writeHeader sets the header of the request to the backend server.
func (c *Client) writeHeader(req *fasthttp.Request, a *Attempt) {
	d := c.settings.Dialect
	h := &req.Header
	h.SetNoDefaultContentType(true)
	h.SetMethod(a.Method)
	h.SetRequestURIBytes(a.URI)
	h.SetHost(hostOf(a))
	for _, f := range a.Header {
		if httpheader.IsHopByHop(f.Name) || setByClient(d, f.Name) || a.KeyChecked && isIdentity(d, f.Name) {
			continue
		}
		h.Add(f.Name, f.Value)
	}
	if d.Via != "" {
		h.Add(d.Via, httpheader.ViaValue)
	}
	setIfNotEmpty(h, d.RequestID, a.TraceID)
	setIfNotEmpty(h, d.IdempotencyKey, a.IdempotencyKey)
	setIfNotEmpty(h, d.ExpectServer, string(a.ExpectServer))
	if a.KeyChecked {
		setIfNotEmpty(h, d.Organisation, string(a.Organisation))
	}
	if a.DeadlineLeft > 0 {
		h.Set(d.DeadlineMillis, strconv.FormatInt(deadlineMillis(a.DeadlineLeft), 10))
	}
}

// setByClient reports whether the client itself sets a header field, so that the
// attempt's field of this name is not forwarded.
func setByClient(d *httpheader.Dialect, name string) bool {
	for _, reserved := range [...]string{fasthttp.HeaderHost, d.RequestID, d.IdempotencyKey, d.DeadlineMillis, d.ExpectServer} {
		if reserved != "" && strings.EqualFold(reserved, name) {
			return true
		}
	}
	return false
}

// isIdentity reports whether a header field holds the caller's key or the name of its
// organisation.
func isIdentity(d *httpheader.Dialect, name string) bool {
	return strings.EqualFold(fasthttp.HeaderAuthorization, name) || d.Organisation != "" && strings.EqualFold(d.Organisation, name)
}

func hostOf(a *Attempt) string {
	if host := a.Header.Get(fasthttp.HeaderHost); host != "" {
		return host
	}
	return a.Address.String()
}

func setIfNotEmpty(h *fasthttp.RequestHeader, name, value string) {
	if name != "" && value != "" {
		h.Set(name, value)
	}
}

// deadlineMillis rounds down to whole milliseconds, but returns at least 1, since 0 means
// that no time is left.
func deadlineMillis(left time.Duration) int64 {
	return max(left.Milliseconds(), 1)
}
