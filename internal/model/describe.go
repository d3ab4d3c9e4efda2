package model

var causeTexts = map[Cause]string{
	CauseNoRoute:           "no configured route matches the request",
	CauseUnauthorized:      "the request's key belongs to no organisation",
	CauseOverQuota:         "the organisation has used up its limit",
	CauseNoConfiguration:   "the instance has no configuration yet",
	CauseNoBackend:         "no reachable owner has a usable backend server",
	CauseQueueFull:         "the queue is full",
	CauseDeadline:          "the request cannot finish, or did not start, before its deadline",
	CauseShiftCap:          "the shift cap admits no more spill",
	CauseLinkBudget:        "the budget of the link between the regions is exhausted",
	CauseOverload:          "the entry instance has reached its own limit of requests in flight",
	CauseCrashSuspect:      "the request is suspected of having crashed two backend servers",
	CauseDependency:        "a service that the requested service depends on has no capacity",
	CauseLedgerUnavailable: "the idempotency ledger cannot be reached",
	CauseLedgerBudget:      "the ledger's write budget is exhausted",
	CauseDigestMismatch:    "the idempotency key was used with another request",
	CauseKeyMissing:        "a once request needs an Idempotency-Key",
	CauseInProgress:        "an earlier attempt with this key has no result",
	CauseCancelled:         "the request with this idempotency key was cancelled before it ran",
	CauseShed:              "the backend server refused the request without running it",
	CauseConnect:           "could not connect to the backend server",
	CauseConnectionBroken:  "the connection broke after the request was sent",
	CauseTimeout:           "no progress within the timeout",
	CauseOwnerLost:         "the link to the owner broke",
	CauseCallerGone:        "the caller closed its connection",
	CauseNotOwner:          "the instance owns no server of the service",
	CauseServerFailed:      "the backend server reported a failure",
	CauseStopping:          "the instance is stopping and accepts no new requests",
	CauseRetryBudget:       "the service's retry budget is exhausted",
	CauseInvalidRequest:    "the request is malformed",
	CauseAnswerIncomplete:  "the response was truncated",
	CauseInternal:          "the entry instance itself failed at the request",
}

// Describe returns the label of a cause followed by an explanation for operators.
func (c Cause) Describe() string {
	text, ok := causeTexts[c]
	if !ok {
		return string(c)
	}
	return string(c) + ", " + text
}
