package model

// RequestMeta is what every decision about a request needs to know. The
// ingress fills it from the configuration in force; it travels with the request
// to the owner unchanged.
type RequestMeta struct {
	Trace    string      // identifier echoed to the caller as X-Request-Id; its choice
	Request  string      // identifier unique over all instances and restarts
	Service  ServiceName // service that the route names
	Route    RouteName   // matched route
	Rank     Rank
	Kind     Kind
	Block    CallerBlock // caller group, for fairness
	Deadline Instant     // absolute; the answer is late afterwards
	// BodyBytes is the declared length of the request body, -1 when unknown.
	BodyBytes int64
	// AnswerBytes is the expected length of the answer in bytes, from the route's
	// recent answers; it is what a link budget is charged before the answer is known.
	AnswerBytes int64
	// Fingerprint identifies the same request sent again: a hash of method, path,
	// query and body digest (or declared length for a streamed body).
	Fingerprint uint64
	// IdempotencyKey is the caller's key for once requests.
	IdempotencyKey string
	// Digest is the hash of method, path, query and body that the ledger compares
	// for an IdempotencyKey that was used before.
	Digest uint64
	// Replayable reports that the whole body is held in memory, so that another
	// attempt can send it again.
	Replayable bool
}
