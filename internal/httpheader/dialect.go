package httpheader

// Dialect names the header fields exchanged with callers and backend servers. RequestID
// and DeadlineMillis are required; any other field with an empty name is neither read
// nor set.
type Dialect struct {
	RequestID      string // identifies the request, echoed in the response
	DeadlineMillis string // remaining time for the request, in milliseconds
	IdempotencyKey string
	AffinityKey    string // key of the object that the request concerns
	Outcome        string // outcome of a request, sent to callers
	Cause          string // cause of a refusal, sent to callers
	Backend        string // backend server that responded, sent to callers
	// ForwardedFor enables X-Forwarded-For if it is not empty; the name itself is not
	// used.
	ForwardedFor string
	Via          string
	// NotRun is set by a backend server that did not run the request.
	NotRun string
	// Draining is set by a backend server that is draining.
	Draining string
	// Organisation is the name of the organisation that sends a request.
	Organisation string
	// ExpectServer names the only backend server that may run the request.
	ExpectServer string
	// ServerID is the name of the responding backend server.
	ServerID string
	// ServerLoad is the load of the backend server. ParseServerLoad parses it and must be
	// set if ServerLoad is.
	ServerLoad      string
	ParseServerLoad func(value string) (ServerLoad, error)
	// ColdMillis is how much longer the backend server remains cold, that is, limited to a
	// lower request rate after its start, in milliseconds.
	ColdMillis string
	// ServerLimit is the number of requests per second, a decimal, that the backend server
	// takes from all instances together.
	ServerLimit string
	// Signature is set on every successful response that a backend server sends after
	// running the request. It is checked only if EchoesRequestID is set.
	Signature string
	// EchoesRequestID reports whether backend servers echo RequestID, so that a
	// response with a different ID belongs to another request.
	EchoesRequestID bool
}

// DefaultDialect returns the default dialect.
func DefaultDialect() *Dialect {
	return &Dialect{
		RequestID:      RequestID,
		DeadlineMillis: DeadlineMillis,
		IdempotencyKey: IdempotencyKey,
		Outcome:        Outcome,
		Cause:          Cause,
		Backend:        Backend,
		ForwardedFor:   ForwardedFor,
		Via:            Via,
		NotRun:         NotRun,
		Draining:       Draining,
		ServerLimit:    ServerLimit,
	}
}
