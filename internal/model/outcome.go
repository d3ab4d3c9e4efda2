package model

import "fmt"

// Outcome is the result of a request as reported to its caller and counted in
// metrics.
type Outcome uint8

// Outcomes.
const (
	// Served means that the complete response was delivered within the deadline.
	Served Outcome = iota
	// Late means that the complete response was delivered after the deadline.
	Late
	// NotRun means that the request was refused and provably not run by any
	// backend server.
	NotRun
	// Unknown means that the request failed and may or may not have run.
	Unknown

	// OutcomeCount is the length of arrays indexed by Outcome.
	OutcomeCount = 4
)

var outcomeNames = [OutcomeCount]string{"served", "late", "not-run", "unknown"}

// String returns the label used in headers, metrics and reports.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}

// MarshalText implements encoding.TextMarshaler; the text is that of String.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler; it accepts the labels that
// String returns.
func (o *Outcome) UnmarshalText(text []byte) error {
	for i, name := range outcomeNames {
		if name == string(text) {
			*o = Outcome(i)
			return nil
		}
	}
	return fmt.Errorf("unknown outcome %q; want served, late, not-run or unknown", text)
}

// Cause is the reason why a request was refused or an attempt failed. Causes are
// metric labels, so the set of values is bounded.
type Cause string

// Causes.
const (
	CauseNone              Cause = ""
	CauseNoRoute           Cause = "no-route"           // no configured route matches the request
	CauseUnauthorized      Cause = "unauthorized"       // the request's key belongs to no organisation
	CauseNoConfiguration   Cause = "no-configuration"   // the instance has no configuration yet
	CauseNoBackend         Cause = "no-backend"         // no reachable owner has a usable backend server
	CauseQueueFull         Cause = "queue-full"         // the owner's queue is full
	CauseOverQuota         Cause = "over-quota"         // the organisation has used up its limit
	CauseDeadline          Cause = "deadline"           // the request cannot finish, or did not start, before its deadline
	CauseShiftCap          Cause = "shift-cap"          // the shift cap admits no more requests outside their baseline zone
	CauseLinkBudget        Cause = "link-budget"        // the budget of the link between the regions is exhausted
	CauseOverload          Cause = "overload"           // the entry instance has reached its own limit of requests in flight
	CauseCrashSuspect      Cause = "crash-suspect"      // the request is suspected of having crashed two backend servers
	CauseDependency        Cause = "dependency"         // a service that the requested service depends on has no capacity
	CauseLedgerUnavailable Cause = "ledger-unavailable" // the idempotency ledger cannot be reached
	CauseLedgerBudget      Cause = "ledger-budget"      // the ledger's write budget is exhausted
	CauseDigestMismatch    Cause = "digest-mismatch"    // the key was used with another request
	CauseKeyMissing        Cause = "key-missing"        // a once request has no Idempotency-Key
	CauseInProgress        Cause = "in-progress"        // an earlier attempt with this key has no result
	CauseCancelled         Cause = "cancelled"          // the request with this key was cancelled before it ran
	CauseShed              Cause = "shed"               // the backend server refused the request without running it
	CauseConnect           Cause = "connect"            // could not connect to the backend server
	CauseConnectionBroken  Cause = "connection-broken"  // the connection broke after the request was sent
	CauseTimeout           Cause = "timeout"            // no progress within the timeout
	CauseOwnerLost         Cause = "owner-lost"         // the link to the owner broke
	CauseCallerGone        Cause = "caller-gone"        // the caller closed its connection
	CauseNotOwner          Cause = "not-owner"          // the instance owns no server of the service
	CauseStopping          Cause = "stopping"           // the instance is stopping and accepts no new requests
	CauseRetryBudget       Cause = "retry-budget"       // the service's retry budget is exhausted
	CauseInvalidRequest    Cause = "invalid-request"    // the request is malformed
	CauseServerFailed      Cause = "server-failed"      // the backend server reported a failure
	CauseAnswerIncomplete  Cause = "answer-incomplete"  // the response was truncated
	CauseInternal          Cause = "internal"           // the entry instance itself failed at the request
)
