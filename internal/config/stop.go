package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/samber/lo"
)

// StopScopes lists the scopes of planned stops, narrowest first.
var StopScopes = []StopScope{StopBackend, StopInstance, StopZone, StopRegion}

// StopTargetError reports a planned stop with a malformed target, or with a target
// that the text does not define.
type StopTargetError struct {
	Target string // as given
	What   string
	Fix    string
}

// Error implements error.
func (e *StopTargetError) Error() string {
	return fmt.Sprintf("planned stop of %q: %s; %s", e.Target, e.What, e.Fix)
}

// ParseStopTarget parses SCOPE:NAME, such as backend:checkout-03. The error is a
// *StopTargetError.
func ParseStopTarget(s string) (StopScope, string, error) {
	scope, name, found := strings.Cut(s, ":")
	if !found || name == "" || !slices.Contains(StopScopes, StopScope(scope)) {
		return "", "", &StopTargetError{Target: s, What: "it is not SCOPE:NAME", Fix: "write backend:NAME, instance:NAME, zone:NAME or region:NAME"}
	}
	return StopScope(scope), name, nil
}

// CheckStop checks that the text defines the target of a planned stop. Instances are
// not part of the text, so a stop of an instance always passes. The error is a
// *StopTargetError.
func CheckStop(text *Text, stop Stop) error {
	var names []string
	switch stop.Scope {
	case StopInstance:
		return nil
	case StopBackend:
		names = lo.Map(text.Backends, func(b Backend, _ int) string { return string(b.Name) })
	case StopZone:
		names = lo.Map(text.Zones, func(z Zone, _ int) string { return string(z.Name) })
	case StopRegion:
		names = lo.Uniq(lo.Map(text.Zones, func(z Zone, _ int) string { return string(z.Region) }))
	}
	if slices.Contains(names, stop.Target) {
		return nil
	}
	return &StopTargetError{
		Target: string(stop.Scope) + ":" + stop.Target,
		What:   fmt.Sprintf("the text has no %s %q", stop.Scope, stop.Target),
		Fix:    suggest(stop.Target, names, "read the text with: primrosenotch get"),
	}
}
