package dispatch

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/pacing"
)

// Event is anything that can happen to a Dispatcher.
type Event interface{ event() }

// Tick is posted at a fixed period.
type Tick struct{ At model.Instant }

// CatalogChanged reports what the platform's store says anew.
type CatalogChanged struct {
	At     model.Instant
	Change catalog.Change
}

// StoreTried reports whether the store could be read by a call that began at Started.
type StoreTried struct {
	At      model.Instant
	Started model.Instant
	OK      bool
}

// StoreVouched reports that at a time a peer read the store, which had not failed for
// it lately.
type StoreVouched struct{ At model.Instant }

// StoreDoubted reports that what a peer tells was read at a time when the store had
// failed lately for its reader.
type StoreDoubted struct{ At model.Instant }

// BoundsChanged reports new bounds of the platform.
type BoundsChanged struct {
	At       model.Instant
	Retry    pacing.RetrySettings
	Cold     ColdSettings
	ShiftCap float64
}

// FleetCounted reports how many instances may be sending.
type FleetCounted struct {
	At        model.Instant
	Instances int
}

// RequestArrived reports a caller's request.
type RequestArrived struct {
	At       model.Instant
	Request  model.RequestID
	Host     string
	Path     string
	Affinity string // object that it is about, empty where unknown
	// Patience is how long the caller waits, 0 where it does not say.
	Patience   time.Duration
	Replayable bool // the whole body is at hand
}

// ServerReport is what a backend server said of itself on an answer.
type ServerReport struct {
	HasLoad  bool
	Running  int
	Waiting  int
	HasCold  bool
	ColdLeft time.Duration
}

// AttemptEnded reports how sending a request to a backend server ended. With
// AttemptComplete a whole answer is at hand or has been passed on.
type AttemptEnded struct {
	At      model.Instant
	Request model.RequestID
	Result  event.AttemptResult
	// Misdirected reports that another server answers at the address.
	Misdirected bool
	// Draining reports that the server said that it is leaving.
	Draining bool
	// BodyUsed reports that the request cannot be sent again.
	BodyUsed bool
	Report   ServerReport
}

// RequestEnded reports that the caller has its answer, or is gone.
type RequestEnded struct {
	At      model.Instant
	Request model.RequestID
}

// ServerProbed reports a health check.
type ServerProbed struct {
	At      model.Instant
	Server  model.BackendName
	Healthy bool
	// Reached reports that it took a connection.
	Reached bool
	Report  ServerReport
}

func (*Tick) event()           {}
func (*CatalogChanged) event() {}
func (*StoreTried) event()     {}
func (*StoreVouched) event()   {}
func (*StoreDoubted) event()   {}
func (*BoundsChanged) event()  {}
func (*FleetCounted) event()   {}
func (*RequestArrived) event() {}
func (*AttemptEnded) event()   {}
func (*RequestEnded) event()   {}
func (*ServerProbed) event()   {}

// Effect is something that the runtime must do.
type Effect interface{ effect() }

// Send sends a request to a backend server.
type Send struct {
	Request model.RequestID
	Server  *catalog.Server // a copy that stays as it is
	Left    time.Duration   // until the request's deadline
	// AnswerTimeout bounds the wait for the first byte of the answer; 0 is none
	// but the deadline.
	AnswerTimeout time.Duration
	MaxIdle       time.Duration // of a pooled connection
	Attempt       int           // 1 for the first
	Kind          model.Kind
	Why           Why
}

// Why holds the inputs that decided where a request was sent.
type Why struct {
	Route         model.RouteName
	Configuration int64         // version
	Object        uint64        // hash of what the request is about
	Knew          bool          // the server was believed to know the object
	Moved         bool          // to another region than that of the object's first place
	Load          float64       // requests that the server was believed to hold
	LoadAge       time.Duration // since the server reported its load
}

// Refuse ends a request that has no answer. NotRun promises that it never ran.
type Refuse struct {
	Request    model.RequestID
	Outcome    model.Outcome
	Cause      model.Cause
	RetryAfter time.Duration
	Route      model.RouteName // empty where none matched
	// Configuration is the version in force, 0 for none.
	Configuration int64
}

// Probe asks a backend server for its health.
type Probe struct {
	Server *catalog.Server
	Path   string
}

// Forget closes the connections of a backend server that is gone.
type Forget struct{ Server *catalog.Server }

// Condemn closes the idle connections of a backend server, one of which was found
// broken.
type Condemn struct{ Server *catalog.Server }

// Cancel ends a running attempt, which then ends as event.AttemptCancelled unless it
// has ended already.
type Cancel struct{ Request model.RequestID }

// LimitsChanged takes up what a new configuration lets callers send.
type LimitsChanged struct{ Limits catalog.Limits }

// Record is one decision for the log.
type Record struct {
	At      model.Instant
	Subject string
	What    string
	Why     string
}

func (*Send) effect()    {}
func (*Refuse) effect()  {}
func (*Probe) effect()   {}
func (*Cancel) effect()  {}
func (*Forget) effect()  {}
func (*Condemn) effect() {}
func (*Record) effect()  {}

func (*LimitsChanged) effect() {}
