package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/primrosenotch/primrosenotch/internal/httpheader"
)

// TestLimitsOfServersAreReadOrCounted covers what a server may write into the field of its
// limit. What cannot be read is reported and does not end a limit.
func TestLimitsOfServersAreReadOrCounted(t *testing.T) {
	d := &httpheader.Dialect{ServerLimit: "Limit"}
	for _, c := range []struct {
		values  []string
		limit   float64
		known   bool
		invalid int
	}{
		{values: nil},
		{values: []string{"1.6"}, limit: 1.6, known: true},
		{values: []string{" 0 "}, limit: 0, known: true},
		{values: []string{"1e9"}, limit: 1e9, known: true},
		{values: []string{"3", "0.5"}, limit: 0.5, known: true},
		{values: []string{"3", "soon"}, limit: 3, known: true, invalid: 1},
		{values: []string{"-1"}, invalid: 1},
		{values: []string{"NaN"}, invalid: 1},
		{values: []string{"Inf"}, invalid: 1},
		{values: []string{"1e999"}, invalid: 1},
		{values: []string{"1,5"}, invalid: 1},
		{values: []string{""}, invalid: 1},
	} {
		var resp fasthttp.Response
		for _, value := range c.values {
			resp.Header.Add("Limit", value)
		}
		r := readReport(d, &resp)
		require.Equal(t, c.known, r.HasLimit, c.values)
		require.InDelta(t, c.limit, r.Limit, 0, c.values)
		require.Equal(t, len(c.values) > 0, r.LimitNamed, c.values)
		require.Len(t, r.Invalid, c.invalid, c.values)
	}
}

// TestPausesOfServersAreReadOrCounted covers what a server may write into Retry-After.
func TestPausesOfServersAreReadOrCounted(t *testing.T) {
	for _, c := range []struct {
		status  int
		values  []string
		after   time.Duration
		invalid int
	}{
		{status: 503},
		{status: 200, values: []string{"2"}},
		{status: 503, values: []string{"2"}, after: 2 * time.Second},
		{status: 429, values: []string{" 0.5 "}, after: 500 * time.Millisecond},
		{status: 503, values: []string{"1", "3"}, after: 3 * time.Second},
		{status: 503, values: []string{"soon", "3"}, after: 3 * time.Second, invalid: 1},
		{status: 503, values: []string{"-1"}, invalid: 1},
		{status: 503, values: []string{"Sat, 05 Dec 2026 11:00:00 GMT"}, invalid: 1},
		{status: 503, values: []string{"1000000000"}, after: maxRetryAfter, invalid: 1},
		{status: 503, values: []string{"1e999"}, after: maxRetryAfter, invalid: 1},
		{status: 503, values: []string{"NaN"}, invalid: 1},
	} {
		var resp fasthttp.Response
		resp.SetStatusCode(c.status)
		for _, value := range c.values {
			resp.Header.Add("Retry-After", value)
		}
		r := readReport(&httpheader.Dialect{}, &resp)
		require.Equal(t, c.after, r.RetryAfter, c.values)
		require.Len(t, r.Invalid, c.invalid, c.values)
	}
}
