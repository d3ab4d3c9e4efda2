package upstream

import (
	"strconv"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/httpheader"
	"github.com/valyala/fasthttp"
)

// writeHeader fills the header of the request that goes to the backend server.
func writeHeader(req *fasthttp.Request, a *Attempt) {
	h := &req.Header
	h.SetNoDefaultContentType(true)
	h.SetMethod(a.Method)
	h.SetRequestURIBytes(a.URI)
	h.SetHost(hostOf(a))
	for _, f := range a.Header {
		if httpheader.IsHopByHop(f.Name) || setByClient(f.Name) {
			continue
		}
		h.Add(f.Name, f.Value)
	}
	h.Add(httpheader.Via, httpheader.ViaValue)
	setIfAny(h, httpheader.RequestID, a.Trace)
	setIfAny(h, httpheader.IdempotencyKey, a.IdempotencyKey)
	if a.DeadlineLeft > 0 {
		h.Set(httpheader.DeadlineMillis, strconv.FormatInt(deadlineMillis(a.DeadlineLeft), 10))
	}
}

// setByClient reports whether the client sets a field from the attempt itself.
func setByClient(name string) bool {
	switch name {
	case fasthttp.HeaderHost, httpheader.RequestID, httpheader.IdempotencyKey, httpheader.DeadlineMillis:
		return true
	default:
		return false
	}
}

func hostOf(a *Attempt) string {
	if host := a.Header.Get(fasthttp.HeaderHost); host != "" {
		return host
	}
	return a.Address.String()
}

func setIfAny(h *fasthttp.RequestHeader, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// deadlineMillis rounds down, but never to the 0 that would mean none is left.
func deadlineMillis(left time.Duration) int64 {
	return max(left.Milliseconds(), 1)
}
