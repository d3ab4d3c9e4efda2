package backend

// The headers of the conventions between callers and backend servers.
const (
	HeaderBackend        = "X-Backend"        // name of the server that answered
	HeaderRequestID      = "X-Request-Id"     // echoed
	HeaderIdempotencyKey = "Idempotency-Key"  // counted by the runs endpoint
	HeaderBodyDigest     = "X-Body-Digest"    // xxh3 of the received body, 16 hex digits
	HeaderDraining       = "X-Draining"       // "true" while the server is leaving
	HeaderNotRun         = "X-Not-Run"        // "true" on a shed answer: the request did not run
	HeaderDeadline       = "X-Deadline-Ms"    // milliseconds that the caller has left
	HeaderCancellable    = "X-Cancellable"    // "true": stop the work when the caller hangs up
	HeaderCrash          = "X-Crash"          // "true": running the request crashes the server
	HeaderAnswerBytes    = "X-Answer-Bytes"   // length of the answer; also the query parameter answer_bytes
	HeaderAnswerStatus   = "X-Answer-Status"  // status of the answer; also answer_status
	HeaderAnswerChunked  = "X-Answer-Chunked" // "true": chunked answer; also answer_chunked
	HeaderRetryAfter     = "Retry-After"      // seconds, on a shed answer
)

// The paths that are not work.
const (
	PathStatus  = "/_status"
	PathRuns    = "/_runs"
	PathFaults  = "/standin/faults"
	PathCold    = "/standin/cold"    // POST restarts the cold start
	PathCrash   = "/standin/crash"   // POST crashes the server; downtime_ms is optional
	PathSilence = "/standin/silence" // POST silences all other open connections for good
)

// CrashMarker inside a request body crashes the server that runs the request.
const CrashMarker = "PRIMROSENOTCH-CRASH-MARKER"

const markerTrue = "true"
