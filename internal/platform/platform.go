// Package platform is the only package that knows how the platform's services
// are reached: a transactional table, an object store and a list of instances.
package platform

import (
	"context"
	"fmt"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Row is one row of the table service. Version grows with every write of the
// row; it is 0 where the row is absent.
type Row struct {
	Key     string
	Value   []byte
	Version int64
}

// Condition requires that a row has a version when a transaction commits;
// version 0 requires that the row is absent.
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

// Transaction applies all Writes if all Conditions hold, and nothing otherwise.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// Table is the transactional table service. Get returns an absent row with
// Version 0. Scan returns rows with the prefix in key order, at most limit.
type Table interface {
	Get(ctx context.Context, keys ...string) ([]Row, error)
	Scan(ctx context.Context, prefix string, limit int) ([]Row, error)
	// Commit returns nil, *ConflictError, *UnavailableError (provably not applied)
	// or *UncertainError (may have been applied).
	Commit(ctx context.Context, txn Transaction) error
}

// Objects is the object store. Get of an absent object returns *NotFoundError.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// ListedInstance is one line of the platform's instance list.
type ListedInstance struct {
	ID      model.InstanceID
	Zone    model.ZoneName
	Link    string // host:port of the links between entry instances
	Callers string // host:port that callers use
	Leaving bool
	// Backend names the backend server where the line is one; ID is empty then.
	Backend model.BackendName
}

// Instances is the platform's list of live and leaving instances. It lags.
type Instances interface {
	List(ctx context.Context) ([]ListedInstance, error)
	// Register adds or renews the line of an entry instance for ttl.
	Register(ctx context.Context, instance ListedInstance, ttl time.Duration) error
}

// Step names the call during which an error arose.
type Step string

// ConflictError reports the first condition that did not hold.
type ConflictError struct {
	Step   Step
	Peer   string
	Key    string
	Wanted int64
	Actual int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s at %s: row %q has version %d, wanted %d", e.Step, e.Peer, e.Key, e.Actual, e.Wanted)
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

// UncertainError reports a call whose reply was lost: it may have been applied.
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

// NotFoundError reports an absent object.
type NotFoundError struct {
	Peer string
	Name string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("get object at %s: %q does not exist", e.Peer, e.Name)
}
