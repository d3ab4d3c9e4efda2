package model

var causeTexts = map[Cause]string{
	CauseNoRoute:          "no route of the text matches",
	CauseNoConfiguration:  "the instance has no text yet",
	CauseNoBackend:        "no reachable owner has a usable backend server",
	CauseQueueFull:        "the queue is at its bound",
	CauseDeadline:         "it cannot finish before its deadline",
	CauseShiftCap:         "the shift cap lets no more spill in now",
	CauseLinkBudget:       "the link between the regions is at its budget",
	CauseOverload:         "the entry instance is at its own bound",
	CauseCrashSuspect:     "the same request broke two backend servers",
	CauseDependency:       "a service that it depends on has no capacity",
	CauseLedgerDown:       "the idempotency ledger cannot be reached",
	CauseLedgerBudget:     "the ledger's write budget is exhausted",
	CauseDigestMismatch:   "the idempotency key was used with another request",
	CauseKeyMissing:       "a once request needs an Idempotency-Key",
	CauseInProgress:       "an earlier attempt with this key has no result",
	CauseCancelled:        "the idempotency key was cancelled before it ran",
	CauseShed:             "the backend server refused it without running it",
	CauseConnect:          "no connection to the backend server",
	CauseBroken:           "the connection broke after the request was sent",
	CauseTimeout:          "no progress within the time-out",
	CauseOwnerLost:        "the link to the owner broke",
	CauseCallerGone:       "the caller closed its connection",
	CauseNotOwner:         "the instance owns no server of the service",
	CauseServerFailed:     "the backend server answered that it failed",
	CauseStopping:         "the instance takes no more work",
	CauseRetryBudget:      "the service's retry budget is exhausted",
	CauseInvalidRequest:   "the request is malformed",
	CauseAnswerIncomplete: "the answer was cut short",
}

// Describe explains a cause to an operator, with its label.
func (c Cause) Describe() string {
	text, ok := causeTexts[c]
	if !ok {
		return string(c)
	}
	return string(c) + ", " + text
}
