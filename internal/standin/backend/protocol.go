package backend

// Headers of the protocol between callers and backend servers.
const (
	HeaderBackend        = "X-Backend"        // name of the server that answered
	HeaderRequestID      = "X-Request-Id"     // request identifier, copied to the answer
	HeaderIdempotencyKey = "Idempotency-Key"  // its runs are counted, see Runs
	HeaderBodyDigest     = "X-Body-Digest"    // xxh3 hash of the received body, 16 hex digits
	HeaderDraining       = "X-Draining"       // "true" while the server is draining
	HeaderLimit          = "X-Limit"          // requests per second that the server takes
	HeaderNotRun         = "X-Not-Run"        // "true" on the answer to a shed request, which did not run
	HeaderDeadline       = "X-Deadline-Ms"    // time in milliseconds until the deadline of the caller
	HeaderCancellable    = "X-Cancellable"    // "true": cancel the work when the caller closes the connection
	HeaderCrash          = "X-Crash"          // "true": running the request crashes the server
	HeaderAnswerBytes    = "X-Answer-Bytes"   // length of the answer; or query parameter answer_bytes
	HeaderAnswerStatus   = "X-Answer-Status"  // status of the answer; or query parameter answer_status
	HeaderAnswerChunked  = "X-Answer-Chunked" // "true": chunked answer; or query parameter answer_chunked
	HeaderRetryAfter     = "Retry-After"      // seconds, on the answer to a shed request
)

// Paths of the status and control endpoints. Requests for all other paths are work.
const (
	PathStatus  = "/_status"
	PathRuns    = "/_runs"
	PathFaults  = "/standin/faults"
	PathCold    = "/standin/cold"    // POST restarts the cold start
	PathCrash   = "/standin/crash"   // POST crashes the server; optional query parameter downtime_ms
	PathSilence = "/standin/silence" // POST silences all other open connections permanently
)

// CrashMarker in a request body crashes the server that runs the request.
const CrashMarker = "PRIMROSENOTCH-CRASH-MARKER"

const markerTrue = "true"
