// Package model defines the value types shared by the other packages: names,
// ranks, request kinds, outcomes, causes and points in time.
package model

// InstanceID identifies an entry instance; it comes from the instance's settings.
type InstanceID string

// ZoneName is the name of an availability zone in the operators' text.
type ZoneName string

// RegionName is the name of a region in the operators' text.
type RegionName string

// ServiceName is the name of a service in the operators' text.
type ServiceName string

// RouteName is the name of a route in the operators' text.
type RouteName string

// OrganisationName is the name of an organisation, as the platform lists it.
type OrganisationName string

// BackendName identifies a backend server: its name in the operators' text, or its
// key in the platform's store.
type BackendName string

// CallerGroupName is the name of the caller group whose address blocks contain a
// request's source address; it is empty if no group matches.
type CallerGroupName string

// RequestID identifies a request within one process. It is never sent to callers;
// they see RequestMeta.TraceID.
type RequestID uint64
