package httpheader

// Names of the header fields that the system itself reads or sets.
const (
	RequestID      = "X-Request-Id"
	DeadlineMillis = "X-Deadline-Ms" // remaining time for the request, in milliseconds
	IdempotencyKey = "Idempotency-Key"
	Outcome        = "X-Outcome"
	Cause          = "X-Cause"
	Backend        = "X-Backend"
	RetryAfter     = "Retry-After" // seconds
	NotRun         = "X-Not-Run"   // set by a backend server that did not run the request
	Draining       = "X-Draining"  // set by a backend server that is draining
	ServerLimit    = "X-Limit"     // requests per second that a backend server takes
	ForwardedFor   = "X-Forwarded-For"
	Via            = "Via"
)

// ViaValue is the system's entry in the Via field.
const ViaValue = "1.1 primrosenotch"
