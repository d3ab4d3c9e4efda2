// Package model holds the small value types that every other package shares:
// names, ranks, kinds, outcomes, refusal causes and points in time.
package model

// InstanceID names one entry instance, as its settings give it.
type InstanceID string

// ZoneName names an availability zone of the operators' text.
type ZoneName string

// RegionName names a region of the operators' text.
type RegionName string

// ServiceName names a service of the operators' text.
type ServiceName string

// RouteName names a route of the operators' text.
type RouteName string

// BackendName names one backend server of the operators' text.
type BackendName string

// CallerBlock names the caller group that a request's source address falls
// into; it is empty where no group matches.
type CallerBlock string

// RequestID identifies one request inside one process. It is never sent to
// callers; they see the trace identifier of RequestMeta.
type RequestID uint64
