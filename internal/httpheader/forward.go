package httpheader

import "strings"

// hopByHop lists the fields that apply to a single connection (RFC 9110, section 7.6.1)
// or describe the framing of a message, which each hop sets itself.
var hopByHop = [...]string{
	"Connection",
	"Content-Length",
	"Expect",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// IsHopByHop reports whether a field must not be forwarded.
func IsHopByHop(name string) bool {
	for _, h := range hopByHop {
		if len(h) == len(name) && strings.EqualFold(h, name) {
			return true
		}
	}
	return false
}

// Forwardable returns the fields of l that an intermediary may forward, which are those
// neither hop-by-hop nor listed in a Connection field. It overwrites l, which must
// not be used afterwards.
func (l List) Forwardable() List {
	named := l.connectionOptions()
	kept := l[:0]
	for _, f := range l {
		if IsHopByHop(f.Name) || containsFold(named, f.Name) {
			continue
		}
		kept = append(kept, f)
	}
	return kept
}

// connectionOptions returns the names listed in the Connection fields.
func (l List) connectionOptions() []string {
	var names []string
	for _, f := range l {
		if !strings.EqualFold(f.Name, "Connection") {
			continue
		}
		for option := range strings.SplitSeq(f.Value, ",") {
			names = append(names, strings.TrimSpace(option))
		}
	}
	return names
}

// containsFold reports whether names contains name, ignoring case.
func containsFold(names []string, name string) bool {
	for _, n := range names {
		if strings.EqualFold(n, name) {
			return true
		}
	}
	return false
}
