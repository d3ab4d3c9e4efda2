package httpheader

// Names of the fields that the system reads or sets itself.
const (
	RequestID      = "X-Request-Id"
	DeadlineMillis = "X-Deadline-Ms" // time left for the request, in milliseconds
	IdempotencyKey = "Idempotency-Key"
	Outcome        = "X-Outcome"
	Cause          = "X-Cause"
	Backend        = "X-Backend"
	RetryAfter     = "Retry-After" // seconds
	NotRun         = "X-Not-Run"   // a backend server's word that it did not run the request
	Draining       = "X-Draining"  // a server's word that it is leaving
	ForwardedFor   = "X-Forwarded-For"
	Via            = "Via"
)

// ViaValue is the Via entry of this system.
const ViaValue = "1.1 primrosenotch"
