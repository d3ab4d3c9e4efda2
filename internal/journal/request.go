package journal

import (
	"time"

	"github.com/primrosenotch/primrosenotch/internal/event"
	"github.com/primrosenotch/primrosenotch/internal/model"
)

// Step is a kind of decision about a request.
type Step uint8

// The steps. Those up to StepAnswerTruncated happen at the ingress, the others at
// the owner.
const (
	StepForwarded             Step = iota // an owner was chosen; not written for a request served by its first owner without a rejected candidate
	StepOwnerRefused                      // an owner refused the offer
	StepOwnerLost                         // an offer ended without a usable reply from its owner
	StepCancelRequest                     // the ledger was asked to cancel the request
	StepRefused                           // the caller was sent an outcome of not-run or unknown
	StepAnswered                          // an answer was sent to the caller
	StepAnswerTruncated                   // the answer to the caller ended before it was complete
	StepOfferRefused                      // this owner refused an offer
	StepClaimDenied                       // the ledger did not grant the idempotency key
	StepReplayed                          // a repeated request was answered with the stored answer
	StepServerAnswered                    // a backend server began its answer
	StepAttemptFailed                     // an attempt at a backend server failed
	StepServerAnswerTruncated             // a backend server's answer ended before it was complete
	StepAnswerNotStored                   // the answer could not be stored for repeated requests
)

// ordinary reports whether every served request takes the step. Entries of ordinary
// steps have a ring buffer of their own, so that they do not evict the others.
func (s Step) ordinary() bool { return s == StepAnswered || s == StepServerAnswered }

// RequestEntry is a decision about a request. It holds values rather than text;
// Lines formats them on demand.
type RequestEntry struct {
	At      model.Instant
	TraceID string // trace identifier
	Step    Step
	Outcome model.Outcome
	Spill   bool
	// ChoiceRecorded reports that an earlier entry describes the choice of owner.
	ChoiceRecorded bool
	Claimed        bool  // the idempotency key was claimed first
	Attempt        uint8 // number of the attempt to reach a backend server, from 1
	Status         uint16
	Subject        string // owner, backend server, ledger or caller
	Zone           model.ZoneName
	Cause          model.Cause
	Took           time.Duration // time up to At, since the arrival at the ingress or the start of the attempt
	Waited         time.Duration // time spent waiting for a slot
	// Candidates are the zones considered in the choice of an owner, nil if no choice
	// was made.
	Candidates *model.Candidates
	// Detail holds rarely used fields, nil if all of them are empty.
	Detail *Detail
}

// Detail holds the fields of a RequestEntry that few entries use.
type Detail struct {
	Rejected []model.Rejected
	Final    event.Final
	Err      string
}

// AddRequest records a decision about a request, overwriting the oldest entry of
// the same kind, ordinary or notable, when that ring buffer is full.
func (j *Journal) AddRequest(e RequestEntry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if e.Step.ordinary() {
		j.ordinary.add(e)
		return
	}
	j.notable.add(e)
}
