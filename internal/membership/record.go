// Package membership maintains an entry instance's view of its peers: their records,
// which of them are reachable, and which instance owns which backend server. It
// reads no clock and does no I/O.
package membership

import (
	"fmt"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/config"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// State is an instance's announced state.
type State uint8

// The announced states, in the order in which an instance passes through them.
const (
	Starting State = iota // loads the configuration, discovers peers, owns nothing
	Ready                 // serves callers and owns backend servers
	Leaving               // hands over ownership, finishes its requests
	Left                  // announced that it is gone

	// Suspected is never announced by the instance itself. A peer that lost contact
	// sets it for the record's (Incarnation, Sequence), and the instance refutes it
	// with a higher Sequence.
	Suspected
)

var stateNames = [...]string{"starting", "ready", "leaving", "left", "suspected"}

// String returns the name used in status and reports.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// Record describes an instance, as announced by the instance itself. A record with a
// higher (Incarnation, Sequence) replaces an older one.
type Record struct {
	ID          model.InstanceID
	Zone        model.ZoneName
	LinkAddr    string // host:port for links between entry instances
	CallerAddr  string // host:port for callers
	ControlAddr string // host:port for operators
	State       State
	Incarnation uint64 // start time of the process in nanoseconds since the epoch
	Sequence    uint64 // incremented with each change except those of Revision and Loads
	Revision    int64  // configuration revision in force
	StartedAt   model.Instant
	Loads       []ServiceLoad // of the servers that it owns, sorted by service name; sent only by the instance itself
}

// Newer reports whether r replaces other.
func (r *Record) Newer(other *Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// ServiceLoad is the load of one service, summed over the backend servers that one
// instance owns or over those of a whole zone. The baseline of a zone is the requests
// that are routed to it by the weights in the configuration; requests that are sent to
// a zone other than their baseline zone are spill.
type ServiceLoad struct {
	Service model.ServiceName
	Slots   int // usable slots: those of healthy servers, as limited by slow start
	InUse   int
	Queued  [model.RankCount]int
	// MeanRun is the recent mean time for which a request holds a slot.
	MeanRun time.Duration
	// SpillLevel is the number of slots that the owner offers to spill. It rises
	// gradually, and a new owner continues from it.
	SpillLevel float64
	SpillInUse int
	// BaselineSince is the time at which the owner's zone began to serve its baseline.
	BaselineSince model.Instant
}

// Message is a heartbeat from one entry instance to another, with the records and
// zone summaries that the receiver may lack.
type Message struct {
	From        model.InstanceID
	Incarnation uint64
	Revision    config.Order  // of the configuration revision in force on the sender
	Records     []Record      // changed since the last message to the receiver
	Zones       []ZoneSummary // newer than those sent before; bridges exchange them between zones
	Suspects    []Suspect     // requests that crashed backend servers
	Terms       []ServerTerms // what backend servers said of themselves
	LimitShares []LimitShare  // of the limits of backend servers
	// Known is a digest of the sender's records that asks the receiver to send newer
	// ones. It is set on the first message after a link comes up or its peer becomes a
	// heartbeat peer.
	Known []RecordVersion
}

// RecordVersion is the version of a record without its content.
type RecordVersion struct {
	ID          model.InstanceID
	Incarnation uint64
	Sequence    uint64
}

// ZoneSummary is the load of a whole zone as last summed by one of its bridges.
type ZoneSummary struct {
	Zone  model.ZoneName
	Epoch uint64        // increases with each summary of the zone; a higher one replaces a lower one
	Loads []ServiceLoad // empty if unchanged since the last summary on the same link
}
