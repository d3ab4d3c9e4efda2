package config

import (
	"cmp"
	"slices"
	"strings"
)

// routeTable finds the most specific route for a request. An exact path takes
// precedence over a prefix, a longer prefix over a shorter one and, for the same
// path pattern, a named method over "*".
type routeTable struct {
	exact    map[string][]*Route
	prefixes map[string][]*Route // keys without the trailing "*"
	lengths  []int               // distinct lengths of the prefixes, longest first
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

// match returns the most specific route. It falls back to less specific paths where
// the method does not match.
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

// pickMethod returns the route for the method, else the route for any method, else
// nil.
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
