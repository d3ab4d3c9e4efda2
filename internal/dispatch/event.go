package dispatch

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/catalog"
	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/membership"
	"github.com/primrosenotch/primrosenotch/internal/model"
	"github.com/primrosenotch/primrosenotch/internal/pacing"
	"github.com/primrosenotch/primrosenotch/internal/quota"
)

// Event is an input of Dispatcher.Step.
type Event interface{ event() }

// Tick is posted at a fixed period.
type Tick struct {
	At model.Instant
	// InstancesKnownAt is when the list of instances was last known to be the latest.
	InstancesKnownAt model.Instant
}

// CatalogChanged reports a change in the platform's store.
type CatalogChanged struct {
	At     model.Instant
	Change catalog.Change
}

// StoreRead reports the result of a store read that began at Started.
type StoreRead struct {
	At      model.Instant
	Started model.Instant
	OK      bool
}

// StoreReadConfirmed reports that an instance for which the store had not failed recently
// read the store at the given time, as reported by a peer.
type StoreReadConfirmed struct{ At model.Instant }

// StoreReadSuspect reports that a peer passed on data read at the given time by an
// instance for which the store had failed recently.
type StoreReadSuspect struct{ At model.Instant }

// StoreRestored reports that the following changes come from a store that was restored from
// a copy: entries that are missing or older may only have been lost.
type StoreRestored struct{ At model.Instant }

// DeparturesLearned reports what a peer knows of servers that had left before the store was
// restored from a copy.
type DeparturesLearned struct {
	At         model.Instant
	RestoredAt model.Instant
	Departed   []Departure
}

// BoundsChanged reports new limits set by the platform.
type BoundsChanged struct {
	At       model.Instant
	Retry    pacing.RetrySettings
	Cold     ColdSettings
	ShiftCap float64
	Quota    quota.Settings
}

// InstancesCounted reports the number of instances that may be sending requests.
type InstancesCounted struct {
	At        model.Instant
	Instances int
	Members   []pacing.Member // the listed instances; nil if only their number is known
	// RegisteredAt is when this instance was listed first, without a gap since, 0 if unknown.
	RegisteredAt model.Instant
	// Inherited is set with the first list if it is recent and names an earlier process of this
	// instance.
	Inherited bool
	// Founding is set with the same list if all instances were first listed at about the same time.
	Founding bool
	// RegionShare is the estimated share of all requests that this instance's region
	// receives.
	RegionShare float64
}

// RequestArrived reports a caller's request.
type RequestArrived struct {
	At       model.Instant
	Request  model.RequestID
	Host     string
	Path     string
	Affinity string // key of the object that the request is about, empty if unknown
	// Key is the digest of the caller's key, valid if HasKey is set. The key itself never
	// reaches this package, whose events may be logged.
	Key    catalog.KeyDigest
	HasKey bool
	// CallerTimeout is how long the caller waits, 0 if unknown.
	CallerTimeout time.Duration
	Replayable    bool // the whole body is buffered
	// Fingerprint identifies repetitions of the same request, under any request identifier.
	Fingerprint uint64
}

// ServerReport is the load and cold state that a backend server reports with an answer.
type ServerReport struct {
	HasLoad bool
	Running int
	Waiting int
	// TimeFactor is how long work takes at the server at the moment, as a multiple of the
	// usual time; 0 if not reported.
	TimeFactor float64
	HasCold    bool
	ColdLeft   time.Duration
	// Limit is the number of requests per second that the server takes from all instances
	// together. LimitNamed is also set if the server named a limit that could not be read.
	HasLimit   bool
	Limit      float64
	LimitNamed bool
	// RetryAfter is the time for which a server that refused a request wants nothing from this
	// instance.
	RetryAfter time.Duration
}

// TermsNamed reports the head of an answer in which a server says what it takes, before the
// attempt ends.
type TermsNamed struct {
	At     model.Instant
	Server catalog.Server
	Report ServerReport
	// Draining reports that the server announced that it is leaving.
	Draining bool
}

// TermsReceived reports what servers said they take, as known by a peer.
type TermsReceived struct {
	At    model.Instant
	Terms []membership.ServerTerms
}

