// Package membership keeps what an entry instance knows of its peers: their
// records, which of them are reachable, and who owns which backend server. It
// is pure: it reads no clock and sends nothing itself.
package membership

import (
	"fmt"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/model"
)

// State is an instance's announced state.
type State uint8

// The announced states, in the order in which an instance passes through them.
const (
	Starting State = iota // learns configuration and peers, owns nothing
	Ready                 // serves callers and owns backend servers
	Leaving               // hands over ownership, finishes what it has
	Left                  // gone by its own word

	// Suspected is never announced by an instance itself: a peer that lost contact
	// says it of the record's (Incarnation, Sequence). The instance refutes it with
	// a higher Sequence.
	Suspected
)

var stateNames = [...]string{"starting", "ready", "leaving", "left", "suspected"}

// String returns the word used in status and reports.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// Record is what an instance says of itself. A record with a higher
// (Incarnation, Sequence) replaces an older one.
type Record struct {
	ID          model.InstanceID
	Zone        model.ZoneName
	LinkAddr    string // host:port for links between entry instances
	CallerAddr  string // host:port for callers
	ControlAddr string // host:port for operators
	State       State
	Incarnation uint64 // start time of the process in nanoseconds since the epoch
	Sequence    uint64 // grows with each change but that of Revision and Loads
	Revision    int64  // configuration revision in force
	StartedAt   model.Instant
	Loads       []ServiceLoad // of the servers that it owns, by service name; only in its own messages
}

// Newer reports whether r replaces other.
func (r *Record) Newer(other *Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// ServiceLoad summarizes the servers of one service that one instance owns, or
// of a whole zone when it is summed.
type ServiceLoad struct {
	Service model.ServiceName
	Slots   int // usable slots: healthy servers, after slow start
	InUse   int
	Queued  [model.RankCount]int
	// MeanRun is the recent mean time that a request holds a slot.
	MeanRun time.Duration
	// SpillLevel is the ramp's level in slots: how much work from outside the
	// baseline the owner admits now. A new owner goes on from it.
	SpillLevel float64
	SpillInUse int
	// BaselineSince is when the owner's zone began to serve its baseline.
	BaselineSince model.Instant
}

// Message is what one entry instance sends another: a heartbeat with the
// records and zone summaries that the receiver may lack.
type Message struct {
	From        model.InstanceID
	Incarnation uint64
	Revision    int64         // configuration revision that the sender has in force
	Records     []Record      // changed since the last message to the receiver
	Zones       []ZoneSummary // for bridges between zones
	Suspects    []Suspect     // requests that crashed backend servers
	// Known asks the receiver to send what is newer than this digest; set on the
	// first message of a link only.
	Known []RecordVersion
}

// RecordVersion names the version of a record without its content.
type RecordVersion struct {
	ID          model.InstanceID
	Incarnation uint64
	Sequence    uint64
}

// ZoneSummary is the load of a whole zone as one of its bridges last summed it.
type ZoneSummary struct {
	Zone  model.ZoneName
	Epoch uint64        // grows with each summary of the zone; a higher one replaces a lower one
	Loads []ServiceLoad // empty where unchanged since the last summary on the same link
}

// Suspect is a request fingerprint that broke backend servers.
type Suspect struct {
	Fingerprint uint64
	Servers     []model.BackendName // distinct servers that it broke, sorted
	Expires     model.Instant
}
