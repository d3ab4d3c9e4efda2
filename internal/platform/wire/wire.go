// Package wire holds the JSON messages, paths and headers of the platform's
// HTTP protocol. The client adapter and the stand-in share them; docs/PLATFORM.md
// describes the protocol.
package wire

// The paths of the protocol.
const (
	PathGet       = "/v1/table/get"
	PathScan      = "/v1/table/scan"
	PathCommit    = "/v1/table/commit"
	PathObject    = "/v1/objects"
	PathInstances = "/v1/instances"
)

// ObjectNameParam is the query parameter that names an object.
const ObjectNameParam = "name"

// HeaderNotApplied is set to "true" on an error answer to promise that the
// call had no effect.
const HeaderNotApplied = "X-Not-Applied"

// HeaderNotFound is set to "true" on the answer for an absent object.
const HeaderNotFound = "X-Not-Found"

// MarkerTrue is the value of the marker headers.
const MarkerTrue = "true"

// Row is one row of the table; Version 0 means that the row is absent.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"version"`
}

// GetRequest asks for rows by key.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest asks for rows by prefix, in key order, at most Limit.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	Limit  int    `json:"limit"`
}

// RowsAnswer answers GetRequest and ScanRequest.
type RowsAnswer struct {
	Rows []Row `json:"rows"`
}

// Condition requires a version of a row; 0 requires that it is absent.
type Condition struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write replaces or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// CommitRequest is a transaction.
type CommitRequest struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// CommitAnswer answers an applied transaction with the version of its writes.
type CommitAnswer struct {
	Version int64 `json:"version"`
}

// Conflict answers a transaction of which a condition did not hold.
type Conflict struct {
	Key    string `json:"key"`
	Wanted int64  `json:"wanted"`
	Actual int64  `json:"actual"`
}

// Instance is one line of the instance list.
type Instance struct {
	ID      string `json:"id,omitempty"`
	Zone    string `json:"zone"`
	Link    string `json:"link,omitempty"`
	Callers string `json:"callers,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
	Backend string `json:"backend,omitempty"`
}

// InstancesAnswer answers a read of the instance list.
type InstancesAnswer struct {
	Instances []Instance `json:"instances"`
}

// RegisterRequest adds or renews a line for TTLMillis milliseconds.
type RegisterRequest struct {
	Instance  Instance `json:"instance"`
	TTLMillis int64    `json:"ttl_ms"`
}