// AttemptEnded reports the result of sending a request to a backend server. With
// AttemptComplete, the whole answer has been received or passed on.
type AttemptEnded struct {
	At      model.Instant
	Request model.RequestID
	Attempt int // as in Send
	Result  event.AttemptResult
	// OwnShortage reports that the attempt was not sent because this instance lacked a
	// connection, file descriptor or port, which says nothing about the server.
	OwnShortage bool
	// Refused reports that the server's address refused the connection.
	Refused bool
	// Held reports that a complete answer with AttemptFailed has not been passed on yet.
	Held bool
	// Misdirected reports that a different server answered at the address.
	Misdirected bool
	// Draining reports that the server announced that it is leaving.
	Draining bool
	// BodyNotReplayable reports that the request body cannot be sent again.
	BodyNotReplayable bool
	// HeadAt is when the head of the answer arrived, 0 if unknown. The Report was sent with it.
	HeadAt model.Instant
	Report ServerReport
}

// AnswerStarted reports that a server's answer is being passed on to the caller, which may
// take longer than the attempt's other steps. No further attempt is started.
type AnswerStarted struct{ Request model.RequestID }

// RequestEnded reports that the caller has received its answer or is gone.
type RequestEnded struct {
	At      model.Instant
	Request model.RequestID
}

// ServerProbed reports the result of a health check.
type ServerProbed struct {
	At      model.Instant
	Server  model.BackendName
	Healthy bool
	// Reached reports that the server accepted a connection.
	Reached bool
	// Refused reports that the server's address refused the connection.
	Refused bool
	// Misdirected reports that a different server answered at the address.
	Misdirected bool
	// OwnShortage reports that the check was not sent, as in AttemptEnded.
	OwnShortage bool
	Report      ServerReport
	// Draining reports that the server announced that it is leaving.
	Draining bool
}

// SuspectsSaved reports how a SaveSuspects effect ended.
type SuspectsSaved struct {
	OK       bool
	Suspects []membership.Suspect // of the effect
}

// SuspectsReceived reports requests that crashed servers, as known by a peer or as saved
// before this instance started.
type SuspectsReceived struct {
	At       model.Instant
	Suspects []membership.Suspect
}

// LimitSharesReceived reports statements of other instances about their shares of servers'
// limits.
type LimitSharesReceived struct {
	At     model.Instant
	Shares []membership.LimitShare
}

// QuotaReplied reports a coordinator's reply to a SendQuotaReport.
type QuotaReplied struct {
	At    model.Instant
	From  model.InstanceID
	Reply *quota.Reply
}

// QuotaReportFailed reports that a SendQuotaReport was not answered.
type QuotaReportFailed struct {
	At     model.Instant
	To     model.InstanceID
	Number uint64 // of the report
}

// QuotaOffered reports that another coordinator hands an organisation over to this instance.
type QuotaOffered struct {
	At       model.Instant
	Handover *quota.Handover
}

// Unlisted reports that this instance stops and its entry has been removed from the store.
type Unlisted struct{ At model.Instant }

// ClockJumped reports that this process was paused and the clock from which its events have
// their times stood still meanwhile.
type ClockJumped struct{ At model.Instant }

func (*Tick) event()                {}
func (*CatalogChanged) event()      {}
func (*StoreRead) event()           {}
func (*StoreReadConfirmed) event()  {}
func (*StoreReadSuspect) event()    {}
func (*StoreRestored) event()       {}
func (*DeparturesLearned) event()   {}
func (*BoundsChanged) event()       {}
func (*InstancesCounted) event()    {}
func (*RequestArrived) event()      {}
func (*AttemptEnded) event()        {}
func (*AnswerStarted) event()       {}
func (*RequestEnded) event()        {}
func (*ServerProbed) event()        {}
func (*SuspectsReceived) event()    {}
func (*SuspectsSaved) event()       {}
func (*TermsNamed) event()          {}
func (*TermsReceived) event()       {}
func (*LimitSharesReceived) event() {}
func (*QuotaReplied) event()        {}
func (*QuotaReportFailed) event()   {}
func (*ClockJumped) event()         {}
func (*QuotaOffered) event()        {}
func (*Unlisted) event()            {}

// Effect is an action that the caller of Step must carry out.
type Effect interface{ effect() }

