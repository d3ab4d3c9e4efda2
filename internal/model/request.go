package model

// RequestMeta holds the attributes of a request that routing, admission and retry
// decisions use. The entry instance that receives a request fills it from the request
// and the active configuration, and passes it to the owner. Deadline is passed as the
// time left, since clocks differ; the other fields are passed unchanged.
type RequestMeta struct {
	TraceID     string      // echoed as X-Request-Id; chosen by the caller, else generated
	GlobalID    string      // unique across instances and restarts; RequestID is unique within one process
	Service     ServiceName // service of the matched route
	Route       RouteName   // name of the matched route
	Rank        Rank
	Kind        Kind
	CallerGroup CallerGroupName // caller group, for fairness between groups
	Deadline    Instant         // absolute; a response after it is Late
	// BodyBytes is the declared length of the request body in bytes, -1 if unknown.
	BodyBytes int64
	// AnswerBytes is the expected response length in bytes, estimated from the
	// route's recent responses. Link budgets are charged with it until the actual
	// length is known.
	AnswerBytes int64
	// Fingerprint is a hash of method, path, query and body (the declared length for a
	// streamed body). Repetitions of a request have the same value.
	Fingerprint uint64
	// IdempotencyKey is the caller's Idempotency-Key for a Once request.
	IdempotencyKey string
	// Digest is a hash of the Fingerprint and of the headers Authorization and
	// Content-Digest. The ledger compares it to detect an IdempotencyKey that is reused
	// for a different request or by another caller.
	Digest uint64
	// Replayable reports whether the whole body is buffered in memory, so that
	// another attempt can send it again.
	Replayable bool
}
