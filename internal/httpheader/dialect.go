package httpheader

// Dialect names the fields through which the system speaks with callers and
// backend servers. A field with an empty name is neither read nor set.
type Dialect struct {
	RequestID      string // identifier of the request, echoed in its answer
	DeadlineMillis string // time left for the request, in milliseconds
	IdempotencyKey string
	Affinity       string // object that the request is about
	Outcome        string // what became of a request, towards callers
	Cause          string // why a request was refused, towards callers
	Backend        string // backend server that answered, towards callers
	ForwardedFor   string
	Via            string
	// NotRun is a backend server's word that it did not run the request.
	NotRun string
	// Draining is a backend server's word that it is leaving.
	Draining string
	// ExpectServer asks any backend server but the named one not to run the request.
	ExpectServer string
	// ServerID names the backend server that answers.
	ServerID string
	// ServerLoad is "running,waiting,slots" of the backend server.
	ServerLoad string
	// ColdMillis is how long the backend server stays cold.
	ColdMillis string
	// Signature is on each complete answer of a backend server that ran the request.
	Signature string
	// EchoedID reports that backend servers echo RequestID, so that an answer with
	// another one belongs to another request.
	EchoedID bool
}

// Own is the project's own dialect.
func Own() *Dialect {
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
	}
}