// Send sends a request to a backend server.
type Send struct {
	Request  model.RequestID
	Server   *catalog.Server // a copy that does not change later
	TimeLeft time.Duration   // time until the request's deadline
	// ResponseTimeout bounds the wait for the first byte of the answer; 0 means that only
	// the deadline applies. No decision sets it yet.
	ResponseTimeout time.Duration
	MaxIdle         time.Duration // longest idle time of a pooled connection, 0 for the client's default
	Attempt         int           // 1 for the first
	Kind            model.Kind
	// Organisation is the sender, empty if it is unknown. If KeyChecked is set, the server
	// must learn its name, and not the key.
	Organisation model.OrganisationName
	KeyChecked   bool
	Decision     Decision
}

// Decision holds the inputs of the decision where to send a request.
type Decision struct {
	Route         model.RouteName
	Configuration int64         // version
	Object        uint64        // hash of what the request is about
	ObjectKnown   bool          // the server was believed to have the object warm
	Moved         bool          // to a region other than that of the object's first candidate
	Load          float64       // estimated number of requests at the server
	LoadAge       time.Duration // time since the server reported its load
	Slots         int           // of the server
	Objective     time.Duration // time from arrival within which an answer has its full value
	Elapsed       time.Duration // time since the request arrived
}

// Refuse refuses a request: no answer of a backend server is passed on. The outcome
// NotRun guarantees that the request never ran.
type Refuse struct {
	Request    model.RequestID
	Outcome    model.Outcome
	Cause      model.Cause
	RetryAfter time.Duration
	Route      model.RouteName // empty if none matched
	// Organisation is the sender, empty if it is unknown.
	Organisation model.OrganisationName
	// Configuration is the active version, 0 if there is none.
	Configuration int64
	Inputs        *Inputs // nil if there is no configuration
}

// Probe starts a health check of a backend server.
type Probe struct {
	Server *catalog.Server
	Path   string
	Reason ProbeReason
}

// ProbeReason is why a health check is made.
type ProbeReason string

// The reasons of health checks.
const (
	ProbeSuspected ProbeReason = "suspected" // the server is silent
	ProbeEjected   ProbeReason = "ejected"   // the server failed
	ProbeBroken    ProbeReason = "broken"    // a connection broke; the request may have crashed the server
)

// CloseConnections closes the connections to a backend server that has been removed.
type CloseConnections struct{ Server *catalog.Server }

// ClosePooledConnections closes the idle connections to a backend server, because they
// may be broken or lead to another server.
type ClosePooledConnections struct{ Server *catalog.Server }

// Hedge sends a request to a second backend server while its first attempt goes on. The
// caller gets the first complete answer.
type Hedge struct{ Send *Send }

// PassOn passes the failure that is held for a request on to the caller, since no other
// attempt has brought an answer.
type PassOn struct{ Request model.RequestID }

// Resume gives a request whose goroutine waits for an effect that effect, a Send or a Refuse.
type Resume struct {
	Request model.RequestID
	Next    Effect
}

// SendQuotaReport sends a report to the coordinator of organisations. QuotaReplied or
// QuotaReportFailed must follow.
type SendQuotaReport struct {
	To     model.InstanceID
	Report *quota.Report
}

// SendQuotaHandover hands the limit of an organisation over to the next coordinator. It must be
// sent at once and only once; if it is lost, the next one waits.
type SendQuotaHandover struct {
	To       model.InstanceID
	Handover *quota.Handover
}

// LimitsChanged applies the limits on callers' requests from a new configuration.
type LimitsChanged struct{ Limits catalog.Limits }

// OrganisationsChanged reports the organisations of a new configuration.
type OrganisationsChanged struct{ Organisations []catalog.Organisation }

// Record is a decision to be logged.
type Record struct {
	At      model.Instant
	Subject string
	Message string
	Reason  string
	Warning bool // something failed
}

// SaveSuspects requests that suspects be written to the platform's store, where they outlive
// all instances. SuspectsSaved must follow.
type SaveSuspects struct{ Suspects []membership.Suspect }

func (*Send) effect()                   {}
func (*Refuse) effect()                 {}
func (*Probe) effect()                  {}
func (*Hedge) effect()                  {}
func (*PassOn) effect()                 {}
func (*CloseConnections) effect()       {}
func (*ClosePooledConnections) effect() {}
func (*Record) effect()                 {}

func (*LimitsChanged) effect() {}

func (*Resume) effect() {}

func (*SendQuotaReport) effect() {}

func (*SendQuotaHandover) effect() {}

func (*OrganisationsChanged) effect() {}

func (*SaveSuspects) effect() {}
