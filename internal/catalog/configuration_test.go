package catalog

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func indexed(routes ...Route) *Configuration {
	c := &Configuration{Version: 1, Routes: routes, Services: []Service{{Name: "shop"}}}
	c.Index()
	return c
}

func TestMatchReturnsLongestPrefix(t *testing.T) {
	c := indexed(
		Route{Name: "root", Host: "a.example", Prefix: "/"},
		Route{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		Route{Name: "mid", Host: "a.example", Prefix: "/x/"},
		Route{Name: "other", Host: "b.example", Prefix: "/x/"},
	)
	for _, tt := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"a.example", "/x/y", "mid"}, // the prefix ends with a slash
		{"A.Example", "/x/", "mid"},
		{"a.example:8080", "/q", "root"},
		{"b.example", "/q", ""},
		{"c.example", "/x/", ""},
	} {
		got := ""
		if r := c.Match(tt.host, tt.path); r != nil {
			got = string(r.Name)
		}
		require.Equal(t, tt.want, got, "%s%s", tt.host, tt.path)
	}
}

func TestSameIncarnation(t *testing.T) {
	a := Server{ID: "s", StartedMillis: 1, Sequence: 4}
	b := Server{ID: "s", StartedMillis: 1, Sequence: 9}
	require.True(t, a.SameIncarnation(&b))
	b.StartedMillis = 2
	require.False(t, a.SameIncarnation(&b))
}
