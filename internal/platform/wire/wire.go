// Package wire holds the JSON messages, paths and headers of the platform's
// HTTP protocol. They are shared by the client and the stand-in. The protocol is
// described in docs/PLATFORM.md.
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

// HeaderNotApplied is set to "true" on an error answer to guarantee that the call
// had no effect.
const HeaderNotApplied = "X-Not-Applied"

// HeaderNotFound is set to "true" on the answer to a read of an absent object.
const HeaderNotFound = "X-Not-Found"

// MarkerTrue is the value of the marker headers.
const MarkerTrue = "true"

// Row is a row of the table. Version 0 means that the row is absent.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"version"`
}

// GetRequest requests rows by key.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest requests the rows whose keys have a prefix, in key order, at most Limit.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	Limit  int    `json:"limit"`
}

// RowsAnswer is the answer to GetRequest and ScanRequest.
type RowsAnswer struct {
	Rows []Row `json:"rows"`
}

// Condition requires that a row has a version. Version 0 requires that the row is
// absent.
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

// CommitAnswer is the answer to an applied transaction. Version is the version of the
// rows that it wrote.
type CommitAnswer struct {
	Version int64 `json:"version"`
}

// Conflict is the answer to a transaction with a condition that did not hold.
type Conflict struct {
	Key      string `json:"key"`
	Expected int64  `json:"wanted"`
	Actual   int64  `json:"actual"`
}

// Instance is an entry in the instance list.
type Instance struct {
	ID         string `json:"id,omitempty"`
	Zone       string `json:"zone"`
	LinkAddr   string `json:"link,omitempty"`
	CallerAddr string `json:"callers,omitempty"`
	Leaving    bool   `json:"leaving,omitempty"`
	Backend    string `json:"backend,omitempty"`
}

// InstancesAnswer is the answer to a read of the instance list.
type InstancesAnswer struct {
	Instances []Instance `json:"instances"`
}

// RegisterRequest adds or renews an entry in the instance list. The entry expires
// after TTLMillis milliseconds.
type RegisterRequest struct {
	Instance  Instance `json:"instance"`
	TTLMillis int64    `json:"ttl_ms"`
}
