package config

import (
	"cmp"
	"slices"
	"strings"
)

// routeTable finds the most specific route of a request: an exact path before
// any prefix, a longer prefix before a shorter one, and with the same path a
// named method before any method.
type routeTable struct {
	exact    map[string][]*Route
	prefixes map[string][]*Route // without the "*"
	lengths  []int               // of the prefixes, longest first, each once
}

func newRouteTable(routes []Route) routeTable {
	t := routeTable{exact: map[string][]*Route{}, prefixes: map[string][]*Route{}}
	for i := range routes {
		route := &routes[i]
		prefix, isPrefix := strings.CutSuffix(route.Path, "*")
		if !isPrefix {
			t.exact[route.Path] = append(t.exact[route.Path], route)
			continue
		}
		t.prefixes[prefix] = append(t.prefixes[prefix], route)
		t.lengths = append(t.lengths, len(prefix))
	}
	slices.SortFunc(t.lengths, func(a, b int) int { return cmp.Compare(b, a) })
	t.lengths = slices.Compact(t.lengths)
	return t
}

func (t *routeTable) match(method, path string) (*Route, bool) {
	if route := pickMethod(t.exact[path], method); route != nil {
		return route, true
	}
	for _, length := range t.lengths {
		if length > len(path) {
			continue
		}
		if route := pickMethod(t.prefixes[path[:length]], method); route != nil {
			return route, true
		}
	}
	return nil, false
}

func pickMethod(routes []*Route, method string) *Route {
	var fallback *Route
	for _, route := range routes {
		if route.Method == method {
			return route
		}
		if route.Method == anyMethod {
			fallback = route
		}
	}
	return fallback
}
