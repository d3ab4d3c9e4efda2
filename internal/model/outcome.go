package model

import "fmt"

// Outcome is what became of a request, as its caller is told and as metrics
// count it.
type Outcome uint8

// The outcomes.
const (
	// Served is a complete answer within the deadline.
	Served Outcome = iota
	// Late is a complete answer after the deadline.
	Late
	// NotRun is a refusal of a request that provably reached no backend server.
	NotRun
	// Unknown is a failure after which the request may or may not have run.
	Unknown

	// OutcomeCount is the number of outcomes, for arrays indexed by Outcome.
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

// MarshalText writes the label used in headers, metrics and reports.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText reads the label used in headers, metrics and reports.
func (o *Outcome) UnmarshalText(text []byte) error {
	for i, name := range outcomeNames {
		if name == string(text) {
			*o = Outcome(i)
			return nil
		}
	}
	return fmt.Errorf("outcome %q is none of served, late, not-run, unknown", text)
}

// Cause says why a request was refused or an attempt failed. The values are
// metric labels, so their number is bounded.
type Cause string

// The causes.
const (
	CauseNone             Cause = ""
	CauseNoRoute          Cause = "no-route"           // no route of the text matches
	CauseNoConfiguration  Cause = "no-configuration"   // the instance has no text yet
	CauseNoBackend        Cause = "no-backend"         // no reachable owner has a usable server
	CauseQueueFull        Cause = "queue-full"         // the owner's queue is at its bound
	CauseDeadline         Cause = "deadline"           // cannot finish, or did not start, in time
	CauseShiftCap         Cause = "shift-cap"          // the receiver's ramp is exhausted
	CauseLinkBudget       Cause = "link-budget"        // the link between the regions is at its budget
	CauseOverload         Cause = "overload"           // the entry instance is at its own bound
	CauseCrashSuspect     Cause = "crash-suspect"      // the request broke two backend servers
	CauseDependency       Cause = "dependency"         // a service it depends on has no capacity
	CauseLedgerDown       Cause = "ledger-unavailable" // the idempotency ledger cannot be reached
	CauseLedgerBudget     Cause = "ledger-budget"      // the ledger's write budget is exhausted
	CauseDigestMismatch   Cause = "digest-mismatch"    // the key was used with another request
	CauseKeyMissing       Cause = "key-missing"        // a once request without Idempotency-Key
	CauseInProgress       Cause = "in-progress"        // an earlier attempt with this key has no result
	CauseCancelled        Cause = "cancelled"          // the key was cancelled before it ran
	CauseShed             Cause = "shed"               // the backend server refused it
	CauseConnect          Cause = "connect"            // no connection to the backend server
	CauseBroken           Cause = "connection-broken"  // the connection broke after the request was sent
	CauseTimeout          Cause = "timeout"            // no progress within the time-out
	CauseOwnerLost        Cause = "owner-lost"         // the link to the owner broke
	CauseCallerGone       Cause = "caller-gone"        // the caller closed its connection
	CauseNotOwner         Cause = "not-owner"          // the instance owns no server of the service
	CauseStopping         Cause = "stopping"           // the instance takes no more work
	CauseRetryBudget      Cause = "retry-budget"       // the service's retry budget is exhausted
	CauseInvalidRequest   Cause = "invalid-request"    // malformed request
	CauseServerFailed     Cause = "server-failed"      // the backend server answered that it failed
	CauseAnswerIncomplete Cause = "answer-incomplete"  // the answer was cut short
)
