package upstream

import (
	"testing"

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
