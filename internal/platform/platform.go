// Package platform is the client of the platform's services: a transactional table,
// an object store and a list of instances. No other package depends on how these
// services are reached. Client speaks the protocol of package wire; RetryingClient
// gives packages with another protocol the same timeouts, retries and circuit breaker.
package platform

import (
	"context"
	"fmt"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Row is a row of the table service. Version increases with every write of the row
// and is 0 if the row is absent.
type Row struct {
	Key     string
	Value   []byte
	Version int64
}

// Condition requires that a row has a version when a transaction commits. Version 0
// requires that the row is absent.
type Condition struct {
	Key     string
	Version int64
}

// Write replaces or deletes a row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Transaction applies all Writes if all Conditions hold, and none otherwise.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// Table is the transactional table service. Get returns one row for each key; an
// absent row has Version 0. Scan returns the rows whose keys have the prefix, in key
// order, at most limit.
type Table interface {
	Get(ctx context.Context, keys ...string) ([]Row, error)
	Scan(ctx context.Context, prefix string, limit int) ([]Row, error)
	// Commit applies a transaction. It fails with *ConflictError, *UnavailableError
	// (provably not applied) or *UncertainError (may have been applied).
	Commit(ctx context.Context, txn Transaction) error
}

// Objects is the object store. Get returns *NotFoundError if the object does not exist.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// ListedInstance is an entry in the platform's instance list. It describes an entry
// instance or a backend server.
type ListedInstance struct {
	ID         model.InstanceID
	Zone       model.ZoneName
	LinkAddr   string // host:port for links from other entry instances
	CallerAddr string // host:port for callers
	Leaving    bool   // draining: takes no new requests
	// Backend is the name of the backend server. It is empty for an entry instance;
	// otherwise ID is empty.
	Backend model.BackendName
}

// Instances is the platform's list of live and leaving instances. The list lags behind
// the actual state.
type Instances interface {
	// List returns the entries that can be decoded. If there are others, it returns an
	// *InvalidEntriesError as well.
	List(ctx context.Context) ([]ListedInstance, error)
	// Register adds or renews the list entry of an entry instance. The list entry
	// expires after ttl.
	Register(ctx context.Context, instance ListedInstance, ttl time.Duration) error
}

// Step names the call in which an error occurred.
type Step string

// ConflictError reports the first condition that did not hold when a transaction was
// committed. Nothing was applied.
type ConflictError struct {
	Step     Step
	Peer     string
	Key      string
	Expected int64
	Actual   int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s at %s: row %q has version %d, expected %d", e.Step, e.Peer, e.Key, e.Actual, e.Expected)
}

// UnavailableError reports a call that provably had no effect.
type UnavailableError struct {
	Step Step
	Peer string
	Err  error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s at %s: not applied: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the underlying error.
func (e *UnavailableError) Unwrap() error { return e.Err }

// UncertainError reports a call whose outcome is unknown, because there was no answer
// or one that does not determine it. The call may have been applied, or may be applied
// later.
type UncertainError struct {
	Step Step
	Peer string
	Err  error
}

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("%s at %s: outcome unknown: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the underlying error.
func (e *UncertainError) Unwrap() error { return e.Err }

// NotFoundError reports that an object does not exist.
type NotFoundError struct {
	Peer string
	Name string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("get object at %s: object %q does not exist", e.Peer, e.Name)
}
